// The part of CatalogueReview that compares limits with each other.

#include "catalogue/cataloguereview.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>

namespace lacewingwharf {

namespace {

using nlohmann::json;

/**
 * Whether the text of a valid route sets a limit. Defaults are no
 * contradiction: they apply as far as the limits that are set allow.
 */
bool
IsLimitSet(const AcceptedEntry& aRoute, const char* aName)
{
  const json entry = json::parse(aRoute.text, nullptr, false);
  const auto limits = entry.find("limits");
  return limits != entry.end() && limits->contains(aName);
}

} // namespace

void
CatalogueReview::CheckLimits()
{
  for (const auto& [name, accepted] : this->snapshot->Entries()) {
    if (accepted->entry.kind == EntryKind::Route) {
      this->CheckTimes(*accepted);
      this->CheckRetries(*accepted);
      this->CheckBody(*accepted);
      this->CheckAgainstOwner(accepted->entry);
      this->CheckSplit(accepted->entry);
    } else if (accepted->entry.kind == EntryKind::Team) {
      this->CheckTeam(accepted->entry);
    }
  }
}

void
CatalogueReview::CheckTimes(const AcceptedEntry& aRoute)
{
  const Limits& limits = aRoute.entry.limits;
  if (limits.target > limits.deadline) {
    this->Warn(WarningCode::TargetAboveDeadline,
               aRoute.entry,
               fmt::format("the target of {} ms cannot be reached, because the "
                           "deadline is {} ms",
                           limits.target,
                           limits.deadline));
  }
  if (limits.queueWait > limits.deadline && IsLimitSet(aRoute, "queue_ms")) {
    this->Warn(WarningCode::QueueAboveDeadline,
               aRoute.entry,
               fmt::format("a call may wait {} ms for a slot, but its deadline "
                           "ends after {} ms",
                           limits.queueWait,
                           limits.deadline));
  }
}

void
CatalogueReview::CheckRetries(const AcceptedEntry& aRoute)
{
  // An attempt at another host takes at least one round trip of the network,
  // which is 1 ms within a failure domain.
  constexpr Millis kMinAttempt = 1;
  const Limits& limits = aRoute.entry.limits;
  const int attempts = limits.retries + 1;
  if (attempts > this->bounds.maxAttempts) {
    this->Warn(WarningCode::RetriesAboveAttempts,
               aRoute.entry,
               fmt::format("{} retries need {} attempts, but a call makes at "
                           "most {}",
                           limits.retries,
                           attempts,
                           this->bounds.maxAttempts));
  }
  const int made = std::min(attempts, this->bounds.maxAttempts);
  if (made * kMinAttempt > limits.deadline && IsLimitSet(aRoute, "retries")) {
    this->Warn(WarningCode::RetriesAboveDeadline,
               aRoute.entry,
               fmt::format("{} attempts of at least {} ms do not fit in the "
                           "deadline of {} ms",
                           made,
                           kMinAttempt,
                           limits.deadline));
  }
}

void
CatalogueReview::CheckBody(const AcceptedEntry& aRoute)
{
  const std::int64_t listener = this->snapshot->CallerLimits().bodyBytes;
  const std::int64_t route = aRoute.entry.limits.bodyBytes;
  // A route with the highest value leaves the limit to the listener. The
  // translation of documents sets it for every route.
  const bool hasOwnLimit = route > 0 && route < kMaxEntryBodyBytes;
  if (listener > 0 && route > listener && hasOwnLimit &&
      IsLimitSet(aRoute, "body_bytes")) {
    this->Warn(WarningCode::BodyAboveListener,
               aRoute.entry,
               fmt::format("bodies of {} bytes are allowed, but the listener "
                           "refuses those above {}",
                           route,
                           listener));
  }
}

void
CatalogueReview::CheckAgainstOwner(const Entry& aRoute)
{
  const Entry* const owner = this->snapshot->OwnerLimits(aRoute.owner);
  if (owner == nullptr) {
    return;
  }
  const auto check = [&](WarningCode aCode,
                         const char* aLimit,
                         int aOfRoute,
                         int aOfOwner) {
    if (aOfOwner > 0 && aOfRoute > aOfOwner) {
      this->Warn(aCode,
                 aRoute,
                 fmt::format("the {} of {} is above {}, the limit of the owner "
                             "'{}' over the whole fleet in entry '{}'",
                             aLimit,
                             aOfRoute,
                             aOfOwner,
                             aRoute.owner,
                             owner->name));
    }
  };
  check(WarningCode::ConcurrencyAboveOwner,
        "concurrency",
        aRoute.limits.concurrency,
        owner->limits.concurrency);
  check(WarningCode::RateAboveOwner,
        "rate",
        aRoute.limits.ratePerSecond,
        owner->limits.ratePerSecond);
}

void
CatalogueReview::CheckSplit(const Entry& aRoute)
{
  struct Total
  {
    int count = 0;
    std::int64_t weight = 0;
  };
  std::map<std::string_view, Total> totals;
  for (const ServiceShare& share : aRoute.split) {
    Total& total = totals[share.service];
    ++total.count;
    total.weight += share.weight;
  }
  for (const auto& [service, total] : totals) {
    if (total.count > 1) {
      this->Warn(WarningCode::SplitRepeatsService,
                 aRoute,
                 fmt::format("the split names the service '{}' several times; "
                             "its weights add up to {}",
                             service,
                             total.weight));
    }
  }
}

void
CatalogueReview::CheckTeam(const Entry& aTeam)
{
  if (aTeam.team.burst > 0 && aTeam.team.ratePerSecond == 0) {
    this->Warn(WarningCode::BurstWithoutRate,
               aTeam,
               fmt::format("the burst of {} calls has no effect, because the "
                           "team has no rate and so no cap",
                           aTeam.team.burst));
  }
}

} // namespace lacewingwharf
