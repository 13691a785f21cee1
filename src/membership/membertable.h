#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Whether aLeft replaces aRight. Records are ordered by incarnation, then by
 * sequence, then by state; the higher one replaces the other.
 */
bool
Supersedes(const wire::MemberRecord& aLeft, const wire::MemberRecord& aRight);

/** Whether calls may be sent to the member: it is alive or only suspect. */
bool
IsLive(const wire::MemberRecord& aRecord);

/**
 * The newest record of every member of one failure domain. Merging is
 * commutative and idempotent, so the content of the table does not depend on
 * the order in which records arrive.
 */
class MemberTable
{
public:
  /** Number of hashes in Digests(); a sync transfers only differing buckets. */
  static constexpr std::size_t kBuckets = 256;

  /** Accepts records of aDomain only, or of all domains if it is empty. */
  explicit MemberTable(std::string aDomain);

  /**
   * True when the record is new or replaced the present one. aChangedAt is the
   * time for Prune().
   */
  bool Merge(const wire::MemberRecord& aRecord, Millis aChangedAt);

  const wire::MemberRecord* Find(const std::string& aHost) const;

  /** Hosts of live members, sorted. */
  const std::vector<std::string>& LiveHosts() const;

  /** Hosts of live members by region, sorted. */
  const std::map<std::string, std::vector<std::string>>& LiveHostsByRegion()
    const;
  std::vector<std::string> HostsInState(wire::MemberState::type aState) const;
  std::size_t SuspectCount() const;
  std::size_t Size() const;

  void ForEach(
    const std::function<void(const wire::MemberRecord&)>& aVisit) const;

  /**
   * Removes members that left before aLeftBefore and those that are dead since
   * before aDeadBefore.
   */
  void Prune(Millis aLeftBefore, Millis aDeadBefore);

  void Remove(const std::string& aHost);

  /** One hash per bucket; the host name selects the bucket of a record. */
  std::vector<std::int64_t> Digests() const;
  static std::size_t BucketOf(const std::string& aHost);

  /** Increases with every change. */
  std::uint64_t Version() const;

  /** Increases when LiveHosts() changes. */
  std::uint64_t LiveVersion() const;

private:
  void UpdateLiveHosts() const;

  struct Member
  {
    wire::MemberRecord record;
    Millis changedAt = 0;
  };

  std::string domain;
  std::map<std::string, Member> members;
  std::size_t suspectCount = 0;
  std::uint64_t version = 0;
  std::uint64_t liveVersion = 0;
  mutable std::uint64_t liveHostsVersion = ~0ULL;
  mutable std::vector<std::string> liveHosts;
  mutable std::map<std::string, std::vector<std::string>> liveHostsByRegion;
};

inline std::size_t
MemberTable::SuspectCount() const
{
  return this->suspectCount;
}

inline std::size_t
MemberTable::Size() const
{
  return this->members.size();
}

inline std::uint64_t
MemberTable::Version() const
{
  return this->version;
}

inline std::uint64_t
MemberTable::LiveVersion() const
{
  return this->liveVersion;
}

} // namespace lacewingwharf
