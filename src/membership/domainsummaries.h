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

/** Load reports by host, as sent to the relays. */
using HostLoads = std::map<std::string, wire::LoadReport>;

/** How the summary from Build() differs from the previous one. */
enum class SummaryChange
{
  None,
  Load,     // Only free slots or slowdown differ.
  Endpoints // Ready endpoints, slots, samples or contacts differ.
};

/** The summary of one failure domain, as this daemon holds it. */
struct HeldSummary
{
  std::string region;
  std::string domain;
  std::int64_t stamp = 0; // All changes up to this stamp are included.
  std::map<std::string, wire::ServiceSummary> services;
  std::vector<wire::MemberRecord> contacts;
  Millis receivedAt = 0;

  /**
   * Highest stamp received from each tree root. A summary is forwarded once
   * along each tree.
   */
  std::map<std::string, std::int64_t> stampsByRoot;
};

/** Result of merging a summary. */
struct MergedSummary
{
  /** Whether the stamp is new on the tree that the summary came along. */
  bool isNewOnTree = false;

  /** Whether the content of a service changed or a service was added. */
  bool hasChanges = false;

  /**
   * Services that this daemon holds with a higher stamp, to be sent back to the
   * sender. Empty if there are none.
   */
  std::optional<wire::DomainSummary> correction;
};

/**
 * Summaries of all failure domains. Services are merged individually, and the
 * higher stamp replaces the lower. The last summary of an unreachable failure
 * domain is kept.
 */
class DomainSummaries
{
public:
  DomainSummaries(std::string aRegion, std::string aDomain);

  /**
   * Builds the summary of the own domain from records and reported loads.
   * Relays after the first one adopt a change later, so that normally only the
   * first relay sends it.
   */
  SummaryChange Build(const MemberTable& aTable,
                      const HostLoads& aLoads,
                      std::vector<wire::MemberRecord> aContacts,
                      Millis aWallNow,
                      bool aIsFirstRelay);

  /**
   * Raises the stamp of the own summary without a change of its services, so
   * that other members forward a refresh.
   */
  void Touch(Millis aWallNow);

  /** Merges a received summary of any domain, including the own one. */
  MergedSummary Merge(const wire::DomainSummary& aSummary, Millis aNow);

  /** Whether changes between the held stamp and aSummary.base are missing. */
  bool HasGapBefore(const wire::DomainSummary& aSummary) const;

  /**
   * Sets the contacts of a domain that is unknown or whose last summary was
   * received no later than aBefore.
   */
  void AddContacts(const wire::DomainSummary& aSummary, Millis aBefore);

  /** Services of a domain with a stamp after aSince; without contacts. */
  wire::DomainSummary ChangesSince(const std::string& aDomain,
                                   std::int64_t aSince) const;

  /** One hash per bucket over the services of a domain and their stamps. */
  std::vector<std::int64_t> Digests(const std::string& aDomain) const;

  /** Services in buckets that differ from aBuckets; with contacts. */
  wire::DomainSummary DifferingServices(
    const std::string& aDomain,
    const std::vector<std::int64_t>& aBuckets) const;

  const HeldSummary* Find(const std::string& aDomain) const;
  const HeldSummary& Own() const;

  /** Summaries of the other domains, by domain. */
  const std::map<std::string, HeldSummary>& Others() const;

  /** Address of a contact or sampled host of another domain. */
  std::optional<PeerAddress> AddressOf(const std::string& aHost) const;

  /** Incarnation of such a host; 0 if the host is not known. */
  std::int64_t IncarnationOf(const std::string& aHost) const;

  /** Increases when a received summary or contact changes the content. */
  std::uint64_t Version() const;

private:
  std::int64_t NextStamp(Millis aWallNow) const;
  bool ShouldAdopt(const wire::ServiceSummary& aHeld,
                   const wire::ServiceSummary& aBuilt,
                   Millis aWallNow,
                   bool aIsFirstRelay);
  void MergeHeader(HeldSummary& aHeld, const wire::DomainSummary& aSummary);

  HeldSummary own;
  std::map<std::string, wire::ServiceSummary> built; // By the previous Build().
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
