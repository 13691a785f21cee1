#include "execution/requestpacer.h"

#include "execution/linklateness.h"
#include "execution/linkparts.h"

#include <algorithm>
#include <numeric>

namespace lacewingwharf {

namespace {

// Parts of a body that were granted and are not there. A sender that was paused
// sends all of them at once.
constexpr std::size_t kMaxPartsOnTheWay = 4;

} // namespace

RequestPacer::RequestPacer(double aBytesPerMilli)
  : rate(aBytesPerMilli)
{
}

std::optional<Millis>
RequestPacer::LatenessOf(std::size_t aBytes,
                         std::optional<Millis> aTargetAt,
                         Millis aDeadlineAt,
                         double aNow) const
{
  if (this->rate <= 0) {
    return std::nullopt;
  }
  const auto bytesBefore =
    std::accumulate(this->waiting.begin(),
                    this->waiting.end(),
                    std::size_t{ 0 },
                    [this](std::size_t aSum, const WaitingBody& aBody) {
                      return this->IsPassedOver(aBody)
                               ? aSum
                               : aSum + aBody.bodyBytes - aBody.grantedBytes;
                    });
  const LinkTimes times{ std::max(0.0, this->freeAt - aNow) +
                           static_cast<double>(bytesBefore) / this->rate,
                         static_cast<double>(aBytes) / this->rate };
  return LatenessOnLink(times, aTargetAt, aDeadlineAt, aNow);
}

bool
RequestPacer::IsPassedOver(const WaitingBody& aBody) const
{
  return this->rate > 0 && aBody.grantedBytes - aBody.receivedBytes >=
                             kMaxPartsOnTheWay * PartBytesAt(this->rate);
}

std::deque<RequestPacer::WaitingBody>::iterator
RequestPacer::Find(const std::string& aCallId)
{
  return std::ranges::find(this->waiting, aCallId, &WaitingBody::callId);
}

void
RequestPacer::Add(const std::string& aCallId, std::size_t aBytes)
{
  this->waiting.push_back({ aCallId, aBytes, 0, 0 });
  this->waitingBytes += aBytes;
}

void
RequestPacer::RecordReceived(const std::string& aCallId, std::size_t aBytes)
{
  if (const auto body = this->Find(aCallId); body != this->waiting.end()) {
    body->receivedBytes = aBytes;
  }
}

void
RequestPacer::Remove(const std::string& aCallId)
{
  if (const auto body = this->Find(aCallId); body != this->waiting.end()) {
    this->waitingBytes -= body->bodyBytes - body->grantedBytes;
    this->waiting.erase(body);
  }
}

std::optional<PartGrant>
RequestPacer::TakeNext(double aNow)
{
  const bool isPaced = this->rate > 0;
  if (isPaced && this->freeAt > aNow + kLinkLeadMillis) {
    return std::nullopt;
  }
  const auto next =
    std::ranges::find_if(this->waiting, [this](const WaitingBody& aBody) {
      return !this->IsPassedOver(aBody);
    });
  if (next == this->waiting.end()) {
    return std::nullopt;
  }
  const std::size_t left = next->bodyBytes - next->grantedBytes;
  const std::size_t part =
    isPaced ? std::min(PartBytesAt(this->rate), left) : left;
  next->grantedBytes += part;
  this->waitingBytes -= part;
  if (isPaced) {
    this->freeAt =
      std::max(this->freeAt, aNow) + static_cast<double>(part) / this->rate;
  }
  PartGrant grant{ next->callId, next->grantedBytes };
  if (next->grantedBytes == next->bodyBytes) {
    this->waiting.erase(next);
  }
  return grant;
}

} // namespace lacewingwharf
