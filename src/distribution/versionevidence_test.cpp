#include "distribution/versionevidence.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// A daemon that has just started knows nothing and must not claim to be
// current, and neither must one that lacks a version that the store has.
Test(versionevidence, only_evidence_for_the_held_version_counts)
{
  VersionEvidence evidence;
  cr_expect_not(evidence.ConfirmedAt(0).has_value());
  evidence.RecordVersion(4);
  cr_expect_not(evidence.ConfirmedAt(4).has_value());
  evidence.Confirm(1000);
  cr_expect_eq(evidence.ConfirmedAt(4).value(), 1000);
  cr_expect_not(evidence.ConfirmedAt(3).has_value());
  evidence.RecordVersion(5);
  cr_expect_not(evidence.ConfirmedAt(4).has_value());
  // At that time, version 5 did not exist, so nothing newer than it did.
  cr_expect_eq(evidence.ConfirmedAt(5).value(), 1000);
}

// Evidence that arrives late must not replace newer evidence.
Test(versionevidence, the_latest_time_counts)
{
  VersionEvidence evidence;
  evidence.Confirm(2000);
  evidence.Confirm(1500);
  cr_expect_eq(evidence.ConfirmedAt(1).value(), 2000);
  evidence.Confirm(2500);
  cr_expect_eq(evidence.ConfirmedAt(1).value(), 2500);
}

// After a pause, a process reads messages that waited for it. Their evidence
// may be as old as the pause is long.
Test(versionevidence, messages_read_after_a_pause_may_be_old)
{
  VersionEvidence evidence;
  Millis now = 100000;
  cr_expect(evidence.IsReadingBacklog(now), "before the first tick");
  const auto run = [&](Millis aTime) {
    for (const Millis end = now + aTime; now < end; now += 50) {
      evidence.RecordTick(now);
    }
  };
  run(1000);
  cr_expect_not(evidence.IsReadingBacklog(now));
  now += 5000;
  cr_expect(evidence.IsReadingBacklog(now), "read before the next tick");
  run(50);
  cr_expect(evidence.IsReadingBacklog(now), "read just after it");
  run(500);
  cr_expect_not(evidence.IsReadingBacklog(now));
}
