#include "distribution/fetchplan.h"

#include <utility>

namespace lacewingwharf {

namespace {

// A whole snapshot of the target size has about 6 KB and takes well under this
// time; a daemon whose question was lost is behind for that much longer.
constexpr Millis kAnswerTimeout = 1000;

// A version that no peer reports any more may have left with its last holder;
// it must not hold up the acceptor for ever.
constexpr Millis kSeenLifetime = 10000;

} // namespace

FetchPlan::FetchPlan(Clock aClock, Random aRandom)
  : clock(std::move(aClock))
  , random(std::move(aRandom))
{
}

void
FetchPlan::Noticed(const std::string& aHost,
                   std::int64_t aVersion,
                   Millis aJitter)
{
  const Millis now = this->clock.Now();
  const bool isExpired = now - this->newestAt > kSeenLifetime;
  if (aVersion >= this->newest || isExpired) {
    this->host = aHost;
    this->newest = aVersion;
    this->newestAt = now;
  }
  if (!this->dueAt) {
    this->dueAt =
      now + static_cast<Millis>(RandomBelow(
              this->random, static_cast<std::uint64_t>(aJitter) + 1));
  }
}

void
FetchPlan::WantWhole()
{
  this->isWholeWanted = true;
}

void
FetchPlan::Progressed()
{
  this->isWholeWanted = false;
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
  if (this->newest <= aHeld) {
    return std::nullopt;
  }
  this->sentAt = now;
  this->sentTo = this->host;
  return FetchRequest{ this->host, this->isWholeWanted ? 0 : aHeld };
}

void
FetchPlan::Answered(const std::string& aHost)
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
FetchPlan::NewestSeen() const
{
  const bool isExpired = this->clock.Now() - this->newestAt > kSeenLifetime;
  return isExpired ? 0 : this->newest;
}

} // namespace lacewingwharf
