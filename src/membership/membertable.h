#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** True when aLeft replaces aRight: higher incarnation, sequence, state. */
bool
Supersedes(const wire::MemberRecord& aLeft, const wire::MemberRecord& aRight);

/** Members that calls may be sent to; suspects keep their endpoints. */
bool
IsLive(const wire::MemberRecord& aRecord);

/**
 * The newest record of every member of one failure domain. Merging is
 * commutative and idempotent, so the table does not depend on arrival order.
 */
class MemberTable
{
public:
  /** Buckets of Digests(); a sync transfers only those that differ. */
  static constexpr std::size_t kBuckets = 256;

  /** Takes records of one failure domain, or all when aDomain is empty. */
  explicit MemberTable(std::string aDomain);

  /** True when the record replaced the held one. */
  bool Merge(const wire::MemberRecord& aRecord, Millis aNow);

  const wire::MemberRecord* Find(const std::string& aHost) const;

  /** Sorted by host. */
  const std::vector<std::string>& LiveHosts() const;
  std::vector<std::string> HostsInState(wire::MemberState::type aState) const;
  std::size_t SuspectCount() const;
  std::size_t Size() const;

  void ForEach(
    const std::function<void(const wire::MemberRecord&)>& aVisit) const;

  /** Drops dead and left members that changed before aBefore. */
  void Prune(Millis aBefore);

  std::vector<std::int64_t> Digests() const;
  static std::size_t BucketOf(const std::string& aHost);

  /** Raised by every change. */
  std::uint64_t Version() const;

  /** Raised when LiveHosts() changes. */
  std::uint64_t LiveVersion() const;

private:
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
