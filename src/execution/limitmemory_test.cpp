#include "execution/limitmemory.h"

#include "admission/admissionharness.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

EndpointInfo
EndpointIn(const std::string& aDomain, const std::string& aHost)
{
  EndpointInfo info;
  info.host = aHost;
  info.domain = aDomain;
  info.port = kPort;
  return info;
}

struct Fixture
{
  Fixture()
  {
    this->entry.name = "orders-route";
    this->entry.service = kService;
    this->call.entry = &this->entry;
    this->call.service = kService;
    this->view.services[kService].endpoints = { EndpointIn("near", "a"),
                                                EndpointIn("near", "b"),
                                                EndpointIn("far", "c") };
  }

  void RefuseAt(std::size_t aEndpoint, std::int64_t aBound, Millis aRetryAfter)
  {
    this->call.attempt.endpoint =
      this->view.services[kService].endpoints[aEndpoint];
    Refusal refusal;
    refusal.reason = RefusalReason::EntryRate;
    refusal.bound = aBound;
    refusal.retryAfter = aRetryAfter;
    this->memory.Note(this->call, refusal);
  }

  std::size_t LeftOut()
  {
    return this->memory.LeftOut(this->view, this->call).size();
  }

  ManualClock clock;
  LimitMemory memory{ this->clock.View() };
  Entry entry;
  EntryCall call;
  EndpointView view;
};

} // namespace

// Guards against calls that are refused by the nearest domain's part of a
// limit while other domains have room.
Test(limitmemory, ARefusalLeavesOutItsDomainUntilItsTime)
{
  Fixture fixture;
  cr_assert_eq(fixture.LeftOut(), 0U);
  fixture.RefuseAt(0, 10, 100);
  cr_assert_eq(fixture.LeftOut(), 2U);
  fixture.RefuseAt(2, 10, 50);
  cr_assert_eq(fixture.LeftOut(), 3U);
  cr_assert(fixture.memory.RefusalFor(fixture.call).reason ==
            RefusalReason::EntryRate);
  fixture.clock.Advance(60);
  cr_assert_eq(fixture.LeftOut(), 2U);
  fixture.clock.Advance(60);
  cr_assert_eq(fixture.LeftOut(), 0U);
  cr_assert(fixture.memory.RefusalFor(fixture.call).reason ==
            RefusalReason::NoEndpoint);
}

// Guards against a limit smaller than the number of hosts, whose hosts without
// a part would keep their neighbours from being asked.
Test(limitmemory, AHostWithoutAPartIsLeftOutAlone)
{
  Fixture fixture;
  fixture.RefuseAt(0, 0, 0);
  cr_assert_eq(fixture.LeftOut(), 1U);
}

// Guards against one entry's limit that diverts the calls of another.
Test(limitmemory, OtherEntriesAreNotAffected)
{
  Fixture fixture;
  fixture.RefuseAt(0, 10, 100);
  fixture.entry.name = "status-route";
  cr_assert_eq(fixture.LeftOut(), 0U);
}
