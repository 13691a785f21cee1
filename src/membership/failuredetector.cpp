#include "membership/failuredetector.h"

#include "common/log.h"
#include "membership/membertable.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

constexpr std::size_t kIndirectProbes = 3;

// A daemon in a large failure domain cannot suspect half of it within one
// suspicion time by itself; this many failed probes in a row, all of different
// members, show the same earlier.
constexpr std::size_t kRecentProbes = 3;

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
  const bool paused = this->NoticePause(aNow);
  this->AdvanceProbe(aNow, aTable);
  this->UpdateCutOff(aNow, aTable);
  this->ExpireSuspicions(aNow);
  return paused;
}

bool
FailureDetector::NoticePause(Millis aNow)
{
  // Half an interval is the longest gap after which an answer to a probe can
  // still be read in time.
  const bool paused =
    this->lastTick && aNow - *this->lastTick > this->config.interval / 2;
  if (paused) {
    kLog.Warning("paused for {} ms: suspicions restart",
                 aNow - *this->lastTick);
    this->probe.reset();
    this->recent.clear();
    this->RestartSuspicions(aNow);
  }
  this->lastTick = aNow;
  return paused;
}

void
FailureDetector::RestartSuspicions(Millis aNow)
{
  for (auto& [host, deadline] : this->deadlines) {
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
      this->AskOthers(aTable);
    }
  }
  if (!this->probe && aNow >= this->nextProbeAt) {
    this->StartProbe(aNow, aTable);
  }
}

void
FailureDetector::AskOthers(const MemberTable& aTable)
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
    this->targets = aTable.LiveHosts();
    std::erase(this->targets, this->config.self);
    Shuffle(this->targets, this->random);
  }
  return std::nullopt;
}

void
FailureDetector::EndProbe(bool aAnswered)
{
  this->recent.push_back({ this->probe->host, aAnswered });
  if (this->recent.size() > kRecentProbes) {
    this->recent.pop_front();
  }
  this->probe.reset();
}

void
FailureDetector::Acknowledged(const std::string& aHost, std::int64_t aSequence)
{
  if (this->probe && this->probe->sequence == aSequence &&
      this->probe->host == aHost) {
    this->EndProbe(true);
  }
}

void
FailureDetector::Observe(const wire::MemberRecord& aRecord, Millis aNow)
{
  if (aRecord.state != wire::MemberState::SUSPECT) {
    this->deadlines.erase(aRecord.host);
    return;
  }
  this->deadlines[aRecord.host] = aNow + this->config.suspicionTime;
}

bool
FailureDetector::LooksCutOff(const MemberTable& aTable) const
{
  const std::size_t live = aTable.LiveHosts().size();
  return aTable.SuspectCount() * 2 > live || this->RecentProbesFailed();
}

bool
FailureDetector::RecentProbesFailed() const
{
  if (this->recent.size() < kRecentProbes ||
      std::ranges::any_of(this->recent, &ProbeResult::answered)) {
    return false;
  }
  std::vector<std::string> hosts;
  std::ranges::transform(
    this->recent, std::back_inserter(hosts), &ProbeResult::host);
  std::ranges::sort(hosts);
  return std::ranges::adjacent_find(hosts) == hosts.end();
}

void
FailureDetector::UpdateCutOff(Millis aNow, const MemberTable& aTable)
{
  const bool now = this->LooksCutOff(aTable);
  if (now == this->isCutOff) {
    return;
  }
  this->isCutOff = now;
  if (now) {
    kLog.Warning("cut off: {} of {} members suspect, none is removed",
                 aTable.SuspectCount(),
                 aTable.LiveHosts().size());
    return;
  }
  kLog.Info("connected again: suspicions restart");
  this->RestartSuspicions(aNow);
}

void
FailureDetector::ExpireSuspicions(Millis aNow)
{
  if (this->isCutOff) {
    return;
  }
  std::vector<std::string> expired;
  for (const auto& [host, deadline] : this->deadlines) {
    if (aNow >= deadline) {
      expired.push_back(host);
    }
  }
  std::ranges::for_each(expired, this->hooks.declareDead);
}

} // namespace lacewingwharf
