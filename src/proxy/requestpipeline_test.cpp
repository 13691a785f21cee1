#include "proxy/requestpipeline.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;

namespace {

struct Fixture
{
  explicit Fixture(const PipelineLimits& aLimits = {})
    : budget(aLimits)
    , pipeline(this->budget, this->clock.View())
  {
  }

  /** Adds a request and passes on all that may run. */
  void Add(bool aMayRunBeside = true, std::size_t aBodyBytes = 0)
  {
    PipelinedRequest request;
    request.mayRunBeside = aMayRunBeside;
    request.request.body.assign(aBodyBytes, 'b');
    this->pipeline.Add(std::move(request));
    this->PassOn();
  }

  void PassOn()
  {
    while (this->pipeline.PassOn(this->passedOn + 1)) {
      ++this->passedOn;
    }
  }

  void Answer(RequestId aId, std::size_t aBytes = 0)
  {
    HttpAnswer answer;
    answer.body.assign(aBytes, 'a');
    cr_assert(this->pipeline.SetAnswer(aId, std::move(answer)));
  }

  void SendFirst()
  {
    cr_assert(this->pipeline.First().state ==
              PipelinedRequest::State::Answered);
    this->pipeline.RemoveFirst();
    this->PassOn();
  }

  ManualClock clock;
  PipelineBudget budget;
  RequestPipeline pipeline;
  RequestId passedOn = 0;
};

} // namespace

// Requests that may be repeated run together, any other alone.
Test(requestpipeline, only_repeatable_requests_run_beside_others)
{
  Fixture fixture;
  fixture.Add();
  fixture.Add();
  fixture.Add(false);
  fixture.Add();
  cr_expect_eq(fixture.passedOn, 2U);
  fixture.Answer(1);
  fixture.Answer(2);
  fixture.SendFirst();
  cr_expect_eq(fixture.passedOn, 2U);
  fixture.SendFirst();
  cr_expect_eq(fixture.passedOn, 3U);
  fixture.Answer(3);
  fixture.PassOn();
  cr_expect_eq(fixture.passedOn, 3U);
  fixture.SendFirst();
  cr_expect_eq(fixture.passedOn, 4U);
}

// The deadline of a request runs from its arrival, so the time that it waited
// must be known when it is passed on.
Test(requestpipeline, waiting_times_are_measured)
{
  Fixture fixture;
  fixture.clock.Advance(1000);
  fixture.Add();
  fixture.Add();
  PipelinedRequest alone;
  fixture.pipeline.Add(std::move(alone));
  fixture.clock.Advance(30);
  fixture.Answer(2);
  fixture.clock.Advance(70);
  fixture.Answer(1);
  cr_expect_eq(fixture.pipeline.FirstWaited(), 0);
  fixture.pipeline.RemoveFirst();
  cr_expect_eq(fixture.pipeline.FirstWaited(), 70);
  fixture.pipeline.RemoveFirst();
  const auto request = fixture.pipeline.PassOn(3);
  cr_assert(request.has_value());
  cr_expect_eq(request->waited, 100);
}

// Each limit must stop reading, and a connection without outstanding requests
// must read whatever the others hold.
Test(requestpipeline, each_limit_stops_reading)
{
  constexpr std::size_t kBytes = 100000;
  Fixture count({ 2, 10 * kBytes, 100 * kBytes });
  count.Add();
  count.Add();
  cr_expect(count.pipeline.MayRead());
  count.Add();
  cr_expect_not(count.pipeline.MayRead());
  count.Answer(1);
  count.SendFirst();
  cr_expect(count.pipeline.MayRead());

  Fixture bytes({ 100, kBytes, 100 * kBytes });
  bytes.Add(true, 50 * kBytes); // The first is free.
  cr_expect(bytes.pipeline.MayRead());
  bytes.Add(true, kBytes);
  cr_expect_not(bytes.pipeline.MayRead());
  bytes.Answer(2, 10);
  cr_expect(bytes.pipeline.MayRead());
  bytes.pipeline.SetPartialBytes(kBytes);
  cr_expect_not(bytes.pipeline.MayRead());
  bytes.Answer(1);
  bytes.SendFirst();
  bytes.SendFirst();
  cr_expect(bytes.pipeline.MayRead());

  Fixture total({ 100, 100 * kBytes, kBytes });
  RequestPipeline other(total.budget, total.clock.View());
  total.Add();
  total.Add(false, kBytes);
  cr_expect_not(total.pipeline.MayRead());
  cr_expect(other.MayRead());
  other.Add({});
  cr_expect_not(other.MayRead());
}

