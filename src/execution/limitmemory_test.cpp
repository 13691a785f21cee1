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
    this->memory.RecordRefusal(this->call, refusal);
  }

  std::size_t CountExcludedEndpoints()
  {
    return this->memory.ExcludedEndpoints(this->view, this->call).size();
  }

  ManualClock clock;
  LimitMemory memory{ this->clock.View() };
  Entry entry;
  EntryCall call;
  EndpointView view;
};

} // namespace

// When the nearest domain's share of a limit is used up, calls must go to
// domains with room instead of being refused.
Test(limitmemory, RefusalExcludesItsDomainUntilRetryAfter)
{
  Fixture fixture;
  cr_assert_eq(fixture.CountExcludedEndpoints(), 0U);
  fixture.RefuseAt(0, 10, 100);
  cr_assert_eq(fixture.CountExcludedEndpoints(), 2U);
  fixture.RefuseAt(2, 10, 50);
  cr_assert_eq(fixture.CountExcludedEndpoints(), 3U);
  cr_assert(fixture.memory.RefusalFor(fixture.call).reason ==
            RefusalReason::EntryRate);
  fixture.clock.Advance(60);
  cr_assert_eq(fixture.CountExcludedEndpoints(), 2U);
  fixture.clock.Advance(60);
  cr_assert_eq(fixture.CountExcludedEndpoints(), 0U);
  cr_assert(fixture.memory.RefusalFor(fixture.call).reason ==
            RefusalReason::NoEndpoint);
}

// If a limit is smaller than the number of hosts, some hosts have no share.
// They must not exclude the other hosts of their domain.
Test(limitmemory, HostWithoutAShareIsExcludedAlone)
{
  Fixture fixture;
  fixture.RefuseAt(0, 0, 0);
  cr_assert_eq(fixture.CountExcludedEndpoints(), 1U);
}

// The limit of one entry must not divert the calls of another.
Test(limitmemory, OtherEntriesAreNotAffected)
{
  Fixture fixture;
  fixture.RefuseAt(0, 10, 100);
  fixture.entry.name = "status-route";
  cr_assert_eq(fixture.CountExcludedEndpoints(), 0U);
}
