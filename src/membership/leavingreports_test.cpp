#include "membership/leavingreports.h"

#include <criterion/criterion.h>

#include <vector>

using namespace lacewingwharf;

namespace {

/** Reports of one server; the store answers when the test says so. */
struct Harness
{
  Harness()
    : reports(this->clock.View(),
              [this](const LeavingServer&) { return this->isStored; })
  {
  }

  void Report()
  {
    this->reports.Handle({ "i-1", 77 }, [this](ReportDecision aDecision) {
      this->answers.push_back(aDecision);
    });
  }

  ManualClock clock{ 1000 };
  bool isStored = false;
  std::vector<ReportDecision> answers;
  LeavingReports reports;
};

} // namespace

// An acknowledgement that is given before the store has the leaving is undone
// by a kill of the daemon, and the server gets calls again.
Test(leavingreports, a_report_is_not_acknowledged_before_it_is_stored)
{
  Harness harness;
  harness.Report();
  harness.clock.Advance(5000);
  harness.reports.Tick();
  cr_assert_eq(harness.answers.size(), 1U);
  cr_expect(harness.answers[0] == ReportDecision::NotStored);
  harness.Report();                            // The server tries again.
  harness.reports.HandleStored({ "i-0", 50 }); // Another process.
  cr_assert_eq(harness.answers.size(), 1U);
  harness.reports.HandleStored({ "i-1", 77 });
  cr_assert_eq(harness.answers.size(), 2U);
  cr_expect(harness.answers[1] == ReportDecision::Taken);
  harness.isStored = true;
  harness.Report(); // Later reports are acknowledged at once.
  cr_expect_eq(harness.answers.size(), 3U);
}

// Each report is answered once, also if the store answers after the time limit.
Test(leavingreports, a_late_store_answer_does_not_answer_again)
{
  Harness harness;
  harness.Report();
  harness.clock.Advance(5000);
  harness.reports.Tick();
  harness.reports.HandleStored({ "i-1", 77 });
  harness.reports.Tick();
  cr_expect_eq(harness.answers.size(), 1U);
}

// A report that came before the process was known names no start time. It must
// be acknowledged when the entry is stored with one, or the server would be
// refused until it ends.
Test(leavingreports, a_report_without_a_start_time_is_acknowledged)
{
  Harness harness;
  std::vector<ReportDecision> answers;
  harness.reports.Handle({ "i-1", 0 }, [&answers](ReportDecision aDecision) {
    answers.push_back(aDecision);
  });
  harness.reports.HandleStored({ "i-2", 77 }); // Another process.
  cr_assert_eq(answers.size(), 0U);
  harness.reports.HandleStored({ "i-1", 77 });
  cr_assert_eq(answers.size(), 1U);
  cr_expect(answers[0] == ReportDecision::Taken);
}
