#include "execution/limitmemory.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// Without a time from the destination: about the length of a short call.
constexpr Millis kDefaultTime = 20;

// A longer wait would hold back calls after another daemon freed the limit.
constexpr Millis kLongestTime = 200;

// The split only changes with the view, so a host without a part is not asked
// again soon.
constexpr Millis kNoPartTime = 1000;

Millis
MarkTime(const Refusal& aRefusal)
{
  if (aRefusal.bound == 0) {
    return kNoPartTime;
  }
  const Millis asked =
    aRefusal.retryAfter > 0 ? aRefusal.retryAfter : kDefaultTime;
  return std::min(asked, kLongestTime);
}

} // namespace

bool
IsLimit(RefusalReason aReason)
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
LimitMemory::Note(const EntryCall& aCall, const Refusal& aRefusal)
{
  if (!IsLimit(aRefusal.reason)) {
    return;
  }
  const EndpointInfo& endpoint = aCall.attempt.endpoint;
  const std::string host = aRefusal.bound == 0 ? endpoint.host : std::string();
  const std::string& entry = aCall.entry->name;
  this->marks[{ entry, endpoint.domain, host }] =
    this->clock.Now() + MarkTime(aRefusal);
  this->latest[entry] = aRefusal;
}

bool
LimitMemory::IsMarked(const EntryCall& aCall,
                      const EndpointInfo& aEndpoint) const
{
  const std::string& entry = aCall.entry->name;
  return this->marks.contains({ entry, aEndpoint.domain, std::string() }) ||
         this->marks.contains({ entry, aEndpoint.domain, aEndpoint.host });
}

std::set<EndpointKey>
LimitMemory::LeftOut(const EndpointView& aView, const EntryCall& aCall)
{
  std::set<EndpointKey> leftOut = aCall.tried;
  if (this->marks.empty()) {
    return leftOut;
  }
  const Millis now = this->clock.Now();
  std::erase_if(this->marks,
                [now](const auto& aMark) { return aMark.second <= now; });
  const auto service = aView.services.find(aCall.service);
  if (service == aView.services.end()) {
    return leftOut;
  }
  std::ranges::for_each(service->second.endpoints,
                        [&](const EndpointInfo& aEndpoint) {
                          if (this->IsMarked(aCall, aEndpoint)) {
                            leftOut.insert({ aEndpoint.host, aEndpoint.port });
                          }
                        });
  return leftOut;
}

Refusal
LimitMemory::RefusalFor(const EntryCall& aCall) const
{
  if (aCall.lastRefusal) {
    return *aCall.lastRefusal;
  }
  const std::string& entry = aCall.entry->name;
  const auto first = this->marks.lower_bound({ entry, {}, {} });
  const bool hasMark =
    first != this->marks.end() && std::get<0>(first->first) == entry;
  if (hasMark && this->latest.contains(entry)) {
    return this->latest.at(entry);
  }
  Refusal refusal;
  refusal.reason = RefusalReason::NoEndpoint;
  return refusal;
}

} // namespace lacewingwharf
