#include "admission/admissionharness.h"
#include "common/random.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr int kSlots = 8;
constexpr double kServiceMillis = 20;
constexpr double kLongServiceMillis = 60;

/**
 * One server that gets a flood of calls of owner "greedy" and some calls of
 * owner "modest".
 */
class FloodedServer
{
public:
  FloodedServer(WorkClass aGreedyClass, Millis aGreedyQueueWait)
    : greedyClass(aGreedyClass)
    , greedyQueueWait(aGreedyQueueWait)
  {
    this->admission.SetConfiguration(CatalogueWith({}, {}), ViewOf({}));
    this->admission.SetEndpoint(
      kService, kPort, kSlots, 0, EndpointState::Ready);
  }

  /**
   * Runs steps of 1 ms with the given calls per step. Returns the number of
   * finished calls of "modest".
   */
  int Run(int aSteps, double aGreedyPerStep, double aModestPerStep)
  {
    double greedy = 0;
    double modest = 0;
    for (int step = 0; step < aSteps; ++step) {
      this->clock.Advance(1);
      this->FinishDue();
      for (greedy += aGreedyPerStep; greedy >= 1; greedy -= 1) {
        this->Offer("greedy", this->greedyClass);
      }
      for (modest += aModestPerStep; modest >= 1; modest -= 1) {
        this->Offer("modest", WorkClass::Interactive);
      }
      this->admission.Tick();
    }
    return this->modestDone;
  }

  int modestDone = 0;
  int modestRefused = 0;
  double greedyServiceMillis = kServiceMillis;

private:
  struct RunningCall
  {
    std::string id;
    double until;
  };

  Admission::Hooks Hooks()
  {
    const auto start = [this](const std::string& aId) {
      this->running.push_back(
        { aId, this->clock.View().PreciseNow() + this->ServiceMillisOf(aId) });
    };
    const auto refuse = [this](const std::string& aId, const Refusal&) {
      this->modestRefused += aId.starts_with("modest") ? 1 : 0;
    };
    return { start, refuse };
  }

  double ServiceMillisOf(const std::string& aId) const
  {
    return aId.starts_with("greedy") ? this->greedyServiceMillis
                                     : kServiceMillis;
  }

  void Offer(const std::string& aOwner, WorkClass aClass)
  {
    const Millis now = this->clock.View().Now();
    auto request =
      RequestOf(aOwner + std::to_string(this->sequence++), now + 1000);
    request.owner = aOwner;
    request.workClass = aClass;
    request.queueWait = aOwner == "greedy" ? this->greedyQueueWait : 200;
    this->admission.Offer(request);
  }

  void FinishDue()
  {
    const double now = this->clock.View().PreciseNow();
    std::vector<std::string> due;
    std::erase_if(this->running, [&](const RunningCall& aCall) {
      if (aCall.until <= now) {
        due.push_back(aCall.id);
      }
      return aCall.until <= now;
    });
    for (const std::string& id : due) {
      this->modestDone += id.starts_with("modest") ? 1 : 0;
      this->admission.Finish(id, this->ServiceMillisOf(id));
    }
  }

  WorkClass greedyClass;
  Millis greedyQueueWait;
  ManualClock clock;
  std::vector<RunningCall> running;
  int sequence = 0;
  Admission admission{ "host", clock.View(), this->Hooks() };
};

} // namespace

// An owner that sends too many calls must not reduce another owner's share. The
// server can run 0.4 calls per step, so the share of each owner is 0.2 per
// step.
Test(fairness, FloodDoesNotReduceTheShareOfAnotherOwner)
{
  constexpr int kSteps = 10000;
  for (const double flood : { 0.4, 1.0, 4.0 }) {
    FloodedServer server(WorkClass::Interactive, 200);
    const int done = server.Run(kSteps, flood, 0.19);
    cr_assert_eq(server.modestRefused, 0, "flood %f", flood);
    cr_assert_geq(done, 0.185 * kSteps, "flood %f", flood);
  }
}

// When both owners send too many calls, each gets half of the capacity.
Test(fairness, TwoFloodsShareEqually)
{
  constexpr int kSteps = 10000;
  FloodedServer server(WorkClass::Interactive, 200);
  const int done = server.Run(kSteps, 4, 1);
  cr_assert_geq(done, 0.19 * kSteps);
  cr_assert_leq(done, 0.21 * kSteps);
}

// Longer calls must not give an owner more slots. Half of the slots can run 0.2
// of the short calls per step.
Test(fairness, LongCallsDoNotTakeTheSlotsOfShortOnes)
{
  constexpr int kSteps = 10000;
  FloodedServer server(WorkClass::Interactive, 200);
  server.greedyServiceMillis = kLongServiceMillis;
  const int done = server.Run(kSteps, 4, 1);
  cr_assert_geq(done, 0.18 * kSteps);
}

// A flood in an important class must not starve the other owners. They keep a
// quarter of the slots (0.1 calls per step) as long as the short queue wait of
// the flood's calls keeps it from filling the queue. A full queue refuses the
// lower class first, whoever has filled it.
Test(fairness, FloodOfAnImportantClassLeavesAQuarterOfTheSlots)
{
  constexpr int kSteps = 10000;
  FloodedServer server(WorkClass::Critical, 50);
  const int done = server.Run(kSteps, 4, 0.09);
  cr_assert_geq(done, 0.08 * kSteps);
}
