#include "membership/domainsummaries.h"

#include "common/hash.h"
#include "membership/membertable.h"
#include "membership/servicesummaries.h"
#include "membership/wiresize.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

// Enough buckets that a transfer of a few differing services includes only few
// others.
constexpr std::size_t kBuckets = 32;

// The other relay may receive a change first. The first relay keeps the other's
// value for this long before it replaces it with its own.
constexpr Millis kDisagreementLimit = 2000;

// The first relay sends a change within a second. When it is frozen, the change
// must still reach other domains within 3 s through the next relay.
constexpr Millis kSecondRelayDelay = 1200;

// Bounds HeldSummary::stampsByRoot. Relays change rarely, and after the stamps
// are cleared each summary is forwarded at most once more.
constexpr std::size_t kMaxRoots = 16;

bool
HasSameEndpoints(const wire::ServiceSummary& aLeft,
                 const wire::ServiceSummary& aRight)
{
  return aLeft.ready == aRight.ready && aLeft.slots == aRight.slots &&
         aLeft.sample == aRight.sample;
}

bool
HasSameContent(const wire::ServiceSummary& aLeft,
               const wire::ServiceSummary& aRight)
{
  return HasSameEndpoints(aLeft, aRight) &&
         aLeft.freeSlots == aRight.freeSlots &&
         aLeft.slowdownPercent == aRight.slowdownPercent;
}

/**
 * Whether aLeft has the higher stamp. Two relays may set the same stamp in the
 * same millisecond; the higher hash then decides.
 */
bool
Replaces(const wire::ServiceSummary& aLeft, const wire::ServiceSummary& aRight)
{
  if (aLeft.stamp != aRight.stamp) {
    return aLeft.stamp > aRight.stamp;
  }
  return EncodedHash(aLeft) > EncodedHash(aRight);
}

/** Adds empty summaries for services that no longer have a ready endpoint. */
void
KeepRemovedServices(const ServiceSummaries& aBefore, ServiceSummaries& aNow)
{
  for (const auto& [service, summary] : aBefore) {
    const auto [position, isNew] = aNow.try_emplace(service);
    if (isNew) {
      position->second.serviceName = service;
      position->second.slowdownPercent = 100;
    }
  }
}

std::size_t
BucketOf(const std::string& aService)
{
  return Hash64(aService) % kBuckets;
}

struct HostLocation
{
  PeerAddress address;
  std::int64_t incarnation = 0;
};

std::optional<HostLocation>
Locate(const HeldSummary& aSummary, const std::string& aHost)
{
  const auto& contacts = aSummary.contacts;
  const auto contact =
    std::ranges::find(contacts, aHost, &wire::MemberRecord::host);
  if (contact != contacts.end()) {
    return HostLocation{ { contact->address, contact->peerPort },
                         contact->incarnation };
  }
  for (const auto& [name, service] : aSummary.services) {
    const auto sample =
      std::ranges::find(service.sample, aHost, &wire::SampledEndpoint::host);
    if (sample != service.sample.end()) {
      return HostLocation{ { sample->address, sample->peerPort },
                           sample->incarnation };
    }
  }
  return std::nullopt;
}

std::optional<HostLocation>
Locate(const std::map<std::string, HeldSummary>& aSummaries,
       const std::string& aHost)
{
  for (const auto& [domain, summary] : aSummaries) {
    if (auto location = Locate(summary, aHost)) {
      return location;
    }
  }
  return std::nullopt;
}

} // namespace

DomainSummaries::DomainSummaries(std::string aRegion, std::string aDomain)
{
  this->own.region = std::move(aRegion);
  this->own.domain = std::move(aDomain);
}

std::int64_t
DomainSummaries::NextStamp(Millis aWallNow) const
{
  return std::max(aWallNow, this->own.stamp + 1);
}

SummaryChange
DomainSummaries::Build(const MemberTable& aTable,
                       const HostLoads& aLoads,
                       std::vector<wire::MemberRecord> aContacts,
                       Millis aWallNow,
                       bool aIsFirstRelay)
{
  ServiceSummaries services = SummariseServices(aTable, aLoads);
  KeepRemovedServices(this->own.services, services);
  const std::int64_t stamp = this->NextStamp(aWallNow);
  SummaryChange change = SummaryChange::None;
  if (aContacts != this->own.contacts) {
    change = SummaryChange::Endpoints;
    this->own.contacts = std::move(aContacts);
  }
  for (auto& [service, summary] : services) {
    const wire::ServiceSummary& held = this->own.services[service];
    if (!this->ShouldAdopt(held, summary, aWallNow, aIsFirstRelay)) {
      continue;
    }
    const bool onlyLoad = held.stamp > 0 && HasSameEndpoints(held, summary);
    change = std::max(
      change, onlyLoad ? SummaryChange::Load : SummaryChange::Endpoints);
    summary.stamp = stamp;
    this->own.services[service] = summary;
  }
  this->built = std::move(services);
  if (change != SummaryChange::None) {
    this->own.stamp = stamp;
  }
  return change;
}

bool
DomainSummaries::ShouldAdopt(const wire::ServiceSummary& aHeld,
                             const wire::ServiceSummary& aBuilt,
                             Millis aWallNow,
                             bool aIsFirstRelay)
{
  const std::string& service = aBuilt.serviceName;
  if (aHeld.stamp > 0 && HasSameContent(aHeld, aBuilt)) {
    this->differsSince.erase(service);
    return false;
  }
  const auto before = this->built.find(service);
  // A service that this daemon has not built a summary for counts as unchanged
  // while it has no endpoints: only the other relay has reported it.
  const bool isUnchanged = before == this->built.end()
                             ? aBuilt.ready == 0
                             : HasSameContent(before->second, aBuilt);
  if (aIsFirstRelay && (aHeld.stamp == 0 || !isUnchanged)) {
    this->differsSince.erase(service);
    return true;
  }
  const auto since =
    this->differsSince.try_emplace(service, aWallNow).first->second;
  const Millis limit = aIsFirstRelay ? kDisagreementLimit : kSecondRelayDelay;
  return aWallNow - since >= limit;
}

