#include "execution/limitmemory.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Used when the destination gives no time; about the duration of a short call.
constexpr Millis kDefaultExclusionTime = 20;

// A longer exclusion would hold back calls after another daemon has freed the
// limit.
constexpr Millis kMaxExclusionTime = 200;

// Shares change only with the endpoint view, so a host without a share is
// excluded for longer.
constexpr Millis kNoShareExclusionTime = 1000;

Millis
ExclusionTime(const Refusal& aRefusal)
{
  if (aRefusal.bound == 0) {
    return kNoShareExclusionTime;
  }
  const Millis requested =
    aRefusal.retryAfter > 0 ? aRefusal.retryAfter : kDefaultExclusionTime;
  return std::min(requested, kMaxExclusionTime);
}

} // namespace

bool
IsLimitRefusal(RefusalReason aReason)
{
  return aReason == RefusalReason::EntryConcurrency ||
         aReason == RefusalReason::EntryRate ||
         aReason == RefusalReason::OwnerConcurrency ||
         aReason == RefusalReason::OwnerRate;
}

LimitMemory::LimitMemory(Clock aClock)
  : clock(std::move(aClock))
{
}

void
LimitMemory::RecordRefusal(const EntryCall& aCall, const Refusal& aRefusal)
{
  if (!IsLimitRefusal(aRefusal.reason)) {
    return;
  }
  const EndpointInfo& endpoint = aCall.attempt.endpoint;
  const std::string host = aRefusal.bound == 0 ? endpoint.host : std::string();
  const std::string& entry = aCall.entry->name;
  this->exclusions[{ entry, endpoint.domain, host }] =
    this->clock.Now() + ExclusionTime(aRefusal);
  this->latestRefusals[entry] = aRefusal;
}

bool
LimitMemory::IsExcluded(const EntryCall& aCall,
                        const EndpointInfo& aEndpoint) const
{
  const std::string& entry = aCall.entry->name;
  return this->exclusions.contains(
           { entry, aEndpoint.domain, std::string() }) ||
         this->exclusions.contains({ entry, aEndpoint.domain, aEndpoint.host });
}

std::set<EndpointKey>
LimitMemory::ExcludedEndpoints(const EndpointView& aView,
                               const EntryCall& aCall)
{
  std::set<EndpointKey> excluded = aCall.triedEndpoints;
  if (this->exclusions.empty()) {
    return excluded;
  }
  const Millis now = this->clock.Now();
  std::erase_if(this->exclusions, [now](const auto& aExclusion) {
    return aExclusion.second <= now;
  });
  const auto service = aView.services.find(aCall.service);
  if (service == aView.services.end()) {
    return excluded;
  }
  std::ranges::for_each(service->second.endpoints,
                        [&](const EndpointInfo& aEndpoint) {
                          if (this->IsExcluded(aCall, aEndpoint)) {
                            excluded.insert({ aEndpoint.host, aEndpoint.port });
                          }
                        });
  return excluded;
}

Refusal
LimitMemory::RefusalFor(const EntryCall& aCall) const
{
  if (aCall.lastRefusal) {
    return *aCall.lastRefusal;
  }
  const std::string& entry = aCall.entry->name;
  const auto first = this->exclusions.lower_bound({ entry, {}, {} });
  const bool hasExclusion =
    first != this->exclusions.end() && std::get<0>(first->first) == entry;
  if (hasExclusion && this->latestRefusals.contains(entry)) {
    return this->latestRefusals.at(entry);
  }
  Refusal refusal;
  refusal.reason = RefusalReason::NoEndpoint;
  return refusal;
}

} // namespace lacewingwharf
