#include "admission/limittracker.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace lacewingwharf {

namespace {

// Rates are split in thousandths of a call per second. A split in whole calls
// would leave most hosts of a large service without a share of a small limit.
constexpr std::int64_t kRateUnits = 1000;

// The burst is the number of calls in this time, but at least one.
constexpr double kBurstSeconds = 0.25;

void
SetShares(LimitUsage& aUsage,
          const Limits& aLimits,
          const LimitShare& aShare,
          std::string_view aSalt)
{
  aUsage.concurrency.reset();
  aUsage.ratePerSecond.reset();
  if (aLimits.concurrency > 0) {
    aUsage.concurrency = aShare.ShareOf(aLimits.concurrency, aSalt);
  }
  if (aLimits.ratePerSecond > 0) {
    const std::int64_t units =
      aShare.ShareOf(aLimits.ratePerSecond * kRateUnits, aSalt);
    const double rate =
      static_cast<double>(units) / static_cast<double>(kRateUnits);
    aUsage.ratePerSecond = rate;
    aUsage.bucket.SetRate(rate, std::max(1.0, rate * kBurstSeconds));
  }
}

std::optional<Refusal>
CheckConcurrency(const LimitUsage& aUsage, RefusalReason aReason)
{
  if (!aUsage.concurrency || aUsage.inFlight < *aUsage.concurrency) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.reason = aReason;
  refusal.bound = *aUsage.concurrency;
  refusal.seen = aUsage.inFlight + 1;
  return refusal;
}

std::optional<Refusal>
CheckRate(LimitUsage& aUsage, RefusalReason aReason, double aNow)
{
  if (!aUsage.ratePerSecond) {
    return std::nullopt;
  }
  aUsage.bucket.CountAttempt(aNow);
  if (*aUsage.ratePerSecond > 0 && aUsage.bucket.HasToken(aNow)) {
    return std::nullopt;
  }
  Refusal refusal;
  refusal.reason = aReason;
  refusal.bound = std::llround(std::ceil(*aUsage.ratePerSecond));
  refusal.seen = std::llround(std::ceil(aUsage.bucket.AttemptsPerSecond(aNow)));
  refusal.seen = std::max(refusal.seen, refusal.bound + 1);
  refusal.retryAfter =
    std::llround(std::ceil(aUsage.bucket.MillisUntilToken(aNow)));
  return refusal;
}

const ServiceView&
ViewOf(const EndpointView& aView, const std::string& aService)
{
  static const ServiceView sEmpty;
  const auto found = aView.services.find(aService);
  return found == aView.services.end() ? sEmpty : found->second;
}

} // namespace

LimitTracker::LimitTracker(std::string aHost)
  : host(std::move(aHost))
{
}

void
LimitTracker::Configure(const Snapshot& aSnapshot,
                        const EndpointView& aView,
                        const OwnSlots& aOwnSlots)
{
  this->ConfigureEntries(aSnapshot, aView, aOwnSlots);
  this->ConfigureOwners(aSnapshot, aView, aOwnSlots);
}

void
LimitTracker::ConfigureEntries(const Snapshot& aSnapshot,
                               const EndpointView& aView,
                               const OwnSlots& aOwnSlots)
{
  std::erase_if(this->entries, [&aSnapshot](const auto& aUsage) {
    return aUsage.second.inFlight == 0 && !aSnapshot.Find(aUsage.first);
  });
  for (const auto& [name, accepted] : aSnapshot.Entries()) {
    const Entry& entry = accepted->entry;
    const bool isLimited =
      entry.limits.concurrency > 0 || entry.limits.ratePerSecond > 0;
    const bool isKnown = this->entries.contains(name);
    if (entry.kind != EntryKind::Route || (!isLimited && !isKnown)) {
      continue;
    }
    LimitShare share(this->host);
    std::int64_t ownSlots = 0;
    for (const std::string& service : entry.Services()) {
      ownSlots += aOwnSlots(service);
      share.AddService(ViewOf(aView, service), aOwnSlots(service));
    }
    if (ownSlots == 0) {
      continue;
    }
    SetShares(this->entries[name], entry.limits, share, name);
  }
}

void
LimitTracker::ConfigureOwners(const Snapshot& aSnapshot,
                              const EndpointView& aView,
                              const OwnSlots& aOwnSlots)
{
  std::map<std::string, std::set<std::string>> services;
  for (const auto& [name, accepted] : aSnapshot.Entries()) {
    const Entry& entry = accepted->entry;
    if (entry.kind == EntryKind::Route && aSnapshot.OwnerLimits(entry.owner)) {
      const auto used = entry.Services();
      services[entry.owner].insert(used.begin(), used.end());
    }
  }
  std::erase_if(this->owners, [&services](const auto& aUsage) {
    return aUsage.second.inFlight == 0 && !services.contains(aUsage.first);
  });
  for (const auto& [owner, used] : services) {
    // The calls of most owners cannot run on this host.
    const bool isServed =
      std::ranges::any_of(used, [&aOwnSlots](const std::string& aService) {
        return aOwnSlots(aService) > 0;
      });
    if (!isServed) {
      continue;
    }
    LimitShare share(this->host);
    for (const std::string& service : used) {
      share.AddService(ViewOf(aView, service), aOwnSlots(service));
    }
    const Entry* const entry = aSnapshot.OwnerLimits(owner);
    SetShares(this->owners[owner], entry->limits, share, owner);
  }
}

std::optional<Refusal>
LimitTracker::Check(const AdmissionRequest& aRequest, double aNow)
{
  LimitUsage& entry = this->entries[aRequest.entry];
  LimitUsage& owner = this->owners[aRequest.owner];
  auto refusal = CheckConcurrency(entry, RefusalReason::EntryConcurrency);
  if (!refusal) {
    refusal = CheckConcurrency(owner, RefusalReason::OwnerConcurrency);
  }
  auto rate = CheckRate(entry, RefusalReason::EntryRate, aNow);
  auto ownerRate = CheckRate(owner, RefusalReason::OwnerRate, aNow);
  if (!refusal) {
    refusal = rate ? rate : ownerRate;
  }
  return refusal;
}

void
LimitTracker::Admit(const AdmissionRequest& aRequest, double aNow)
{
  for (LimitUsage* const use :
       { &this->entries[aRequest.entry], &this->owners[aRequest.owner] }) {
    ++use->inFlight;
    if (use->ratePerSecond) {
      use->bucket.TakeToken(aNow);
    }
  }
}

void
LimitTracker::Release(const AdmissionRequest& aRequest)
{
  --this->entries[aRequest.entry].inFlight;
  --this->owners[aRequest.owner].inFlight;
}

} // namespace lacewingwharf
