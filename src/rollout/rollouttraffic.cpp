#include "rollout/rollouttraffic.h"

#include "rollout/rolloutdecider.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Millis kReportInterval = 250;

// The last stretch is short, and the decider waits for reports that the old
// servers are idle.
constexpr Millis kStretchReportInterval = 80;
constexpr Millis kMinReportInterval = 20;

// A decider that has lost the store goes on sending old shares. It is told of
// its successor, but not with each of them: it answers every report at once.
constexpr Millis kRejectionInterval = 500;

// When the decider does not answer, a successor sends a share of its own.
constexpr Millis kSilenceTime = 3000;
constexpr Millis kSilentReportInterval = 1000;

/** Requests that run on servers of other versions than the order's. */
std::int32_t
OthersRunning(const std::map<std::string, std::int64_t>& aRunning,
              const wire::RolloutShare& aOrder)
{
  std::int64_t others = 0;
  for (const auto& [version, count] : aRunning) {
    others += version == aOrder.targetVersion ? 0 : count;
  }
  return static_cast<std::int32_t>(others);
}

} // namespace

RolloutTraffic::RolloutTraffic(std::string aHost,
                               std::int64_t aIncarnation,
                               Clock aClock,
                               Send aSend)
  : host(std::move(aHost))
  , incarnation(aIncarnation)
  , clock(aClock)
  , send(std::move(aSend))
  , gate(aIncarnation, std::move(aClock))
{
}

void
RolloutTraffic::SetView(const EndpointView& aView)
{
  this->gate.SetView(aView);
}

void
RolloutTraffic::HandleShare(const wire::RolloutShare& aShare)
{
  const wire::RolloutShare* const known =
    this->gate.FindOrder(aShare.serviceName);
  const bool isFirst = known == nullptr || known->order != aShare.order ||
                       known->state != aShare.state ||
                       known->isStretch != aShare.isStretch ||
                       known->decider != aShare.decider;
  const bool isRunning = aShare.state == wire::RolloutState::RUNNING;
  const bool isSameVersion = known != nullptr &&
                             known->state == wire::RolloutState::RUNNING &&
                             known->targetVersion == aShare.targetVersion;
  const bool isNewTerm = isRunning && known != nullptr &&
                         RolloutDecider::TermOf(known->sequence) !=
                           RolloutDecider::TermOf(aShare.sequence);
  const bool isTaken = this->gate.HandleShare(aShare);
  Service& service = this->services[aShare.serviceName];
  if (isTaken && isNewTerm) {
    service.reports.RepeatAll();
  }
  if (isTaken) {
    service.reports.SetOrder(aShare.order, isSameVersion);
    service.sharedAt = this->clock.Now();
  }
  if (!isTaken && isRunning) {
    if (this->clock.Now() - service.rejectedAt < kRejectionInterval) {
      return;
    }
    service.rejectedAt = this->clock.Now();
  }
  // The sender of an ended state repeats it until it is acknowledged, and the
  // sender of an old one has to learn of the newer one.
  service.isReportDue =
    service.isReportDue || isFirst || !isTaken || !isRunning;
  if (!isTaken || !isRunning) {
    const wire::RolloutShare* const present =
      this->gate.FindOrder(aShare.serviceName);
    wire::RolloutShare addressee = present == nullptr ? aShare : *present;
    addressee.decider = aShare.decider;
    this->Report(aShare.serviceName, service, addressee);
  }
}

bool
RolloutTraffic::PrefersTarget(const std::string& aService) const
{
  const auto found = this->services.find(aService);
  return found != this->services.end() &&
         this->gate.MayUseTarget(aService, found->second.reports.Exposed());
}

bool
RolloutTraffic::IsOrderRunning(const std::string& aService) const
{
  const wire::RolloutShare* const order = this->gate.FindOrder(aService);
  return order != nullptr && order->state == wire::RolloutState::RUNNING;
}

void
RolloutTraffic::Exclude(const std::string& aService,
                        VersionChoice aChoice,
                        std::set<EndpointKey>& aExcluded) const
{
  this->gate.Exclude(aService, aChoice, aExcluded);
}

std::int64_t
RolloutTraffic::RecordStart(const std::string& aService,
                            const EndpointInfo& aServer)
{
  Service& service = this->services[aService];
  ++service.running[aServer.serverVersion];
  service.reports.RecordStart(
    this->gate.IsTarget(aService, aServer.serverVersion));
  const wire::RolloutShare* const order = this->gate.FindOrder(aService);
  const bool isUsedUp = order != nullptr && order->isStretch &&
                        service.reports.Exposed() >= order->limit;
  if (isUsedUp &&
      this->clock.Now() - service.reportedAt >= kMinReportInterval) {
    service.isReportDue = true; // Until the next share, others are used.
  }
  return service.reports.Order();
}

void
RolloutTraffic::RecordEnd(const std::string& aService,
                          const EndpointInfo& aServer,
                          std::int64_t aOrder,
                          const std::string& aRoute,
                          ServerResult aResult)
{
  Service& service = this->services[aService];
  auto running = service.running.find(aServer.serverVersion);
  if (running != service.running.end() && --running->second <= 0) {
    service.running.erase(running);
  }
  const wire::RolloutShare* const order = this->gate.FindOrder(aService);
  if (order == nullptr || order->state != wire::RolloutState::RUNNING) {
    return;
  }
  aResult.isTimeUseful =
    this->gate.IsWarm(aService, { aServer.host, aServer.port });
  service.reports.RecordEnd(
    aOrder,
    aRoute,
    this->gate.IsTarget(aService, aServer.serverVersion),
    aResult);
}

void
RolloutTraffic::Tick()
{
  for (const std::string& name : this->gate.Services()) {
    const wire::RolloutShare& order = *this->gate.FindOrder(name);
    Service& service = this->services[name];
    const bool isDue =
      order.state == wire::RolloutState::RUNNING &&
      (service.isReportDue || this->clock.Now() - service.reportedAt >=
                                this->ReportInterval(service, order));
    if (isDue) {
      this->Report(name, service, order);
    }
  }
}

Millis
RolloutTraffic::ReportInterval(const Service& aService,
                               const wire::RolloutShare& aOrder) const
{
  if (this->clock.Now() - aService.sharedAt > kSilenceTime) {
    return kSilentReportInterval;
  }
  return aOrder.isStretch ? kStretchReportInterval : kReportInterval;
}

void
RolloutTraffic::Report(const std::string& aName,
                       Service& aService,
                       const wire::RolloutShare& aOrder)
{
  aService.isReportDue = false;
  aService.reportedAt = this->clock.Now();
  wire::RolloutReport head;
  head.host = this->host;
  head.incarnation = this->incarnation;
  head.serviceName = aName;
  head.state = aOrder.state;
  head.stamp = this->clock.Now();
  head.sequence = aOrder.sequence;
  head.othersRunning = OthersRunning(aService.running, aOrder);
  for (wire::RolloutReport& report : aService.reports.Take(head)) {
    this->send(aOrder.decider, std::move(report));
  }
}

} // namespace lacewingwharf
