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

  void OfferCalls(int aCalls, WorkClass aClass, const std::string& aOwner)
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
  Recorder recorder;
  Admission admission{ "host", clock.View(), recorder.Hooks() };
};

} // namespace

// A call that starts after its deadline does work for a caller that no longer
// waits.
Test(admission, NothingStartsAfterItsDeadline)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("late", 100));
  server.clock.Advance(100);
  server.admission.Finish("running", 1);
  server.admission.Offer(RequestOf("later", 100));
  cr_assert_not(server.recorder.HasStarted("late"));
  cr_assert_not(server.recorder.HasStarted("later"));
  cr_assert_eq(server.recorder.reasons["late"], RefusalReason::DeadlinePassed);
}

// A call has to be refused once it has waited longer than its entry allows.
Test(admission, CallIsRefusedAfterItsQueueWait)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  AdmissionRequest request = RequestOf("waiting");
  request.queueWait = 50;
  server.admission.Offer(request);
  server.clock.Advance(51);
  server.admission.Tick();
  cr_assert_eq(server.recorder.reasons["waiting"], RefusalReason::QueueWait);
  cr_assert_eq(server.recorder.lastRefusal.bound, 50);
  cr_assert_eq(server.recorder.lastRefusal.seen, 51);
  cr_assert_str_eq(server.recorder.lastRefusal.owner.c_str(), "shop");
}

// A queue that accepts a call which it cannot serve before the deadline only
// delays the refusal.
Test(admission, ExpectedWaitAboveTheDeadlineIsRefusedAtOnce)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("first"));
  server.clock.Advance(100);
  server.admission.Finish("first", 100);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("hopeless", 250));
  cr_assert_eq(server.recorder.reasons["hopeless"], RefusalReason::QueueWait);
  server.admission.Offer(RequestOf("in-time", 350));
  cr_assert_eq(server.admission.LoadOf(kService, kPort).waiting, 1);
}

// When the queue is full, calls of an important class must not be refused while
// calls of a less important class wait.
Test(admission, FullQueueRefusesTheLowestClassFirst)
{
  OneServer server(1);
  server.OfferCalls(5, WorkClass::Internal, "reports");
  server.OfferCalls(4, WorkClass::Critical, "alarms");
  cr_assert(server.recorder.refusals.size() == 4);
  for (const auto& [id, reason] : server.recorder.reasons) {
    cr_assert_eq(reason, RefusalReason::Displaced);
    cr_assert_str_neq(id.c_str(), "reports-0");
  }
  server.OfferCalls(9, WorkClass::Batch, "backup");
  cr_assert_eq(server.recorder.reasons["backup-0"], RefusalReason::QueueFull);
  server.admission.Finish("reports-0", 1);
  cr_assert(server.recorder.HasStarted("alarms-0"));
}

// A server that starts or drains must not get new calls (requirement R7).
Test(admission, OnlyReadyEndpointsTakeWork)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("waiting"));
  server.SetState(1, EndpointState::Draining);
  server.admission.Offer(RequestOf("new"));
  server.admission.Finish("running", 1);
  cr_assert_eq(server.recorder.reasons["waiting"], RefusalReason::Draining);
  cr_assert_eq(server.recorder.reasons["new"], RefusalReason::Draining);
  server.SetState(1, EndpointState::Starting);
  server.admission.Offer(RequestOf("early"));
  cr_assert_eq(server.recorder.reasons["early"], RefusalReason::NoEndpoint);
  cr_assert_eq(server.recorder.starts.size(), 1U);
}

// An endpoint can be announced again while calls of its previous announcement
// still run. Their slots must not be used twice.
Test(admission, RunningCallsKeepTheirSlotsAcrossAnnouncements)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.RemoveEndpoint(kService, kPort);
  server.SetState(1, EndpointState::Ready);
  server.admission.Offer(RequestOf("next"));
  cr_assert_not(server.recorder.HasStarted("next"));
  server.admission.Finish("running", 1);
  cr_assert(server.recorder.HasStarted("next"));
}

// The frame of a call can arrive twice. Refusing the second one would report a
// running call as not run (requirement R5).
Test(admission, SecondOfferOfTheSameCallIsIgnored)
{
  OneServer server(2);
  server.admission.Offer(RequestOf("call"));
  server.admission.Offer(RequestOf("call"));
  cr_assert_eq(server.recorder.starts["call"], 1);
  cr_assert_eq(server.admission.LoadOf(kService, kPort).running, 1);
  cr_assert(server.recorder.refusals.empty());
}

// A hook may call Admission again. If hooks were nested, the stack would grow
// with the length of the queue.
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

// A call that its caller has cancelled must not take a slot later.
Test(admission, CancelledCallNeverStarts)
{
  OneServer server(1);
  server.admission.Offer(RequestOf("running"));
  server.admission.Offer(RequestOf("waiting"));
  cr_assert(server.admission.CancelWaiting("waiting"));
  cr_assert_not(server.admission.CancelWaiting("running"));
  server.admission.Finish("running", 1);
  cr_assert_eq(server.recorder.starts.size(), 1U);
  cr_assert(server.recorder.refusals.empty());
}

// Before the first configuration, the limits of a call are unknown, so it must
// not run.
Test(admission, NothingRunsWithoutAConfiguration)
{
  ManualClock clock;
  Recorder recorder;
  Admission admission("host", clock.View(), recorder.Hooks());
  admission.SetEndpoint(kService, kPort, 1, 0, EndpointState::Ready);
  admission.Offer(RequestOf("call"));
  cr_assert_eq(recorder.refusals["call"], 1);
  cr_assert_eq(recorder.reasons["call"], RefusalReason::NoConfiguration);
}
