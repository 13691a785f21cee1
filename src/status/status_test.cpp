#include "common/random.h"
#include "status/entrystats.h"
#include "status/explanation.h"
#include "status/metricsregistry.h"
#include "status/statusaggregator.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace lacewingwharf;

namespace {

wire::StatusReport
MakeReport(const std::string& aHost, const std::vector<std::string>& aEntries)
{
  wire::StatusReport report;
  report.host = aHost;
  for (const std::string& name : aEntries) {
    wire::EntryReport entry;
    entry.entry = name;
    entry.owner = "shop";
    entry.calls = 100;
    entry.refused = 10;
    entry.p99Micros = 5000;
    entry.limit = "entry-rate";
    entry.bound = 20;
    entry.seen = 30;
    entry.sinceWallMillis = 1000;
    entry.callers = { "till-1", "till-2" };
    report.entries.push_back(entry);
  }
  return report;
}

CallRecord
MakeCall(double aLatency)
{
  CallRecord call;
  call.entry = "tills";
  call.owner = "shop";
  call.caller = "till-1";
  call.latencyMillis = aLatency;
  call.deadline = 1000;
  return call;
}

struct AggregatorFixture
{
  ManualClock clock{ 1000000 };
  std::vector<StoredObject> written;
  StatusAggregator aggregator{ "bangor",
                               clock.View(),
                               [this](const StoredObject& aObject) {
                                 this->written.push_back(aObject);
                               } };
};

} // namespace

// Quantiles must be close to the exact ones and must not include latencies from
// before the window.
Test(status, QuantilesCoverOnlyTheRecentWindow)
{
  LatencyRecorder recorder(20000);
  const Random random = SeededRandom(3);
  for (int call = 0; call < 10000; ++call) {
    recorder.Add(static_cast<double>(RandomBelow(random, 1000)), call);
  }
  const double median = recorder.Quantile(LatencyQuantile::Median, 10000);
  const double high = recorder.Quantile(LatencyQuantile::P99, 10000);
  cr_assert(median > 470 && median < 530, "median %f", median);
  cr_assert(high > 975 && high < 1000, "p99 %f", high);
  cr_assert_eq(recorder.Quantile(LatencyQuantile::P99, 60000), 0);
  recorder.Add(7, 60000);
  cr_assert_eq(recorder.Quantile(LatencyQuantile::P99, 60000), 7);
}

// A scraper rejects malformed text, for example with unescaped characters in a
// label or a series that appears twice.
Test(status, MetricsTextIsWellFormed)
{
  MetricsRegistry registry;
  registry
    .Counter("lww_calls_total",
             "Calls\nby outcome.",
             { { "b", "1" }, { "a", "x\"\\\n" } })
    ->Add(2);
  registry.Counter("lww_calls_total", "", { { "a", "x\"\\\n" }, { "b", "1" } })
    ->Add();
  registry.Gauge("lww_up", "Running.")->Set(0.5);
  registry.Gauge("lww_slots", "Slots.", { { "port", "1" } })->Set(6);
  registry.Remove("lww_slots", { { "port", "1" } });
  const std::string expected = "# HELP lww_calls_total Calls\\nby outcome.\n"
                               "# TYPE lww_calls_total counter\n"
                               "lww_calls_total{a=\"x\\\"\\\\\\n\",b=\"1\"} 3\n"
                               "# HELP lww_up Running.\n"
                               "# TYPE lww_up gauge\n"
                               "lww_up 0.5\n";
  const std::string text = registry.Text();
  cr_assert_str_eq(text.c_str(), expected.c_str());
}

// A report must contain what operators need: the counts, the exceeded limit,
// the callers and the start of the problems.
Test(status, ReportContainsLimitCallersAndStart)
{
  ManualClock clock(5000);
  EntryStats stats(clock.View());
  for (int call = 0; call < 100; ++call) {
    stats.Record(MakeCall(10));
  }
  cr_assert(stats.TakeReports().empty());
  stats.Record(MakeCall(600));
  stats.Record(MakeCall(50)); // Within the deadline, but five times the mean.
  CallRecord refused = MakeCall(0);
  refused.outcome = wire::CallOutcome::NOT_RUN;
  refused.refusal =
    Refusal{ RefusalReason::EntryRate, "tills", "shop", 20, 31 };
  for (int caller = 0; caller < 20; ++caller) {
    refused.caller = "till-" + std::to_string(caller);
    stats.Record(refused);
  }
  clock.Advance(5000);
  const auto reports = stats.TakeReports();
  cr_assert_eq(reports.size(), 1U);
  cr_assert_eq(reports[0].slow, 2);
  cr_assert_eq(reports[0].refused, 20);
  cr_assert_eq(reports[0].sinceWallMillis, 5000);
  cr_assert_str_eq(reports[0].limit.c_str(), "entry-rate");
  cr_assert_eq(reports[0].bound, 20);
  cr_assert_eq(reports[0].seen, 31);
  cr_assert_eq(reports[0].callers.size(), 8U);
}

