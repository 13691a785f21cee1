#include "rollout/rolloutdecider.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

/** A decider of a good order, and the shares that it sends. */
struct OneDecider
{
  OneDecider()
    : decider(Plan(), this->clock.View(), this->Hooks())
  {
  }

  static RolloutPlan Plan()
  {
    RolloutPlan plan;
    plan.service = "orders";
    plan.order = 7;
    plan.target = "v2";
    plan.base = "v1";
    plan.duration = 12000;
    return plan;
  }

  RolloutDeciderHooks Hooks()
  {
    RolloutDeciderHooks hooks;
    hooks.self = "d1";
    hooks.send = [this](const std::string&, const wire::RolloutShare& aShare) {
      this->shares.push_back(aShare);
    };
    hooks.members = [] { return std::vector<RolloutMember>(); };
    hooks.slots = [] { return VersionSlots{ 8, 8, 1 }; };
    return hooks;
  }

  ManualClock clock{ 1000 };
  std::vector<wire::RolloutShare> shares;
  RolloutDecider decider;
};

} // namespace

// A report of many routes has several datagrams. A share for each of them
// multiplies the messages, and the first one is as good as the last.
Test(rolloutdecider, a_report_in_several_datagrams_gets_one_share)
{
  OneDecider one;
  one.decider.Tick(true);
  wire::RolloutReport report;
  report.host = "d2";
  report.incarnation = 3;
  report.serviceName = "orders";
  report.order = 7;
  report.state = wire::RolloutState::RUNNING;
  report.stamp = 500;
  report.requests = 40;
  for (int part = 0; part < 3; ++part) {
    wire::RolloutCounts row;
    row.route = "route-" + std::to_string(part);
    row.isTarget = true;
    row.answers = 2;
    report.counts = { row };
    one.decider.HandleReport(report);
  }
  cr_expect_eq(one.shares.size(), 1U);
  report.stamp = 750;
  one.decider.HandleReport(report);
  cr_expect_eq(one.shares.size(), 2U);
}
