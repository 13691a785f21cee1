#include "admission/limitshare.h"

#include "common/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

std::vector<SharePart>
PartsOf(const std::map<std::string, std::int64_t>& aMap)
{
  std::vector<SharePart> parts;
  parts.reserve(aMap.size());
  for (const auto& [name, slots] : aMap) {
    parts.push_back({ name, slots, 0 });
  }
  return parts;
}

std::int64_t
ShareOfPart(const std::map<std::string, std::int64_t>& aMap,
            const std::string& aName,
            std::int64_t aTotal,
            std::string_view aSalt)
{
  auto parts = PartsOf(aMap);
  SplitByLargestRemainder(aTotal, aSalt, parts);
  const auto part = std::ranges::find(parts, aName, &SharePart::name);
  return part == parts.end() ? 0 : part->share;
}

} // namespace

void
SplitByLargestRemainder(std::int64_t aTotal,
                        std::string_view aSalt,
                        std::vector<SharePart>& aParts)
{
  struct Remainder
  {
    std::int64_t value;
    std::uint64_t tieBreak;
    SharePart* part;
  };
  std::int64_t slots = 0;
  for (const SharePart& part : aParts) {
    slots += part.slots;
  }
  if (slots <= 0) {
    return;
  }
  const std::uint64_t seed = Hash64(aSalt);
  std::int64_t assigned = 0;
  std::vector<Remainder> remainders;
  for (SharePart& part : aParts) {
    part.share = aTotal * part.slots / slots;
    assigned += part.share;
    remainders.push_back(
      { aTotal * part.slots % slots, Hash64(part.name, seed), &part });
  }
  std::ranges::sort(remainders, [](const auto& aLeft, const auto& aRight) {
    return std::tie(aRight.value, aLeft.tieBreak, aLeft.part->name) <
           std::tie(aLeft.value, aRight.tieBreak, aRight.part->name);
  });
  for (std::int64_t index = 0; index < aTotal - assigned; ++index) {
    ++remainders[static_cast<std::size_t>(index)].part->share;
  }
}

LimitShare::LimitShare(std::string aHost)
  : host(std::move(aHost))
{
}

void
LimitShare::AddService(const ServiceView& aView, std::int64_t aOwnSlots)
{
  if (this->ownDomain.empty()) {
    this->ownDomain = this->OwnDomain(aView);
  }
  std::map<std::string, std::int64_t> serviceSlotsByDomain;
  bool isListed = false;
  for (const EndpointInfo& endpoint : aView.endpoints) {
    serviceSlotsByDomain[endpoint.domain] += endpoint.slots;
    if (endpoint.domain == this->ownDomain) {
      this->slotsByHost[endpoint.host] += endpoint.slots;
    }
    isListed = isListed || endpoint.host == this->host;
  }
  for (const DomainLoad& load : aView.domains) {
    serviceSlotsByDomain[load.domain] = load.slots;
  }
  for (const auto& [domain, slots] : serviceSlotsByDomain) {
    this->slotsByDomain[domain] += slots;
  }
  if (!isListed && aOwnSlots > 0) {
    this->slotsByHost[this->host] += aOwnSlots;
    this->slotsByDomain[this->ownDomain] += aOwnSlots;
  }
}

std::int64_t
LimitShare::ShareOf(std::int64_t aTotal, std::string_view aSalt) const
{
  const std::int64_t domainShare =
    ShareOfPart(this->slotsByDomain, this->ownDomain, aTotal, aSalt);
  return ShareOfPart(this->slotsByHost, this->host, domainShare, aSalt);
}

std::string
LimitShare::OwnDomain(const ServiceView& aView) const
{
  const auto ownEndpoint =
    std::ranges::find(aView.endpoints, this->host, &EndpointInfo::host);
  if (ownEndpoint != aView.endpoints.end()) {
    return ownEndpoint->domain;
  }
  const auto sameDomain = std::ranges::find(
    aView.domains, Distance::SameDomain, &DomainLoad::distance);
  return sameDomain == aView.domains.end() ? std::string() : sameDomain->domain;
}

} // namespace lacewingwharf