// Answers cannot be refused. So fewer requests may be read ahead where answers
// are large, or a caller that does not read them would use up the memory.
Test(requestpipeline, large_answers_reduce_reading_ahead)
{
  constexpr std::size_t kAnswerBytes = 500000;
  Fixture fixture;
  fixture.Add();
  fixture.Answer(1, kAnswerBytes);
  fixture.SendFirst();
  std::size_t added = 0;
  while (fixture.pipeline.MayRead()) {
    fixture.Add();
    ++added;
  }
  cr_expect_eq(added, 4U); // Three of them, and the first, which is free.
}

// One large answer among small ones must not stop reading ahead, neither on its
// connection nor on new ones.
Test(requestpipeline, a_single_large_answer_leaves_room)
{
  Fixture fixture;
  for (RequestId id = 1; id <= 20; ++id) {
    fixture.Add();
    fixture.Answer(id, id == 20 ? 1000000 : 5000);
    fixture.SendFirst();
  }
  RequestPipeline other(fixture.budget, fixture.clock.View());
  for (RequestPipeline* const pipeline : { &fixture.pipeline, &other }) {
    for (int i = 0; i < 8; ++i) {
      cr_assert(pipeline->MayRead());
      PipelinedRequest request;
      request.mayRunBeside = true;
      pipeline->Add(std::move(request));
      cr_assert(pipeline->PassOn(100U + i));
    }
  }
}

// What the limits count must come back whatever way requests end.
Test(requestpipeline, all_bytes_are_returned)
{
  PipelineBudget budget({});
  ManualClock clock;
  {
    RequestPipeline pipeline(budget, clock.View());
    for (RequestId id = 1; id <= 4; ++id) {
      PipelinedRequest request;
      request.mayRunBeside = true;
      request.request.body = "body";
      pipeline.Add(std::move(request));
      cr_assert(pipeline.PassOn(id));
    }
    pipeline.SetPartialBytes(50);
    cr_expect_gt(budget.Counts().heldBytes, 0U);
    pipeline.SetAnswer(3, { 200, {}, "answer" });
    pipeline.SetAnswer(1, { 200, {}, "answer" });
    pipeline.RemoveFirst();
  }
  cr_expect_eq(budget.Counts().heldBytes, 0U);
  RequestPipeline pipeline(budget, clock.View());
  for (RequestId id = 1; id <= 2; ++id) {
    pipeline.Add({});
  }
  pipeline.PassOn(1);
  pipeline.SetAnswer(1, {});
  pipeline.RemoveFirst();
  pipeline.PassOn(2);
  pipeline.SetAnswer(2, {});
  pipeline.RemoveFirst();
  cr_expect_eq(budget.Counts().heldBytes, 0U);
}

// The close may only be announced by the last answer: what is behind it counts
// as not read.
Test(requestpipeline, the_last_request_that_runs_announces_the_close)
{
  Fixture fixture;
  fixture.Add();
  fixture.Add();
  fixture.Add(false);
  fixture.pipeline.AddRefusal({});
  cr_expect_not(fixture.pipeline.MayRead());
  fixture.Answer(1);
  cr_expect_not(fixture.pipeline.ClosesAfterFirst(false));
  cr_expect_eq(fixture.pipeline.Requests().size(), 4U);
  fixture.SendFirst();
  cr_expect(fixture.pipeline.ClosesAfterFirst(true)); // At a stop.
  cr_expect_eq(fixture.pipeline.Requests().size(), 1U);
}

// A request that has ended must not be answered again.
Test(requestpipeline, only_the_first_answer_counts)
{
  Fixture fixture;
  fixture.Add();
  fixture.Add();
  fixture.Answer(2);
  cr_expect_not(fixture.pipeline.SetAnswer(2, {}));
  cr_expect_not(fixture.pipeline.Abort(2));
  cr_expect_not(fixture.pipeline.SetAnswer(3, {}));
  cr_expect(fixture.pipeline.HasUnanswered());
  fixture.Answer(1);
  cr_expect_not(fixture.pipeline.HasUnanswered());
}
