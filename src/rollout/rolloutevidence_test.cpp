#include "rollout/rolloutevidence.h"
#include "rollout/rolloutreports.h"

#include "peer/codec.h"
#include "peer/datagramsocket.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <set>
#include <string>

using namespace lacewingwharf;

namespace {

wire::RolloutCounts
Row(bool aIsTarget, int aAnswers, int aFailures, double aMillis = 20)
{
  wire::RolloutCounts row;
  row.route = "order-get";
  row.isTarget = aIsTarget;
  row.answers = aAnswers;
  row.failures = aFailures;
  row.times.resize(TimeRangeOf(aMillis) + 1);
  row.times.back() = aAnswers - aFailures;
  return row;
}

wire::RolloutReport
Report(std::vector<wire::RolloutCounts> aRows)
{
  wire::RolloutReport report;
  report.host = "d1";
  report.counts = std::move(aRows);
  return report;
}

double
Corrected(const RolloutEvidence& aEvidence)
{
  const EvidenceFinding finding = aEvidence.Strongest();
  return finding.chance * static_cast<double>(finding.comparisons);
}

} // namespace

// Known values of Fisher's exact test, one side.
Test(rolloutevidence, the_probability_is_that_of_fishers_test)
{
  // Lady tasting tea: 3 of 4 and 1 of 4.
  cr_expect_float_eq(TailProbability(3, 4, 1, 4), 17.0 / 70, 1e-9);
  cr_expect_float_eq(TailProbability(4, 4, 0, 4), 1.0 / 70, 1e-9);
  cr_expect_float_eq(TailProbability(0, 10, 3, 20), 1, 1e-9);
}

// A few failures of the target among many good answers of the base are a sign;
// the same share at both is none.
Test(rolloutevidence, failures_are_compared_with_those_of_the_base)
{
  RolloutEvidence bad;
  bad.Merge(Report({ Row(false, 500, 2), Row(true, 20, 6) }));
  cr_expect_lt(Corrected(bad), 1e-4);
  cr_expect_eq(bad.Strongest().kind, EvidenceKind::Failures);
  RolloutEvidence equal;
  equal.Merge(Report({ Row(false, 500, 150), Row(true, 20, 6) }));
  cr_expect_gt(Corrected(equal), 0.1);
}

// Answers that take three times as long must be noticed, and some that are only
// a little slower must not.
Test(rolloutevidence, slow_answers_are_compared_with_the_median_of_the_base)
{
  RolloutEvidence slow;
  slow.Merge(Report({ Row(false, 500, 0, 20), Row(true, 20, 0, 70) }));
  cr_expect_lt(Corrected(slow), 1e-4);
  cr_expect_eq(slow.Strongest().kind, EvidenceKind::Times);
  RolloutEvidence slower;
  slower.Merge(Report({ Row(false, 500, 0, 20), Row(true, 20, 0, 28) }));
  cr_expect_gt(Corrected(slower), 0.1);
}

// A disturbance that hits both versions in the same seconds must not count
// against the target because it got more of its requests in these.
Test(rolloutevidence, answers_are_compared_over_the_same_seconds)
{
  RolloutEvidence evidence;
  evidence.Merge(Report({ Row(false, 1000, 0), Row(true, 5, 0) }));
  evidence.StartSlice();
  evidence.Merge(Report({ Row(false, 1100, 50), Row(true, 45, 20) }));
  cr_expect_gt(Corrected(evidence), 0.1);
}

// In the last stretch the base gets no requests, and is still compared with.
Test(rolloutevidence, a_slice_without_the_base_uses_earlier_answers)
{
  RolloutEvidence evidence;
  evidence.Merge(Report({ Row(false, 400, 1) }));
  evidence.StartSlice();
  evidence.Merge(Report({ Row(false, 401, 1) }));
  evidence.StartSlice();
  evidence.Merge(Report({ Row(true, 100, 30) }));
  cr_expect_lt(Corrected(evidence), 1e-6);
}

// Repeated and late reports must not be counted twice.
Test(rolloutevidence, a_repeated_report_adds_nothing)
{
  RolloutEvidence evidence;
  evidence.Merge(Report({ Row(true, 20, 6) }));
  evidence.Merge(Report({ Row(true, 20, 6) }));
  evidence.Merge(Report({ Row(true, 10, 3) }));
  cr_expect_eq(evidence.TargetAnswers(), 20);
  cr_expect_eq(evidence.TargetFailures(), 6);
}

// A report that does not fit a datagram would never arrive.
Test(rolloutevidence, reports_fit_datagrams_and_reach_every_route)
{
  RolloutReports counts;
  counts.SetOrder(7);
  constexpr int kRoutes = 60;
  for (int route = 0; route < kRoutes; ++route) {
    counts.RecordStart(true);
    counts.RecordEnd(7,
                     "a-route-with-a-rather-long-name-" + std::to_string(route),
                     route % 2 == 0,
                     { true, true, false, 1000, true });
  }
  wire::RolloutReport head;
  head.host = "a-host-with-a-rather-long-name";
  head.serviceName = "a-service-with-a-rather-long-name";
  head.state = wire::RolloutState::RUNNING;
  head.incarnation = head.stamp = head.sequence = INT64_MAX;
  std::size_t rows = 0;
  for (const wire::RolloutReport& report : counts.Take(head)) {
    wire::Envelope envelope;
    envelope.__set_rolloutReport(report);
    cr_expect(EncodeEnvelope(envelope, kMaxDatagramBytes).has_value());
    rows += report.counts.size();
    cr_expect_eq(report.exposed, kRoutes);
  }
  cr_expect_eq(rows, static_cast<std::size_t>(kRoutes));
  counts.Take(head);
  // Without changes, one route after the other is repeated.
  std::set<std::string> repeated;
  for (int round = 0; round < kRoutes; ++round) {
    const auto reports = counts.Take(head);
    cr_assert_eq(reports.front().counts.size(), 1U);
    repeated.insert(reports.front().counts.front().route);
  }
  cr_expect_eq(repeated.size(), static_cast<std::size_t>(kRoutes));
}

// A request that never reached a server must not use up the share.
Test(rolloutevidence, requests_that_reached_no_server_are_not_counted)
{
  RolloutReports counts;
  counts.SetOrder(7);
  counts.RecordStart(true);
  counts.RecordEnd(7, "order-get", true, { false, false, false, 0, true });
  cr_expect_eq(counts.Exposed(), 0);
  counts.RecordStart(true);
  counts.SetOrder(8); // The request counted for the order before.
  counts.RecordEnd(7, "order-get", true, { false, false, false, 0, true });
  cr_expect_eq(counts.Exposed(), 0);
}
