#include "rollout/rolloutnotices.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Millis kInterval = 500;

// A daemon without rollouts, or an older one, never acknowledges.
constexpr int kMaxSent = 20;

} // namespace

RolloutNotices::RolloutNotices(Clock aClock, Send aSend)
  : clock(std::move(aClock))
  , send(std::move(aSend))
{
}

void
RolloutNotices::SetEnd(const wire::RolloutShare& aEnd)
{
  Notice& notice = this->notices[aEnd.serviceName];
  if (notice.share.order == aEnd.order && notice.share.state == aEnd.state &&
      notice.share.storeEra == aEnd.storeEra) {
    return;
  }
  notice = { aEnd, {} };
  this->dueAt = 0;
}

void
RolloutNotices::SetVersions(const std::map<std::string, std::string>& aVersions,
                            const std::string& aSelf,
                            std::int64_t aIncarnation)
{
  std::erase_if(this->notices, [&aVersions](const auto& aPair) {
    const wire::RolloutShare& share = aPair.second.share;
    const auto found = aVersions.find(aPair.first);
    return share.state == wire::RolloutState::NONE &&
           (found == aVersions.end() || found->second != share.baseVersion);
  });
  for (const auto& [service, version] : aVersions) {
    wire::RolloutShare share;
    share.decider = aSelf;
    share.deciderIncarnation = aIncarnation;
    share.serviceName = service;
    share.state = wire::RolloutState::NONE;
    share.baseVersion = version;
    share.sequence = -aIncarnation; // The daemon that started first counts.
    this->notices.try_emplace(service, Notice{ share, {} });
  }
}

void
RolloutNotices::Remove(const std::string& aService)
{
  this->notices.erase(aService);
}

void
RolloutNotices::HandleReport(const wire::RolloutReport& aReport)
{
  const auto found = this->notices.find(aReport.serviceName);
  if (found == this->notices.end()) {
    return;
  }
  const wire::RolloutShare& share = found->second.share;
  const bool isKnown =
    aReport.order > share.order ||
    (aReport.order == share.order && aReport.state == share.state);
  Receiver& receiver = found->second.receivers[aReport.host];
  if (isKnown && receiver.incarnation <= aReport.incarnation) {
    receiver = { aReport.incarnation, receiver.sent, true };
  }
}

void
RolloutNotices::Tick(const std::vector<RolloutMember>& aMembers)
{
  if (this->clock.Now() < this->dueAt) {
    return;
  }
  this->dueAt = this->clock.Now() + kInterval;
  for (auto& [service, notice] : this->notices) {
    for (const RolloutMember& member : aMembers) {
      Receiver& receiver = notice.receivers[member.host];
      if (receiver.incarnation < member.incarnation) {
        receiver = { member.incarnation, 0, false };
      }
      const bool isConcerned =
        notice.share.state != wire::RolloutState::NONE ||
        member.incarnation > notice.share.deciderIncarnation;
      if (isConcerned && member.isAlive && !receiver.hasAcknowledged &&
          receiver.sent < kMaxSent) {
        ++receiver.sent;
        this->send(member.host, notice.share);
      }
    }
  }
}

} // namespace lacewingwharf
