#include "membership/failuredetector.h"

#include "common/log.h"
#include "membership/membertable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

constexpr std::size_t kIndirectProbes = 3;

// In a large failure domain, a partitioned daemon cannot probe, and so suspect,
// half of the members within one suspicion time. This many failed probes in a
// row, all of different members, show the partition earlier.
constexpr std::size_t kRecentProbeCount = 3;

// A round of probes contains all members of the own region and one of this many
// members of the other regions.
constexpr std::size_t kOtherRegionShare = 8;

void
Shuffle(std::vector<std::string>& aHosts, const Random& aRandom)
{
  for (std::size_t left = aHosts.size(); left > 1; --left) {
    std::swap(aHosts[left - 1], aHosts[RandomBelow(aRandom, left)]);
  }
}

} // namespace

FailureDetector::FailureDetector(FailureDetectorConfig aConfig,
                                 Random aRandom,
                                 FailureDetectorHooks aHooks)
  : config(std::move(aConfig))
  , random(std::move(aRandom))
  , hooks(std::move(aHooks))
{
}

bool
FailureDetector::Tick(Millis aNow, const MemberTable& aTable)
{
  const bool hasPaused = this->DetectPause(aNow);
  this->AdvanceProbe(aNow, aTable);
  this->UpdatePartitionState(aNow, aTable);
  this->ExpireSuspicions(aNow);
  return hasPaused;
}

bool
FailureDetector::DetectPause(Millis aNow)
{
  // After a gap of more than half an interval, the answer to a probe may not be
  // read in time.
  const bool hasPaused =
    this->lastTick && aNow - *this->lastTick > this->config.interval / 2;
  if (hasPaused) {
    kLog.Warning("process paused for {} ms: restarting all suspicion timeouts",
                 aNow - *this->lastTick);
    this->probe.reset();
    this->recentProbes.clear();
    this->RestartSuspicions(aNow);
  }
  this->lastTick = aNow;
  return hasPaused;
}

void
FailureDetector::RestartSuspicions(Millis aNow)
{
  for (auto& [host, deadline] : this->suspicionDeadlines) {
    deadline = aNow + this->config.suspicionTime;
  }
}

void
FailureDetector::AdvanceProbe(Millis aNow, const MemberTable& aTable)
{
  if (this->probe) {
    const Millis waited = aNow - this->probe->sentAt;
    if (waited >= this->config.interval) {
      const std::string host = this->probe->host;
      this->EndProbe(false);
      this->hooks.suspect(host);
    } else if (waited >= this->config.interval / 2 &&
               !this->probe->isIndirect) {
      this->SendPingRequests(aTable);
    }
  }
  if (!this->probe && aNow >= this->nextProbeAt) {
    this->StartProbe(aNow, aTable);
  }
}

void
FailureDetector::SendPingRequests(const MemberTable& aTable)
{
  this->probe->isIndirect = true;
  std::vector<std::string> helpers = aTable.LiveHosts();
  std::erase(helpers, this->config.self);
  std::erase(helpers, this->probe->host);
  Shuffle(helpers, this->random);
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  for (const std::string& helper : helpers) {
    this->hooks.pingRequest(helper, this->probe->host, this->probe->sequence);
  }
}

void
FailureDetector::StartProbe(Millis aNow, const MemberTable& aTable)
{
  this->nextProbeAt = aNow + this->config.interval;
  const auto target = this->NextTarget(aTable);
  if (!target) {
    return;
  }
  this->probe = Probe{ *target, this->NextSequence(), aNow, false };
  this->hooks.ping(*target, this->probe->sequence);
}

std::optional<std::string>
FailureDetector::NextTarget(const MemberTable& aTable)
{
  const auto isProbed = [&aTable](const std::string& aHost) {
    const wire::MemberRecord* const record = aTable.Find(aHost);
    return record != nullptr && IsLive(*record);
  };
  for (int round = 0; round < 2; ++round) {
    while (!this->targets.empty()) {
      std::string host = std::move(this->targets.back());
      this->targets.pop_back();
      if (isProbed(host)) {
        return host;
      }
    }
    this->targets = this->TargetsOfRound(aTable);
  }
  return std::nullopt;
}

std::vector<std::string>
FailureDetector::TargetsOfRound(const MemberTable& aTable) const
{
  std::vector<std::string> targets;
  for (const auto& [region, hosts] : aTable.LiveHostsByRegion()) {
    std::vector<std::string> members = hosts;
    std::erase(members, this->config.self);
    Shuffle(members, this->random);
    if (region != this->config.region) {
      members.resize((members.size() + kOtherRegionShare - 1) /
                     kOtherRegionShare);
    }
    std::ranges::move(members, std::back_inserter(targets));
  }
  Shuffle(targets, this->random);
  return targets;
}

void
FailureDetector::EndProbe(bool aIsAnswered)
{
  this->recentProbes.push_back({ this->probe->host, aIsAnswered });
  if (this->recentProbes.size() > kRecentProbeCount) {
    this->recentProbes.pop_front();
  }
  this->probe.reset();
}

void
FailureDetector::HandleProbeAck(const std::string& aHost,
                                std::int64_t aSequence)
{
  if (this->probe && this->probe->sequence == aSequence &&
      this->probe->host == aHost) {
    this->EndProbe(true);
  }
}

void
FailureDetector::UpdateSuspicion(const wire::MemberRecord& aRecord, Millis aNow)
{
  if (aRecord.state != wire::MemberState::SUSPECT) {
    this->suspicionDeadlines.erase(aRecord.host);
    return;
  }
  this->suspicionDeadlines[aRecord.host] = aNow + this->config.suspicionTime;
}

bool
FailureDetector::LooksPartitioned(const MemberTable& aTable) const
{
  const std::size_t live = aTable.LiveHosts().size();
  return aTable.SuspectCount() * 2 > live || this->RecentProbesFailed();
}

bool
FailureDetector::RecentProbesFailed() const
{
  if (this->recentProbes.size() < kRecentProbeCount ||
      std::ranges::any_of(this->recentProbes, &ProbeResult::isAnswered)) {
    return false;
  }
  std::vector<std::string> hosts;
  std::ranges::transform(
    this->recentProbes, std::back_inserter(hosts), &ProbeResult::host);
  std::ranges::sort(hosts);
  return std::ranges::adjacent_find(hosts) == hosts.end();
}

void
FailureDetector::UpdatePartitionState(Millis aNow, const MemberTable& aTable)
{
  const bool looksPartitioned = this->LooksPartitioned(aTable);
  if (looksPartitioned == this->isPartitioned) {
    return;
  }
  this->isPartitioned = looksPartitioned;
  if (looksPartitioned) {
    kLog.Warning("probably partitioned: {} of {} members are suspect, "
                 "none is declared dead",
                 aTable.SuspectCount(),
                 aTable.LiveHosts().size());
    return;
  }
  kLog.Info("partition ended: restarting all suspicion timeouts");
  this->RestartSuspicions(aNow);
}

void
FailureDetector::ExpireSuspicions(Millis aNow)
{
  if (this->isPartitioned) {
    return;
  }
  std::vector<std::string> expired;
  for (const auto& [host, deadline] : this->suspicionDeadlines) {
    if (aNow >= deadline) {
      expired.push_back(host);
    }
  }
  std::ranges::for_each(expired, this->hooks.declareDead);
}

} // namespace lacewingwharf
