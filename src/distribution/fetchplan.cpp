#include "distribution/fetchplan.h"

#include <utility>

namespace lacewingwharf {

namespace {

// A whole snapshot of the target size has about 6 KB and arrives in much less
// than this time. If the request is lost, the daemon stays behind for this much
// longer.
constexpr Millis kAnswerTimeout = 1000;

// If no peer reports a version any more, its last holder may have left. The
// acceptor must not wait for this version forever.
constexpr Millis kPeerVersionLifetime = 10000;

} // namespace

FetchPlan::FetchPlan(Clock aClock, Random aRandom)
  : clock(std::move(aClock))
  , random(std::move(aRandom))
{
}

void
FetchPlan::RecordPeerVersion(const std::string& aHost,
                             std::int64_t aVersion,
                             Millis aJitter)
{
  const Millis now = this->clock.Now();
  const bool isExpired = now - this->newestReportedAt > kPeerVersionLifetime;
  if (aVersion >= this->newestVersion || isExpired) {
    this->host = aHost;
    this->newestVersion = aVersion;
    this->newestReportedAt = now;
  }
  if (!this->dueAt) {
    this->dueAt =
      now + static_cast<Millis>(RandomBelow(
              this->random, static_cast<std::uint64_t>(aJitter) + 1));
  }
}

void
FetchPlan::RequestWhole()
{
  this->isWholeRequested = true;
}

void
FetchPlan::RequestDeltas()
{
  this->isWholeRequested = false;
}

std::optional<FetchRequest>
FetchPlan::TakeDue(std::int64_t aHeld)
{
  const Millis now = this->clock.Now();
  if (this->sentAt && now - *this->sentAt < kAnswerTimeout) {
    return std::nullopt;
  }
  if (!this->dueAt || now < *this->dueAt) {
    return std::nullopt;
  }
  this->dueAt.reset();
  if (this->newestVersion <= aHeld) {
    return std::nullopt;
  }
  this->sentAt = now;
  this->sentTo = this->host;
  return FetchRequest{ this->host, this->isWholeRequested ? 0 : aHeld };
}

void
FetchPlan::RecordAnswer(const std::string& aHost)
{
  if (aHost == this->sentTo) {
    this->sentAt.reset();
  }
}

void
FetchPlan::Postpone(Millis aDelay)
{
  const auto jitter =
    RandomBelow(this->random, static_cast<std::uint64_t>(aDelay) / 2 + 1);
  this->dueAt = this->clock.Now() + aDelay + static_cast<Millis>(jitter);
}

std::int64_t
FetchPlan::NewestPeerVersion() const
{
  const bool isExpired =
    this->clock.Now() - this->newestReportedAt > kPeerVersionLifetime;
  return isExpired ? 0 : this->newestVersion;
}

} // namespace lacewingwharf
