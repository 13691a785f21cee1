#include "rollout/rolloutbudget.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace lacewingwharf {

namespace {

// Part of the budget that is used. A request that is tried again counts once
// for the budget and more often in reports.
constexpr double kUsedPart = 0.9;

std::int64_t
CountedExposure(const RolloutReporter& aReporter)
{
  return std::max(aReporter.limit, aReporter.exposed);
}

} // namespace

RolloutBudget::RolloutBudget(double aShare, double aSlack)
  : share(aShare)
  , slack(aSlack)
{
}

RolloutReporter*
RolloutBudget::Merge(const wire::RolloutReport& aReport, Millis aNow)
{
  RolloutReporter& reporter = this->reporters[aReport.host];
  if (aReport.incarnation > reporter.incarnation) {
    this->retiredRequests += reporter.requests;
    this->retiredExposure += CountedExposure(reporter);
    reporter = RolloutReporter();
    reporter.incarnation = aReport.incarnation;
  }
  if (aReport.incarnation < reporter.incarnation ||
      aReport.stamp < reporter.stamp) {
    return nullptr;
  }
  reporter.isAnswered = reporter.isAnswered && aReport.stamp == reporter.stamp;
  reporter.stamp = aReport.stamp;
  reporter.sequence = aReport.sequence;
  reporter.state = aReport.state;
  reporter.requests = aReport.requests;
  reporter.exposed = aReport.exposed;
  reporter.othersRunning = aReport.othersRunning;
  reporter.reportedAt = aNow;
  return &reporter;
}

RolloutReporter*
RolloutBudget::Find(const std::string& aHost)
{
  const auto found = this->reporters.find(aHost);
  return found == this->reporters.end() ? nullptr : &found->second;
}

const RolloutReporter*
RolloutBudget::Find(const std::string& aHost) const
{
  const auto found = this->reporters.find(aHost);
  return found == this->reporters.end() ? nullptr : &found->second;
}

std::vector<RolloutReporter*>
RolloutBudget::ByRequests()
{
  std::vector<RolloutReporter*> order;
  for (auto& [host, reporter] : this->reporters) {
    order.push_back(&reporter);
  }
  std::ranges::sort(
    order, std::greater<>(), [](const RolloutReporter* aReporter) {
      return aReporter->requests;
    });
  return order;
}

void
RolloutBudget::Grant(RolloutReporter& aReporter,
                     std::int64_t aNeed,
                     std::int64_t aOpen)
{
  const std::int64_t exposure = this->Exposure();
  const std::int64_t available =
    std::min(static_cast<std::int64_t>(this->Budget()) - exposure,
             aOpen - (exposure - this->Reported()));
  const std::int64_t counted = CountedExposure(aReporter);
  aReporter.limit =
    std::max(counted,
             std::min(aReporter.exposed + aNeed,
                      counted + std::max<std::int64_t>(available, 0)));
}

void
RolloutBudget::CountAllAsSent()
{
  const auto budget = static_cast<std::int64_t>(std::ceil(this->Budget()));
  this->retiredExposure += std::max<std::int64_t>(budget - this->Exposure(), 0);
}

std::int64_t
RolloutBudget::Requests() const
{
  std::int64_t sum = this->retiredRequests;
  for (const auto& [host, reporter] : this->reporters) {
    sum += reporter.requests;
  }
  return sum;
}

std::int64_t
RolloutBudget::Exposure() const
{
  std::int64_t sum = this->retiredExposure;
  for (const auto& [host, reporter] : this->reporters) {
    sum += CountedExposure(reporter);
  }
  return sum;
}

std::int64_t
RolloutBudget::Reported() const
{
  std::int64_t sum = this->retiredExposure;
  for (const auto& [host, reporter] : this->reporters) {
    sum += reporter.exposed;
  }
  return sum;
}

double
RolloutBudget::Budget() const
{
  return kUsedPart *
         (this->share * static_cast<double>(this->Requests()) + this->slack);
}

} // namespace lacewingwharf
