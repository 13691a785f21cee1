#include "admission/admissionharness.h"

#include <criterion/criterion.h>

#include <memory>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

/** One Admission with one ready endpoint and no limits in the catalogue. */
struct OneServer
{
  explicit OneServer(int aSlots)
  {
    this->admission.SetConfiguration(CatalogueWith({}, {}),
                                     ViewOf({ { "host", aSlots } }));
    this->SetState(aSlots, EndpointState::Ready);
  }

  void SetState(int aSlots, EndpointState aState)
  {
    this->admission.SetEndpoint(kService, kPort, aSlots, 0, aState);
  }

  void Fill(int aCalls, WorkClass aClass, const std::string& aOwner)
  {
    for (int index = 0; index < aCalls; ++index) {
      AdmissionRequest request =
        RequestOf(aOwner + "-" + std::to_string(index));
      request.workClass = aClass;
      request.owner = aOwner;
      this->admission.Offer(request);
    }
  }

  ManualClock clock;
  Recorder seen;
  Admission admission{ "host", clock.View(), seen.Hooks() };
};

} // namespace

// Guards against work that runs although its caller has given up.
Test(admission, NothingStartsAfterItsDeadline)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("late", 100));
  server.clock.Advance(100);
  server.admission.Finish("running", 1);
  server.admission.Offer(RequestOf("later", 100));
  cr_assert_not(server.seen.HasStarted("late"));
  cr_assert_not(server.seen.HasStarted("later"));
  cr_assert_eq(server.seen.reasons["late"], RefusalReason::DeadlinePassed);
}

// Guards against calls that wait longer than their entry allows.
Test(admission, TimeInTheQueueIsBounded)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  AdmissionRequest request = RequestOf("waiting");
  request.queueWait = 50;
  server.admission.Offer(request);
  server.clock.Advance(51);
  server.admission.Tick();
  cr_assert_eq(server.seen.reasons["waiting"], RefusalReason::QueueWait);
  cr_assert_eq(server.seen.last.bound, 50);
  cr_assert_eq(server.seen.last.seen, 51);
  cr_assert_str_eq(server.seen.last.owner.c_str(), "shop");
}

// Guards against a queue that accepts calls which it cannot serve in time.
Test(admission, ExpectedWaitAboveTheDeadlineIsRefusedAtOnce)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("first"));
  server.clock.Advance(100);
  server.admission.Finish("first", 100);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("hopeless", 250));
  cr_assert_eq(server.seen.reasons["hopeless"], RefusalReason::QueueWait);
  server.admission.Offer(RequestOf("in-time", 350));
  cr_assert_eq(server.admission.LoadOf(kService, kPort).waiting, 1);
}

// Guards against important work that is refused while other work waits.
Test(admission, FullQueueRefusesTheLowestClassFirst)
{
  OneServer server(1);
  server.Fill(5, WorkClass::Internal, "reports");
  server.Fill(4, WorkClass::Critical, "alarms");
  cr_assert(server.seen.refusals.size() == 4);
  for (const auto& [id, reason] : server.seen.reasons) {
    cr_assert_eq(reason, RefusalReason::Displaced);
    cr_assert_str_neq(id.c_str(), "reports-0");
  }
  server.Fill(9, WorkClass::Batch, "backup");
  cr_assert_eq(server.seen.reasons["backup-0"], RefusalReason::QueueFull);
  server.admission.Finish("reports-0", 1);
  cr_assert(server.seen.HasStarted("alarms-0"));
}

// Guards against new work on a server that is shutting down or starting (R7).
Test(admission, OnlyReadyEndpointsTakeWork)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("waiting"));
  server.SetState(1, EndpointState::Draining);
  server.admission.Offer(RequestOf("new"));
  server.admission.Finish("running", 1);
  cr_assert_eq(server.seen.reasons["waiting"], RefusalReason::Draining);
  cr_assert_eq(server.seen.reasons["new"], RefusalReason::Draining);
  server.SetState(1, EndpointState::Starting);
  server.admission.Offer(RequestOf("early"));
  cr_assert_eq(server.seen.reasons["early"], RefusalReason::NoEndpoint);
  cr_assert_eq(server.seen.starts.size(), 1U);
}

// Guards against slots that are given twice when an endpoint is announced
// again while calls of its earlier announcement still run.
Test(admission, RunningCallsKeepTheirSlotsAcrossAnnouncements)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.RemoveEndpoint(kService, kPort);
  server.SetState(1, EndpointState::Ready);
  server.admission.Offer(RequestOf("next"));
  cr_assert_not(server.seen.HasStarted("next"));
  server.admission.Finish("running", 1);
  cr_assert(server.seen.HasStarted("next"));
}

// Guards against a not-run answer for a call that runs (R5): the frame of a
// call can arrive twice.
Test(admission, SecondOfferOfTheSameCallIsIgnored)
{
  OneServer server(2);
  server.admission.Offer(RequestOf("call"));
  server.admission.Offer(RequestOf("call"));
  cr_assert_eq(server.seen.starts["call"], 1);
  cr_assert_eq(server.admission.LoadOf(kService, kPort).running, 1);
  cr_assert(server.seen.refusals.empty());
}

// Guards against a stack that grows with the queue: a hook may call back.
Test(admission, HooksThatCallBackAreNotNested)
{
  ManualClock clock;
  std::unique_ptr<Admission> admission;
  int started = 0;
  int depth = 0;
  const auto finishAtOnce = [&](const std::string& aId) {
    cr_assert_eq(++depth, 1);
    ++started;
    if (aId != "first") {
      admission->Finish(aId, 1);
    }
    --depth;
  };
  admission = std::make_unique<Admission>(
    "host",
    clock.View(),
    Admission::Hooks{ finishAtOnce,
                      [](const std::string&, const Refusal&) {} });
  admission->SetConfiguration(CatalogueWith({}, {}), ViewOf({ { "host", 1 } }));
  admission->SetEndpoint(kService, kPort, 1, 0, EndpointState::Ready);
  admission->Offer(RequestOf("first"));
  for (int index = 0; index < 4; ++index) {
    admission->Offer(RequestOf(std::to_string(index)));
  }
  admission->Finish("first", 1);
  cr_assert_eq(started, 5);
  cr_assert_eq(admission->LoadOf(kService, kPort).running, 0);
}

// Guards against calls that are dropped by a caller but still take a slot.
Test(admission, WithdrawnCallNeverStarts)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("waiting"));
  cr_assert(server.admission.CancelWaiting("waiting"));
  cr_assert_not(server.admission.CancelWaiting("running"));
  server.admission.Finish("running", 1);
  cr_assert_eq(server.seen.starts.size(), 1U);
  cr_assert(server.seen.refusals.empty());
}

// Guards against work before the limits that it may use are known.
Test(admission, NothingRunsWithoutAConfiguration)
{
  ManualClock clock;
  Recorder seen;
  Admission admission("host", clock.View(), seen.Hooks());
  admission.SetEndpoint(kService, kPort, 1, 0, EndpointState::Ready);
  admission.Offer(RequestOf("call"));
  cr_assert_eq(seen.refusals["call"], 1);
  cr_assert_eq(seen.reasons["call"], RefusalReason::NoConfiguration);
}
