#include "execution/requestpacer.h"

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

namespace {

// A small request waits behind at most about one part, so a part must be short
// compared with the time limits of callers. Shorter parts would cost more
// messages.
constexpr double kPartMillis = 15;
constexpr double kMinPartBytes = 8192;

// Parts are granted at ticks of 10 ms and arrive at least a round trip later.
// Without this lead, the link would be idle in the meantime.
constexpr double kLeadMillis = 15;

// Part of the time until the limit that the backlog and the body may take. The
// call still has to wait for a slot and to run.
constexpr double kUsableTime = 0.5;

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
  const double backlog = std::max(0.0, this->freeAt - aNow) +
                         static_cast<double>(this->waitingBytes) / this->rate;
  if (backlog <= 0) {
    return std::nullopt; // No other host would receive it sooner.
  }
  const double own = static_cast<double>(aBytes) / this->rate;
  const auto usableTime = [aNow](Millis aLimit) {
    return kUsableTime * (static_cast<double>(aLimit) - aNow);
  };
  const bool canMeetTarget = aTargetAt && own <= usableTime(*aTargetAt);
  const double lateness =
    backlog + own - usableTime(canMeetTarget ? *aTargetAt : aDeadlineAt);
  if (lateness <= 0) {
    return std::nullopt;
  }
  return static_cast<Millis>(std::ceil(lateness));
}

void
RequestPacer::Add(const std::string& aCallId, std::size_t aBytes)
{
  this->waiting.push_back({ aCallId, 0, aBytes });
  this->waitingBytes += aBytes;
}

void
RequestPacer::Remove(const std::string& aCallId)
{
  const auto body =
    std::ranges::find(this->waiting, aCallId, &PartGrant::callId);
  if (body != this->waiting.end()) {
    this->waitingBytes -= body->bodyBytes - body->grantedBytes;
    this->waiting.erase(body);
  }
}

std::optional<PartGrant>
RequestPacer::TakeNext(double aNow)
{
  if (this->waiting.empty() || this->freeAt > aNow + kLeadMillis) {
    return std::nullopt;
  }
  PartGrant& next = this->waiting.front();
  const std::size_t left = next.bodyBytes - next.grantedBytes;
  const double partBytes = std::max(kMinPartBytes, kPartMillis * this->rate);
  const std::size_t part =
    this->rate > 0 ? std::min(static_cast<std::size_t>(partBytes), left) : left;
  next.grantedBytes += part;
  this->waitingBytes -= part;
  if (this->rate > 0) {
    this->freeAt =
      std::max(this->freeAt, aNow) + static_cast<double>(part) / this->rate;
  }
  PartGrant grant = next;
  if (grant.grantedBytes == grant.bodyBytes) {
    this->waiting.pop_front();
  }
  return grant;
}

} // namespace lacewingwharf
