#include "distribution/fetchserver.h"

#include "distribution/wireconversion.h"

#include <utility>

namespace lacewingwharf {

namespace {

// Nothing reports the end of a transfer, so each one counts for this time.
constexpr Millis kWholeTransferTime = 250;

} // namespace

FetchServer::FetchServer(Clock aClock, int aMaxWholeTransfers)
  : clock(std::move(aClock))
  , maxWhole(static_cast<std::size_t>(aMaxWholeTransfers))
{
}

bool
FetchServer::TakeWholeSlot()
{
  const Millis now = this->clock.Now();
  while (!this->wholeEnds.empty() && this->wholeEnds.front() <= now) {
    this->wholeEnds.pop_front();
  }
  if (this->wholeEnds.size() >= this->maxWhole) {
    return false;
  }
  this->wholeEnds.push_back(now + kWholeTransferTime);
  return true;
}

wire::ConfigAnswer
FetchServer::Answer(const VersionHolder& aHolder, std::int64_t aHeld)
{
  const Snapshot& held = *aHolder.HeldSnapshot();
  wire::ConfigAnswer answer;
  answer.held = held.Version();
  if (aHeld >= held.Version()) {
    return answer;
  }
  const DeltaChain chain = aHolder.DeltasSince(aHeld);
  if (aHeld > 0 && chain.isComplete) {
    for (const Delta& delta : chain.deltas) {
      answer.bodies.push_back(ToWire(delta));
    }
    return answer;
  }
  if (!this->TakeWholeSlot()) {
    answer.retryAfterMillis = static_cast<std::int32_t>(kWholeTransferTime);
    return answer;
  }
  if (this->packedWhole.version != held.Version()) {
    this->packedWhole = ToWire(MakeWholeDelta(held));
  }
  answer.bodies.push_back(this->packedWhole);
  return answer;
}

} // namespace lacewingwharf
