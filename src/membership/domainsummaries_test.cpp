#include "membership/domainsummaries.h"
#include "membership/membertable.h"

#include "common/log.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace lacewingwharf;

namespace {

wire::ServiceSummary
ServiceOf(const std::string& aName, std::int64_t aStamp, int aReady)
{
  wire::ServiceSummary service;
  service.serviceName = aName;
  service.stamp = aStamp;
  service.ready = aReady;
  return service;
}

wire::DomainSummary
SummaryOf(std::int64_t aBase,
          std::int64_t aStamp,
          std::vector<wire::ServiceSummary> aServices)
{
  wire::DomainSummary summary;
  summary.region = "north";
  summary.domain = "bangor";
  summary.base = aBase;
  summary.stamp = aStamp;
  summary.services = std::move(aServices);
  return summary;
}

/** A table with one member that has one endpoint. */
MemberTable
TableOf(wire::EndpointState::type aState)
{
  wire::Endpoint endpoint;
  endpoint.serviceName = "orders";
  endpoint.slots = 6;
  endpoint.state = aState;
  wire::MemberRecord record;
  record.host = "a";
  record.domain = "gent";
  record.state = wire::MemberState::ALIVE;
  record.endpoints.push_back(endpoint);
  MemberTable table("gent");
  table.Merge(record, 0);
  return table;
}

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(domainsummaries, .init = SilenceLogs);

// An old summary that arrives late must not replace a newer one: the services
// must be the same after every order of arrival.
Test(domainsummaries, EveryOrderGivesTheSameServices)
{
  const std::vector<wire::DomainSummary> updates = {
    SummaryOf(0, 10, { ServiceOf("orders", 10, 4), ServiceOf("fonts", 10, 4) }),
    SummaryOf(10, 20, { ServiceOf("orders", 20, 3) }),
    SummaryOf(20, 30, { ServiceOf("fonts", 30, 0) }),
    // Stamped by the other relay in the same millisecond.
    SummaryOf(20, 30, { ServiceOf("fonts", 30, 1) }),
    SummaryOf(0, 25, { ServiceOf("orders", 20, 3), ServiceOf("fonts", 10, 4) }),
  };
  std::set<std::vector<std::int64_t>> digests;
  std::vector<std::size_t> order = { 0, 1, 2, 3, 4 };
  do {
    DomainSummaries summaries("south", "gent");
    for (const std::size_t index : order) {
      summaries.Merge(updates[index], 0);
      summaries.Merge(updates[order.front()], 0);
    }
    const HeldSummary* const held = summaries.Find("bangor");
    cr_assert_eq(held->services.at("orders").ready, 3);
    digests.insert(summaries.Digests("bangor"));
    cr_assert_eq(digests.size(), 1U);
  } while (std::next_permutation(order.begin(), order.end()));
}

// Changes can be lost while a session is down. The gap must be reported until
// the missing changes have arrived, so that they are requested.
Test(domainsummaries, GapIsReportedUntilItIsFilled)
{
  DomainSummaries summaries("south", "gent");
  summaries.Merge(SummaryOf(0, 10, {}), 0);
  const auto later = SummaryOf(20, 30, { ServiceOf("orders", 30, 1) });
  cr_assert(summaries.HasGapBefore(later));
  summaries.Merge(later, 0);
  cr_assert(summaries.HasGapBefore(SummaryOf(30, 40, {})));
  summaries.Merge(SummaryOf(10, 30, { ServiceOf("fonts", 20, 2) }), 0);
  cr_assert_not(summaries.HasGapBefore(SummaryOf(30, 40, {})));
}

// A summary that was already received along a tree must not be forwarded along
// it again; summaries would otherwise circulate.
Test(domainsummaries, KnownSummaryIsNotForwardedAgain)
{
  DomainSummaries summaries("south", "gent");
  auto summary = SummaryOf(5, 10, { ServiceOf("orders", 10, 4) });
  cr_assert(summaries.Merge(summary, 0).isNewOnTree);
  cr_assert_not(summaries.Merge(summary, 0).isNewOnTree);
  // Along another tree, it reaches members that missed it on the first one.
  summary.root = "b";
  cr_assert(summaries.Merge(summary, 0).isNewOnTree);
  // The sender of an older summary receives the newer services.
  const auto older = SummaryOf(5, 9, { ServiceOf("orders", 9, 5) });
  const auto correction = summaries.Merge(older, 0).correction;
  cr_assert_eq(correction->services.front().stamp, 10);
}

// Receivers ignore stamps below the ones that they hold. A relay whose clock is
// behind must therefore use stamps above those.
Test(domainsummaries, StampsRiseAboveWhatReceiversHold)
{
  DomainSummaries summaries("south", "gent");
  const MemberTable table = TableOf(wire::EndpointState::READY);
  summaries.Build(table, {}, {}, 1000, true);
  auto held = SummaryOf(1000, 5000, { ServiceOf("orders", 5000, 7) });
  held.domain = "gent";
  summaries.Merge(held, 0);
  summaries.Build(table, {}, {}, 1001, true);
  summaries.Build(table, {}, {}, 4000, true);
  cr_assert_eq(summaries.Own().services.at("orders").ready, 1);
  cr_assert_gt(summaries.Own().services.at("orders").stamp, 5000);
}

// A service that was lost in transfer and is in no later summary must be found
// by comparing digests.
Test(domainsummaries, DifferingServicesAreFound)
{
  DomainSummaries full("south", "gent");
  DomainSummaries partial("south", "gent");
  full.Merge(SummaryOf(0, 10, { ServiceOf("orders", 9, 4) }), 0);
  for (DomainSummaries* const summaries : { &full, &partial }) {
    summaries->Merge(SummaryOf(0, 10, { ServiceOf("fonts", 10, 4) }), 0);
  }
  const auto missing =
    full.DifferingServices("bangor", partial.Digests("bangor"));
  cr_assert_eq(missing.services.size(), 1U);
  partial.Merge(missing, 0);
  cr_assert_eq(partial.Digests("bangor"), full.Digests("bangor"));
}

// A relay that has not received a change yet, such as a draining endpoint, must
// not undo the other relay's summary of it.
Test(domainsummaries, RelayDoesNotUndoAChangeItHasNotReceived)
{
  DomainSummaries summaries("south", "gent");
  const MemberTable ready = TableOf(wire::EndpointState::READY);
  summaries.Build(ready, {}, {}, 1000, true);
  auto fromOther = SummaryOf(1000, 2000, { ServiceOf("orders", 2000, 0) });
  fromOther.domain = "gent";
  summaries.Merge(fromOther, 0);
  summaries.Build(ready, {}, {}, 2100, true);
  cr_assert_eq(summaries.Own().services.at("orders").ready, 0);
  // It uses its own value if the difference persists.
  summaries.Build(ready, {}, {}, 5000, true);
  cr_assert_eq(summaries.Own().services.at("orders").ready, 1);
}

// If both relays sent every change, it would cross the region link twice. The
// second relay must still send a change that the first one does not send, for
// example because it is frozen.
Test(domainsummaries, SecondRelayLeavesChangesToTheFirst)
{
  DomainSummaries summaries("south", "gent");
  const MemberTable table = TableOf(wire::EndpointState::READY);
  cr_assert_eq(summaries.Build(table, {}, {}, 1000, false),
               SummaryChange::None);
  cr_assert_eq(summaries.Build(table, {}, {}, 2500, false),
               SummaryChange::Endpoints);
}