// A problem that lasts for several intervals must keep its start time. A
// problem that occurs after the last one has ended must get a new one.
Test(status, StartTimeIsKeptUntilProblemsEnd)
{
  ManualClock clock(5000);
  EntryStats stats(clock.View());
  stats.Record(MakeCall(900));
  cr_assert_eq(stats.TakeReports().at(0).sinceWallMillis, 5000);
  clock.Advance(5000);
  stats.Record(MakeCall(900));
  cr_assert_eq(stats.TakeReports().at(0).sinceWallMillis, 5000);
  for (int interval = 0; interval < 5; ++interval) {
    clock.Advance(5000);
    cr_assert(stats.TakeReports().empty());
  }
  stats.Record(MakeCall(900));
  cr_assert_eq(stats.TakeReports().at(0).sinceWallMillis, 35000);
}

// Status writes must not overload the store, and no entry may remain unwritten
// because others always come first. The limit per entry applies with 10
// entries, the limit per second with 150.
Test(status, WritesAreLimitedPerEntryAndPerSecond)
{
  for (const int count : { 10, 150 }) {
    AggregatorFixture test;
    std::vector<std::string> names;
    names.reserve(count);
    for (int entry = 0; entry < count; ++entry) {
      names.push_back("entry" + std::to_string(entry));
    }
    std::map<std::string, Millis> lastWrite;
    std::vector<Millis> times;
    for (int step = 0; step < 300; ++step) {
      test.clock.Advance(100);
      test.aggregator.Merge(
        MakeReport("host" + std::to_string(step % 5), names));
      test.written.clear();
      test.aggregator.Tick();
      const Millis now = test.clock.View().Now();
      for (const StoredObject& object : test.written) {
        cr_assert(!lastWrite.contains(object.name) ||
                  now - lastWrite[object.name] >= 5000);
        lastWrite[object.name] = now;
        times.push_back(now);
      }
      const auto writesInLastSecond = std::ranges::count_if(
        times, [now](Millis aTime) { return now - aTime < 1000; });
      cr_assert_leq(writesInLastSecond, 20);
    }
    cr_assert_eq(lastWrite.size(), names.size());
  }
}

// A status must return to zero after the problems end, and a report of a host
// must replace the earlier report of that host instead of being added to it.
Test(status, MergedStatusFollowsTheLatestReports)
{
  AggregatorFixture test;
  test.aggregator.Merge(MakeReport("host1", { "tills" }));
  test.aggregator.Merge(MakeReport("host1", { "tills" }));
  test.aggregator.Merge(MakeReport("host2", { "tills" }));
  test.aggregator.Tick();
  const auto first = DecodeStatus(test.written.at(0).value).value();
  cr_assert_str_eq(test.written[0].name.c_str(), "status/tills/bangor");
  cr_assert_eq(first.refused, 20);
  cr_assert_eq(first.hosts, 2);
  cr_assert_eq(first.callers.size(), 2U);
  test.clock.Advance(20000);
  test.aggregator.Tick();
  const auto last = DecodeStatus(test.written.at(1).value).value();
  cr_assert_eq(last.refused, 0);
  cr_assert_eq(last.since, 0);
  cr_assert_str_eq(last.owner.c_str(), "shop");
}

// An explanation must contain each of its parts, sorted by severity, and must
// fit on one screen.
Test(status, ExplanationIsCompleteAndFitsOneScreen)
{
  std::vector<StoredObject> objects;
  for (int index = 0; index < 12; ++index) {
    const std::string domain = "domain" + std::to_string(index);
    DomainStatus status;
    status.entry = "tills";
    status.owner = "shop";
    status.domain = domain;
    status.calls = 100;
    status.refused = index;
    status.limit = "owner-rate";
    status.bound = 20;
    status.seen = 30;
    status.since = 1700000000000;
    status.updated = 1700000005000;
    status.callers = { "till-1", std::string(100, 'x'), "\xff" };
    objects.push_back(
      { StatusObjectName("tills", domain), 1, EncodeStatus(status) });
  }
  objects.push_back(
    { "status/tills/acceptance", 1, R"({"reason":"bad limits"})" });
  objects.push_back({ "status/tills/broken", 1, "{" });
  const auto original = Explanation::FromObjects("tills", objects);
  const auto copy = Explanation::FromJson(original.ToJson());
  cr_assert(copy.has_value());
  const std::string text = copy.value().Text(1700000010000);
  for (const char* const expectedText :
       { "entry tills, owner shop",
         "bad limits",
         "status/tills/broken",
         "domain11: 11 of 100 calls refused",
         "since 2023-11-14T22:13:20Z",
         "limit owner-rate: bound 20, seen 30, 50% over",
         "for till-1" }) {
    cr_assert(
      text.find(expectedText) != std::string::npos, "lacks %s", expectedText);
  }
  cr_assert_leq(std::ranges::count(text, '\n'), 24);
  cr_assert_not(Explanation::FromJson("{}").has_value());
}
