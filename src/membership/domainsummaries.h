#pragma once

#include "common/clock.h"
#include "peer/peernetwork.h"
#include "peer_types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

class MemberTable;

/** Per host and service, as reported to the feeders. */
using HostLoads = std::map<std::string, wire::LoadReport>;

/** What Build() found different from the last summary. */
enum class SummaryChange
{
  None,
  Load, // Only free slots or slowdown.
  Endpoints
};

/** One failure domain's summary with its services by name. */
struct HeldSummary
{
  std::string region;
  std::string domain;
  std::int64_t stamp = 0; // Complete up to here.
  std::map<std::string, wire::ServiceSummary> services;
  std::vector<wire::MemberRecord> contacts;
  Millis receivedAt = 0;

  /** Highest stamp by root; along each tree a summary travels on once. */
  std::map<std::string, std::int64_t> stampsByRoot;
};

/** What follows from merging a summary. */
struct MergedSummary
{
  /** The stamp is new on the tree that the summary travels along. */
  bool isNewOnTree = false;
  bool hasChanges = false;

  /** What the sender has to learn: services held with a higher stamp. */
  std::optional<wire::DomainSummary> correction;
};

/**
 * Summaries of all failure domains. Services merge one by one, the higher
 * stamp wins. A failure domain that is unreachable keeps its last summary.
 */
class DomainSummaries
{
public:
  DomainSummaries(std::string aRegion, std::string aDomain);

  /**
   * Builds the own summary from the records and reported loads. Feeders after
   * the first one leave changes to it for a while.
   */
  SummaryChange Build(const MemberTable& aTable,
                      const HostLoads& aLoads,
                      std::vector<wire::MemberRecord> aContacts,
                      Millis aWallNow,
                      bool aIsFirstRelay);

  /** A new stamp for unchanged services, so that a refresh travels on. */
  void Touch(Millis aWallNow);

  MergedSummary Merge(const wire::DomainSummary& aSummary, Millis aNow);

  /** True when the services between the held stamp and aSummary.base lack. */
  bool HasGapBefore(const wire::DomainSummary& aSummary) const;

  /** Contacts learned in passing, for a domain not heard of since aBefore. */
  void AddContacts(const wire::DomainSummary& aSummary, Millis aBefore);

  /** Services of a domain that changed after aSince; without contacts. */
  wire::DomainSummary Since(const std::string& aDomain,
                            std::int64_t aSince) const;

  /** Hash per bucket of a domain's services and their stamps. */
  std::vector<std::int64_t> Digests(const std::string& aDomain) const;

  /** The services in the buckets that differ from aBuckets. */
  wire::DomainSummary Differing(
    const std::string& aDomain,
    const std::vector<std::int64_t>& aBuckets) const;

  const HeldSummary* Find(const std::string& aDomain) const;
  const HeldSummary& Own() const;

  /** By domain; without the own one. */
  const std::map<std::string, HeldSummary>& Others() const;

  /** Of a contact or sampled host of another domain. */
  std::optional<PeerAddress> AddressOf(const std::string& aHost) const;
  std::int64_t IncarnationOf(const std::string& aHost) const;

  /** Raised when a summary of another domain changed. */
  std::uint64_t Version() const;

private:
  std::int64_t NextStamp(Millis aWallNow) const;
  bool ShouldAdopt(const wire::ServiceSummary& aHeld,
                   const wire::ServiceSummary& aBuilt,
                   Millis aWallNow,
                   bool aIsFirstRelay);
  void MergeHeader(HeldSummary& aHeld, const wire::DomainSummary& aSummary);

  HeldSummary own;
  std::map<std::string, wire::ServiceSummary> built; // By the last Build().
  std::map<std::string, Millis> differsSince;
  std::map<std::string, HeldSummary> others;
  std::uint64_t version = 0;
};

inline const HeldSummary&
DomainSummaries::Own() const
{
  return this->own;
}

inline const std::map<std::string, HeldSummary>&
DomainSummaries::Others() const
{
  return this->others;
}

inline std::uint64_t
DomainSummaries::Version() const
{
  return this->version;
}

inline const HeldSummary*
DomainSummaries::Find(const std::string& aDomain) const
{
  if (aDomain == this->own.domain) {
    return &this->own;
  }
  const auto position = this->others.find(aDomain);
  return position == this->others.end() ? nullptr : &position->second;
}

} // namespace lacewingwharf
