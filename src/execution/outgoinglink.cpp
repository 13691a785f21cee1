#include "execution/outgoinglink.h"

#include "execution/linklateness.h"
#include "execution/linkparts.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>
#include <vector>

namespace lacewingwharf {

namespace {

// Bodies of up to 60 ms of the link are sent in the order of their grants.
constexpr std::size_t kPartsInTurn = 4;

} // namespace

OutgoingLink::OutgoingLink(double aBytesPerMilli)
  : rate(aBytesPerMilli)
{
}

std::optional<Millis>
OutgoingLink::LatenessOf(std::size_t aBytes,
                         std::optional<Millis> aTargetAt,
                         Millis aDeadlineAt,
                         double aNow) const
{
  if (this->rate <= 0) {
    return std::nullopt;
  }
  const LinkTimes times{ std::max(0.0, this->freeAt - aNow) +
                           static_cast<double>(this->BytesBefore(aBytes)) /
                             this->rate,
                         static_cast<double>(aBytes) / this->rate };
  return LatenessOnLink(times, aTargetAt, aDeadlineAt, aNow);
}

Millis
OutgoingLink::RetryAfter(std::size_t aBytes, Millis aLateness) const
{
  // Bodies take turns, so each ends when what is shorter, and as much of every
  // longer one, is sent. A body delays others by the same turns until then.
  std::vector<double> sizes;
  std::ranges::transform(
    this->waiting, std::back_inserter(sizes), [](const Body& aBody) {
      return static_cast<double>(aBody.bytes);
    });
  std::ranges::sort(sizes);
  const double excessBytes = static_cast<double>(aLateness) * this->rate;
  const auto turnBytes = static_cast<double>(this->TurnBytes(aBytes));
  double endedTurnBytes = 0; // Turns that ended bodies no longer take.
  double endedBytes = 0;     // Sizes of the ended bodies.
  double sentBytes = 0;      // Of all bodies until enough have ended.
  auto bodiesLeft = static_cast<double>(sizes.size());
  for (const double size : sizes) {
    sentBytes = endedBytes + size * bodiesLeft;
    endedTurnBytes += std::min(size, turnBytes);
    endedBytes += size;
    --bodiesLeft;
    if (endedTurnBytes >= excessBytes) {
      break;
    }
  }
  return std::max(aLateness,
                  static_cast<Millis>(std::ceil(sentBytes / this->rate)));
}

/** The bytes of the turns that a body needs. */
std::size_t
OutgoingLink::TurnBytes(std::size_t aBytes) const
{
  const std::size_t turn = kPartsInTurn * PartBytesAt(this->rate);
  return (aBytes + turn - 1) / turn * turn;
}

/** Other bodies go first with at most as many turns as this one needs. */
std::size_t
OutgoingLink::BytesBefore(std::size_t aBytes) const
{
  const std::size_t turnBytes = this->TurnBytes(aBytes);
  return std::accumulate(this->waiting.begin(),
                         this->waiting.end(),
                         std::size_t{ 0 },
                         [turnBytes](std::size_t aSum, const Body& aBody) {
                           return aSum + std::min(aBody.bytes, turnBytes);
                         });
}

void
OutgoingLink::Add(const std::string& aAttemptId, std::size_t aBytes)
{
  const auto body =
    std::ranges::find(this->waiting, aAttemptId, &Body::attemptId);
  if (body != this->waiting.end()) {
    body->bytes += aBytes;
  } else if (aBytes > 0) {
    this->waiting.push_back({ aAttemptId, aBytes, 0 });
  }
}

void
OutgoingLink::RemoveIf(const std::function<bool(const std::string&)>& aHasEnded)
{
  std::erase_if(this->waiting, [&aHasEnded](const Body& aBody) {
    return aHasEnded(aBody.attemptId);
  });
}

std::optional<OutgoingPart>
OutgoingLink::Next(double aNow) const
{
  if (this->waiting.empty()) {
    return std::nullopt;
  }
  const Body& body = this->waiting.front();
  if (this->rate <= 0) {
    return OutgoingPart{ body.attemptId, body.bytes };
  }
  if (this->freeAt > aNow + kLinkLeadMillis) {
    return std::nullopt;
  }
  return OutgoingPart{ body.attemptId,
                       std::min(body.bytes, PartBytesAt(this->rate)) };
}

void
OutgoingLink::RecordSent(const OutgoingPart& aPart, double aNow)
{
  if (this->rate > 0) {
    this->freeAt = std::max(this->freeAt, aNow) +
                   static_cast<double>(aPart.bytes) / this->rate;
  }
  Body body = std::move(this->waiting.front());
  this->waiting.pop_front();
  body.bytes -= aPart.bytes;
  if (body.bytes == 0) {
    return;
  }
  if (++body.partsInTurn < kPartsInTurn) {
    this->waiting.push_front(std::move(body));
    return;
  }
  body.partsInTurn = 0;
  this->waiting.push_back(std::move(body));
}

} // namespace lacewingwharf
