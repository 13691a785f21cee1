#include "admission/slotqueue.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr double kServiceMillis = 60;

AdmissionRequest
Call(const std::string& aId, std::optional<Millis> aTargetAt)
{
  AdmissionRequest request;
  request.callId = aId;
  request.entry = "route";
  request.owner = "route";
  request.deadlineAt = 10000;
  request.targetAt = aTargetAt;
  return request;
}

/** A queue whose only slot is taken and whose service time is known. */
SlotQueue
BusyQueue()
{
  SlotQueue queue;
  queue.SetCapacity(1, 0);
  const AdmissionRequest first = Call("first", std::nullopt);
  queue.Offer(first, 0);
  queue.StartNext(0);
  queue.Finish(first, kServiceMillis, 0);
  queue.Offer(Call("running", std::nullopt), 0);
  queue.StartNext(0);
  return queue;
}

} // namespace

// A call must not wait until its answer is no longer useful while another
// server may have a free slot.
Test(targets, a_call_that_would_miss_its_target_is_refused_at_once)
{
  SlotQueue queue = BusyQueue();
  const auto late = queue.Offer(Call("late", 100), 0).refusal;
  cr_assert(late.has_value());
  cr_expect_eq(late->reason, RefusalReason::QueueWait);
  cr_expect_gt(late->retryAfter, 0);
  cr_expect_not(queue.Offer(Call("in-time", 130), 0).refusal.has_value());
  cr_expect_not(queue.Offer(Call("any", std::nullopt), 0).refusal.has_value());
}

// A call that already misses its target still runs when a slot is free.
Test(targets, a_free_slot_takes_late_calls)
{
  SlotQueue queue;
  queue.SetCapacity(1, 0);
  cr_expect_not(queue.Offer(Call("late", -50), 0).refusal.has_value());
  cr_expect_eq(queue.StartNext(0)->callId, "late");
}

// A call that will miss its target must not delay the calls behind it, nor wait
// while another server may have a free slot.
Test(targets, the_nearest_target_that_can_be_met_goes_first)
{
  SlotQueue queue = BusyQueue();
  queue.Offer(Call("far", 900), 0);
  queue.Offer(Call("near", 400), 0);
  queue.Offer(Call("missed-by-then", 250), 0);
  const double now = 220; // "missed-by-then" would end at 280.
  queue.Finish(Call("running", std::nullopt), kServiceMillis, now);
  const auto expired = queue.TakeExpired(now);
  cr_assert_eq(expired.size(), 1U);
  cr_expect_eq(expired[0].request.callId, "missed-by-then");
  cr_expect_eq(expired[0].refusal.reason, RefusalReason::QueueWait);
  cr_expect_eq(queue.StartNext(now)->callId, "near");
  queue.Finish(Call("near", 400), kServiceMillis, now);
  cr_expect_eq(queue.StartNext(now)->callId, "far");
}

// A call that cannot be answered before its deadline has to be refused early.
// The only waiting call must not be refused for missing its target.
Test(targets, a_call_that_cannot_meet_its_deadline_is_refused)
{
  SlotQueue queue = BusyQueue();
  AdmissionRequest call = Call("alone", 150);
  call.deadlineAt = 300;
  queue.Offer(call, 0);
  cr_expect(queue.TakeExpired(200).empty());
  cr_expect_eq(queue.TakeExpired(250).size(), 1U);
}

namespace {

/** Offers a call with 300 ms left. Returns whether it starts at once. */
bool
Starts(SlotQueue& aQueue, const std::string& aId, double aNow)
{
  AdmissionRequest request = Call(aId, static_cast<Millis>(aNow) + 120);
  request.deadlineAt = static_cast<Millis>(aNow) + 300;
  if (aQueue.Offer(request, aNow).refusal) {
    return false;
  }
  const auto started = aQueue.StartNext(aNow);
  if (!started) {
    aQueue.TakeExpired(aNow);
  }
  return started.has_value();
}

} // namespace

// A server was so slow that all calls of a route ended at their deadline, and
// so did their mean service time. If all later calls were refused for that
// mean, it would never change, and the route would stay refused on a server
// that is fast again and has free slots.
Test(targets, a_route_is_served_again_after_its_server_was_slow)
{
  SlotQueue queue;
  queue.SetCapacity(2, 0);
  double now = 1000;
  for (int call = 0; call < 10; ++call) {
    cr_assert(Starts(queue, "slow", now));
    now += 305;
    queue.Finish(Call("slow", std::nullopt), 305, now);
    now += 1000;
  }
  now -= 1000;
  cr_expect_not(Starts(queue, "soon", now + 10));
  now += 1000;
  cr_expect(Starts(queue, "probe", now));
  cr_expect_not(Starts(queue, "beside-the-probe", now + 1));
  queue.Finish(Call("probe", std::nullopt), 40, now + 50);
  cr_expect(Starts(queue, "next", now + 50));
  cr_expect(Starts(queue, "another", now + 51));
}