void
DomainSummaries::Touch(Millis aWallNow)
{
  this->own.stamp = this->NextStamp(aWallNow);
}

MergedSummary
DomainSummaries::Merge(const wire::DomainSummary& aSummary, Millis aNow)
{
  const bool isOwn = aSummary.domain == this->own.domain;
  HeldSummary& held = isOwn ? this->own : this->others[aSummary.domain];
  held.receivedAt = aNow;
  held.domain = aSummary.domain;
  held.region = aSummary.region;
  MergedSummary merged;
  std::vector<wire::ServiceSummary> newer;
  for (const wire::ServiceSummary& service : aSummary.services) {
    const auto [position, isNew] =
      held.services.try_emplace(service.serviceName);
    wire::ServiceSummary& known = position->second;
    if (isNew || Replaces(service, known)) {
      if (isNew || !HasSameContent(known, service)) {
        merged.hasChanges = true;
      }
      known = service;
    } else if (Replaces(known, service)) {
      newer.push_back(known);
    }
  }
  this->version += merged.hasChanges ? 1U : 0U;
  this->MergeHeader(held, aSummary);
  std::int64_t& highest = held.stampsByRoot[aSummary.root];
  merged.isNewOnTree = aSummary.stamp > highest;
  highest = std::max(highest, aSummary.stamp);
  if (held.stampsByRoot.size() > kMaxRoots) {
    held.stampsByRoot.clear();
  }
  if (!newer.empty()) {
    merged.correction = this->ChangesSince(aSummary.domain, held.stamp);
    merged.correction->services = std::move(newer);
  }
  return merged;
}

void
DomainSummaries::MergeHeader(HeldSummary& aHeld,
                             const wire::DomainSummary& aSummary)
{
  // If changes before aSummary are missing, the held summary is not complete up
  // to the new stamp.
  const bool isOwn = &aHeld == &this->own;
  if (aSummary.stamp <= aHeld.stamp ||
      (aSummary.base > aHeld.stamp && !isOwn)) {
    return;
  }
  aHeld.stamp = aSummary.stamp;
  // A summary without contacts means that they are unchanged.
  if (!isOwn && !aSummary.contacts.empty() &&
      aHeld.contacts != aSummary.contacts) {
    aHeld.contacts = aSummary.contacts;
    ++this->version;
  }
}

bool
DomainSummaries::HasGapBefore(const wire::DomainSummary& aSummary) const
{
  const HeldSummary* const held = this->Find(aSummary.domain);
  return aSummary.base > (held == nullptr ? 0 : held->stamp);
}

void
DomainSummaries::AddContacts(const wire::DomainSummary& aSummary,
                             Millis aBefore)
{
  if (aSummary.domain == this->own.domain) {
    return;
  }
  HeldSummary& held = this->others[aSummary.domain];
  if (held.stamp > 0 && held.receivedAt > aBefore) {
    return;
  }
  held.domain = aSummary.domain;
  held.region = aSummary.region;
  held.contacts = aSummary.contacts;
  ++this->version;
}

wire::DomainSummary
DomainSummaries::ChangesSince(const std::string& aDomain,
                              std::int64_t aSince) const
{
  wire::DomainSummary summary;
  summary.domain = aDomain;
  summary.base = aSince;
  const HeldSummary* const held = this->Find(aDomain);
  if (held == nullptr) {
    return summary;
  }
  summary.region = held->region;
  summary.stamp = held->stamp;
  for (const auto& [service, content] : held->services) {
    if (content.stamp > aSince) {
      summary.services.push_back(content);
    }
  }
  return summary;
}

std::vector<std::int64_t>
DomainSummaries::Digests(const std::string& aDomain) const
{
  std::vector<std::uint64_t> sums(kBuckets, 0);
  if (const HeldSummary* const held = this->Find(aDomain)) {
    for (const auto& [service, content] : held->services) {
      sums[BucketOf(service)] ^= EncodedHash(content);
    }
  }
  return { sums.begin(), sums.end() };
}

wire::DomainSummary
DomainSummaries::DifferingServices(
  const std::string& aDomain,
  const std::vector<std::int64_t>& aBuckets) const
{
  const auto held = this->Digests(aDomain);
  wire::DomainSummary summary = this->ChangesSince(aDomain, 0);
  if (const HeldSummary* const source = this->Find(aDomain)) {
    summary.contacts = source->contacts;
  }
  std::erase_if(summary.services, [&held, &aBuckets](const auto& aService) {
    const std::size_t bucket = BucketOf(aService.serviceName);
    return bucket < aBuckets.size() && aBuckets[bucket] == held[bucket];
  });
  return summary;
}

std::optional<PeerAddress>
DomainSummaries::AddressOf(const std::string& aHost) const
{
  const auto location = Locate(this->others, aHost);
  return location ? std::optional(location->address) : std::nullopt;
}

std::int64_t
DomainSummaries::IncarnationOf(const std::string& aHost) const
{
  const auto location = Locate(this->others, aHost);
  return location ? location->incarnation : 0;
}

} // namespace lacewingwharf
