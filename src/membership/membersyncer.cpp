#include "membership/membersyncer.h"

#include "membership/membertable.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace lacewingwharf {

namespace {

// Number of other members in a refusal. While many daemons start at once, the
// refused ones thereby spread their requests over more and more members.
constexpr std::size_t kBusyRecords = 8;

std::set<std::int32_t>
DifferingBuckets(const std::vector<std::int64_t>& aTheirs,
                 const std::vector<std::int64_t>& aOurs)
{
  std::set<std::int32_t> differing;
  for (std::size_t bucket = 0; bucket < aOurs.size(); ++bucket) {
    const bool isKnown = bucket < aTheirs.size();
    if (!isKnown || aTheirs[bucket] != aOurs[bucket]) {
      differing.insert(static_cast<std::int32_t>(bucket));
    }
  }
  return differing;
}

bool
IsIn(const std::set<std::int32_t>& aBuckets, const std::string& aHost)
{
  const auto bucket = static_cast<std::int32_t>(MemberTable::BucketOf(aHost));
  return aBuckets.contains(bucket);
}

} // namespace

ByteBudget::ByteBudget(std::size_t aBytesPerSecond, std::size_t aBurst)
  : bytesPerMilli(static_cast<double>(aBytesPerSecond) / 1000.0)
  , burst(static_cast<double>(aBurst))
  , tokens(this->burst)
{
}

bool
ByteBudget::IsAvailable(Millis aNow)
{
  this->Refill(aNow);
  return this->tokens > 0;
}

void
ByteBudget::Spend(std::size_t aBytes)
{
  this->tokens -= static_cast<double>(aBytes);
}

void
ByteBudget::Refill(Millis aNow)
{
  const Millis elapsed = aNow - this->refilledAt.value_or(aNow);
  this->tokens += static_cast<double>(elapsed) * this->bytesPerMilli;
  this->tokens = std::min(this->tokens, this->burst);
  this->refilledAt = aNow;
}

MemberSyncer::MemberSyncer(MemberSyncerConfig aConfig, Random aRandom)
  : config(std::move(aConfig))
  , random(std::move(aRandom))
  , interval(this->config.retryInterval)
{
}

Millis
MemberSyncer::Jittered(Millis aInterval) const
{
  const auto bound = static_cast<std::uint64_t>(aInterval / 2 + 1);
  return aInterval * 3 / 4 +
         static_cast<Millis>(RandomBelow(this->random, bound));
}

bool
MemberSyncer::IsDue(Millis aNow)
{
  if (!this->nextAt) {
    const auto bound = static_cast<std::uint64_t>(this->config.startJitter + 1);
    this->nextAt = aNow + static_cast<Millis>(RandomBelow(this->random, bound));
  }
  if (aNow < *this->nextAt) {
    return false;
  }
  if (!this->hasSynced) {
    this->nextAt = aNow + this->Jittered(this->config.retryInterval);
    return true;
  }
  this->nextAt = aNow + this->Jittered(this->interval);
  this->interval = std::min(2 * this->interval, this->config.interval);
  return true;
}

void
MemberSyncer::ScheduleEarlySync(Millis aNow)
{
  this->interval = this->config.retryInterval;
  this->nextAt = aNow + this->config.startJitter / 2;
}

wire::MemberSync
MemberSyncer::Request(const MemberTable& aTable) const
{
  wire::MemberSync request;
  request.records.push_back(*aTable.Find(this->config.self));
  if (this->hasSynced) {
    request.buckets = aTable.Digests();
  }
  return request;
}

wire::MemberSync
MemberSyncer::AnswerTo(const wire::MemberSync& aRequest,
                       const MemberTable& aTable)
{
  wire::MemberSync answer;
  answer.isReply = true;
  const auto differing = DifferingBuckets(aRequest.buckets, aTable.Digests());
  if (!aRequest.buckets.empty()) {
    answer.differing.assign(differing.begin(), differing.end());
  }
  aTable.ForEach([&answer, &differing](const wire::MemberRecord& aRecord) {
    if (IsIn(differing, aRecord.host)) {
      answer.records.push_back(aRecord);
    }
  });
  return answer;
}

wire::MemberSync
MemberSyncer::BusyAnswer(const MemberTable& aTable) const
{
  wire::MemberSync answer;
  answer.isReply = true;
  answer.retryAfterMillis =
    static_cast<std::int32_t>(this->Jittered(this->config.retryInterval));
  const auto& hosts = aTable.LiveHosts();
  const std::size_t count = std::min(hosts.size(), kBusyRecords);
  const std::size_t first =
    hosts.empty() ? 0 : RandomBelow(this->random, hosts.size());
  for (std::size_t index = 0; index < count; ++index) {
    answer.records.push_back(
      *aTable.Find(hosts[(first + index) % hosts.size()]));
  }
  return answer;
}

std::optional<wire::MemberSync>
MemberSyncer::Complete(const wire::MemberSync& aAnswer,
                       const MemberTable& aTable,
                       Millis aNow)
{
  if (aAnswer.retryAfterMillis > 0) {
    this->nextAt = aNow + aAnswer.retryAfterMillis;
    return std::nullopt;
  }
  if (!this->hasSynced) {
    this->hasSynced = true;
    this->nextAt = aNow + this->Jittered(this->interval);
  }
  const std::set<std::int32_t> differing(aAnswer.differing.begin(),
                                         aAnswer.differing.end());
  std::map<std::string, const wire::MemberRecord*> theirs;
  for (const wire::MemberRecord& record : aAnswer.records) {
    theirs[record.host] = &record;
  }
  wire::MemberSync rest;
  rest.isReply = true;
  aTable.ForEach([&](const wire::MemberRecord& aRecord) {
    const auto known = theirs.find(aRecord.host);
    const bool isMissing =
      known == theirs.end() || Supersedes(aRecord, *known->second);
    if (isMissing && IsIn(differing, aRecord.host)) {
      rest.records.push_back(aRecord);
    }
  });
  if (rest.records.empty()) {
    return std::nullopt;
  }
  return rest;
}

} // namespace lacewingwharf
