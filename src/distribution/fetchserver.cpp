#include "distribution/fetchserver.h"

#include "distribution/wireconversion.h"

#include <utility>

namespace lacewingwharf {

namespace {

// The end of a transfer is not reported, so each transfer counts as active for
// this time.
constexpr Millis kWholeTransferDuration = 250;

} // namespace

FetchServer::FetchServer(Clock aClock, int aMaxWholeTransfers)
  : clock(std::move(aClock))
  , maxWholeTransfers(static_cast<std::size_t>(aMaxWholeTransfers))
{
}

bool
FetchServer::ReserveWholeTransfer()
{
  const Millis now = this->clock.Now();
  while (!this->wholeTransferEnds.empty() &&
         this->wholeTransferEnds.front() <= now) {
    this->wholeTransferEnds.pop_front();
  }
  if (this->wholeTransferEnds.size() >= this->maxWholeTransfers) {
    return false;
  }
  this->wholeTransferEnds.push_back(now + kWholeTransferDuration);
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
  if (!this->ReserveWholeTransfer()) {
    answer.retryAfterMillis = static_cast<std::int32_t>(kWholeTransferDuration);
    return answer;
  }
  if (this->cachedWhole.version != held.Version()) {
    this->cachedWhole = ToWire(MakeWholeDelta(held));
  }
  answer.bodies.push_back(this->cachedWhole);
  return answer;
}

} // namespace lacewingwharf
