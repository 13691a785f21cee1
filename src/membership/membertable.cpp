#include "membership/membertable.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

auto
KeyOf(const wire::MemberRecord& aRecord)
{
  return std::tuple(
    aRecord.incarnation, aRecord.sequence, static_cast<int>(aRecord.state));
}

void
LogChange(const wire::MemberRecord& aRecord, const char* aBefore)
{
  kLog.Info("member {} {} -> {} incarnation {} sequence {}",
            aRecord.host,
            aBefore,
            to_string(aRecord.state),
            aRecord.incarnation,
            aRecord.sequence);
}

std::uint64_t
DigestOf(const wire::MemberRecord& aRecord)
{
  const std::uint64_t sequenceAndState =
    static_cast<std::uint64_t>(aRecord.sequence) * 8U +
    static_cast<std::uint64_t>(aRecord.state);
  const auto incarnation = static_cast<std::uint64_t>(aRecord.incarnation);
  return Hash64(aRecord.host,
                Hash64(aRecord.host, incarnation) + sequenceAndState);
}

} // namespace

bool
Supersedes(const wire::MemberRecord& aLeft, const wire::MemberRecord& aRight)
{
  return KeyOf(aLeft) > KeyOf(aRight);
}

bool
IsLive(const wire::MemberRecord& aRecord)
{
  return aRecord.state == wire::MemberState::ALIVE ||
         aRecord.state == wire::MemberState::SUSPECT;
}

MemberTable::MemberTable(std::string aDomain)
  : domain(std::move(aDomain))
{
}

bool
MemberTable::Merge(const wire::MemberRecord& aRecord, Millis aChangedAt)
{
  if (!this->domain.empty() && aRecord.domain != this->domain) {
    return false;
  }
  const auto [position, isNew] = this->members.try_emplace(aRecord.host);
  Member& member = position->second;
  if (!isNew && !Supersedes(aRecord, member.record)) {
    return false;
  }
  if (isNew || member.record.state != aRecord.state) {
    LogChange(aRecord, isNew ? "new" : to_string(member.record.state).c_str());
  }
  const auto isSuspect = [](const wire::MemberRecord& aMember) {
    return aMember.state == wire::MemberState::SUSPECT ? 1U : 0U;
  };
  this->suspectCount += isSuspect(aRecord);
  this->suspectCount -= isNew ? 0U : isSuspect(member.record);
  const bool wasLive = !isNew && IsLive(member.record);
  this->liveVersion += wasLive == IsLive(aRecord) ? 0U : 1U;
  member.record = aRecord;
  member.changedAt = aChangedAt;
  ++this->version;
  return true;
}

const wire::MemberRecord*
MemberTable::Find(const std::string& aHost) const
{
  const auto position = this->members.find(aHost);
  return position == this->members.end() ? nullptr : &position->second.record;
}

void
MemberTable::UpdateLiveHosts() const
{
  if (this->liveHostsVersion == this->liveVersion) {
    return;
  }
  this->liveHosts.clear();
  this->liveHostsByRegion.clear();
  for (const auto& [host, member] : this->members) {
    if (IsLive(member.record)) {
      this->liveHosts.push_back(host);
      this->liveHostsByRegion[member.record.region].push_back(host);
    }
  }
  this->liveHostsVersion = this->liveVersion;
}

const std::vector<std::string>&
MemberTable::LiveHosts() const
{
  this->UpdateLiveHosts();
  return this->liveHosts;
}

const std::map<std::string, std::vector<std::string>>&
MemberTable::LiveHostsByRegion() const
{
  this->UpdateLiveHosts();
  return this->liveHostsByRegion;
}

std::vector<std::string>
MemberTable::HostsInState(wire::MemberState::type aState) const
{
  std::vector<std::string> hosts;
  for (const auto& [host, member] : this->members) {
    if (member.record.state == aState) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void
MemberTable::ForEach(
  const std::function<void(const wire::MemberRecord&)>& aVisit) const
{
  for (const auto& [host, member] : this->members) {
    aVisit(member.record);
  }
}

void
MemberTable::Prune(Millis aLeftBefore, Millis aDeadBefore)
{
  const auto removed = std::erase_if(this->members, [=](const auto& aItem) {
    const Member& member = aItem.second;
    const bool hasLeft = member.record.state == wire::MemberState::LEFT;
    return !IsLive(member.record) &&
           member.changedAt < (hasLeft ? aLeftBefore : aDeadBefore);
  });
  this->version += removed > 0 ? 1U : 0U;
}

void
MemberTable::Remove(const std::string& aHost)
{
  const auto member = this->members.find(aHost);
  if (member == this->members.end()) {
    return;
  }
  const wire::MemberRecord& record = member->second.record;
  this->suspectCount -= record.state == wire::MemberState::SUSPECT ? 1U : 0U;
  this->liveVersion += IsLive(record) ? 1U : 0U;
  this->members.erase(member);
  ++this->version;
}

std::vector<std::int64_t>
MemberTable::Digests() const
{
  std::vector<std::uint64_t> sums(kBuckets, 0);
  for (const auto& [host, member] : this->members) {
    sums[BucketOf(host)] ^= DigestOf(member.record);
  }
  return { sums.begin(), sums.end() };
}

std::size_t
MemberTable::BucketOf(const std::string& aHost)
{
  return Hash64(aHost) % kBuckets;
}

} // namespace lacewingwharf
