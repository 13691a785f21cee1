// Accountants and their pools.

#include "usage/usageaccountant.h"
#include "usage/usagelinks.h"
#include "usage/usagemodel.h"

#include "common/log.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <limits>
#include <string>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr Millis kStart = 100000;
constexpr int kAllLoans = (1 << kUsageLoans) - 1;

/** An accountant with one capped team, past the wait after its start. */
struct Accounting
{
  Accounting(int aRate, int aBurst)
    : snapshot(SnapshotOfTeam("pulo", aRate, aBurst))
  {
    this->accountant.SetTeams(this->snapshot->Teams(), this->now);
    this->now += this->times.outstandingTime + 2;
  }

  /** A request of a lender with an echo of the latest stamp. */
  wire::UsageRequest Request(const std::string& aHost, int aMembers = 1)
  {
    wire::UsageRequest request;
    request.host = aHost;
    request.incarnation = 1;
    request.sequence = ++this->sequence;
    request.echo = this->now;
    request.echoIncarnation = 7;
    request.members = aMembers;
    request.lent = kAllLoans;
    return request;
  }

  int Take(wire::UsageRequest aRequest, int aWanted)
  {
    wire::UsageNeed need;
    need.team = "pulo";
    need.wanted = aWanted;
    need.waiting = aWanted;
    aRequest.needs.push_back(need);
    this->last = this->accountant.Handle(aRequest, this->now).answers.at(0);
    return this->last.granted;
  }

  /** Whether the needs of a request are not answered. */
  bool IsIgnored(wire::UsageRequest aRequest)
  {
    wire::UsageNeed need;
    need.team = "pulo";
    aRequest.needs.push_back(need);
    return this->accountant.Handle(aRequest, this->now).answers.empty();
  }

  void Return(std::int64_t aSequence, int aCount)
  {
    wire::UsageRequest request = this->Request("a");
    wire::UsageReturn unspent;
    unspent.team = "pulo";
    unspent.sequence = aSequence;
    unspent.count = aCount;
    request.returns.push_back(unspent);
    this->accountant.Handle(request, this->now);
    this->accountant.Handle(request, this->now);
  }

  UsageTimes times = MakeUsageTimes({});
  SnapshotPtr snapshot;
  Millis now = kStart;
  UsageAccountant accountant{ "x", 7, this->times, kStart };
  std::int64_t sequence = 0;
  wire::UsageAnswer last;
};

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(usageparts, .init = SilenceLogs);

// A new pool that had tokens would allow a second burst after each move.
Test(usageparts, APoolStartsEmptyAndFillsAtItsRate)
{
  Accounting test(100, 100);
  cr_assert_eq(test.Take(test.Request("a"), 10), 0);
  cr_assert_gt(test.last.retryAfterMillis, 0);
  test.now += 500;
  cr_assert_eq(test.Take(test.Request("a"), 1000), 50);
}

// The first calls of a team that is new in a version must not be refused while
// its pool fills from nothing: no tokens of it can exist.
Test(usageparts, APoolOfANewTeamHasTheRefillsOfTheTimeBefore)
{
  Accounting test(100, 100);
  test.accountant.Handle(test.Request("a"), test.now);
  test.now += 500;
  test.accountant.Handle(test.Request("a"), test.now);
  const SnapshotPtr other = SnapshotOfTeam("press", 20, 20);
  test.accountant.SetTeams(other->Teams(), test.now);
  UsagePool* const pool = test.accountant.CurrentPool("press", test.now);
  cr_assert_not_null(pool);
  cr_assert_eq(pool->Left(), 10);
}

// A half that leaves takes its tokens with it, also from the time before a team
// was there, and one that arrives brings none.
Test(usageparts, APoolOfANewTeamHasNoTokensOfHalvesThatMoved)
{
  Accounting test(100, 100);
  test.accountant.Handle(test.Request("a", 2), test.now);
  // The half of "a" ends and that of "b" arrives, after 10 s of refills.
  for (int step = 0; step < 10; ++step) {
    test.accountant.Handle(test.Request("a", 2), test.now);
    test.now += 1000;
  }
  test.now += test.times.loanTime;
  test.accountant.Handle(test.Request("b", 2), test.now);
  const SnapshotPtr other = SnapshotOfTeam("press", 100, 100);
  test.accountant.SetTeams(other->Teams(), test.now);
  cr_assert_eq(test.accountant.CurrentPool("press", test.now)->Left(), 0);
}

// A team that is removed and added again must not get a second burst within one
// window.
Test(usageparts, ATeamThatIsAddedAgainHasThePoolThatItHad)
{
  Accounting test(100, 100);
  const SnapshotPtr other = SnapshotOfTeam("press", 100, 100);
  test.accountant.Handle(test.Request("a"), test.now);
  test.now += 1000;
  const int taken = test.Take(test.Request("a"), 1000);
  cr_assert_eq(taken, 100);
  test.now += 10;
  test.accountant.SetTeams(other->Teams(), test.now);
  test.now += 10;
  test.accountant.SetTeams(test.snapshot->Teams(), test.now);
  cr_assert_eq(test.accountant.FindPool("pulo")->Left(), 2);
  cr_assert_eq(test.accountant.FindPool("pulo")->Outstanding(), 100);
}

// However long ago a team was removed, only the refills of the time since then
// may be there.
Test(usageparts, ANewPoolIsRefilledForNoLongerThanRemovedPoolsAreKept)
{
  Accounting test(1, 1000);
  for (int step = 0; step < 200; ++step) {
    test.accountant.Handle(test.Request("a"), test.now);
    test.now += 1000;
  }
  const SnapshotPtr other = SnapshotOfTeam("press", 1, 1000);
  test.accountant.SetTeams(other->Teams(), test.now);
  cr_assert_eq(test.accountant.CurrentPool("press", test.now)->Left(), 60);
}

// A loan must not be prolonged by a request whose stamp is old or from another
// process, however late it arrives.
Test(usageparts, ALoanEndsAfterTheEchoedStamp)
{
  Accounting test(100, 100);
  wire::UsageRequest old = test.Request("a");
  test.accountant.Handle(old, test.now);
  cr_assert_eq(test.accountant.LoansOf(0), 2);
  test.now += test.times.loanTime;
  test.accountant.Handle(old, test.now);
  cr_assert_eq(test.accountant.LoansOf(0), 0);
  wire::UsageRequest foreign = test.Request("a");
  foreign.echoIncarnation = 6;
  test.accountant.Handle(foreign, test.now);
  cr_assert_eq(test.accountant.LoansOf(0), 0);
}

// A process that was killed just before may have granted tokens that still
// live.
Test(usageparts, AnAccountantWaitsForTheTokensOfAnEarlierProcess)
{
  const UsageTimes times = MakeUsageTimes({});
  Accounting test(100, 100);
  test.now = kStart + times.outstandingTime;
  test.accountant.Handle(test.Request("a"), test.now);
  cr_assert_eq(test.accountant.LoansOf(0), 0);
}

// A repeated message would put spent tokens back into the pool.
Test(usageparts, TokensAreReturnedOnce)
{
  Accounting test(100, 10);
  test.accountant.Handle(test.Request("a"), test.now);
  test.now += 100;
  cr_assert_eq(test.Take(test.Request("a"), 8), 8);
  const std::int64_t granted = test.sequence;
  const int left = test.last.left;
  test.Return(granted, 3);
  cr_assert_eq(test.Take(test.Request("a"), 0), 0);
  cr_assert_eq(test.last.left, left + 3);
}

// Tokens that are granted ahead of calls are missing to the calls that wait
// elsewhere, so a pool that fills must not grant any.
Test(usageparts, AFillingPoolKeepsItsTokensForCallsThatWait)
{
  Accounting test(20, 20);
  test.accountant.Handle(test.Request("a"), test.now);
  test.now += 200;
  wire::UsageRequest ahead = test.Request("a");
  wire::UsageNeed need;
  need.team = "pulo";
  need.wanted = 3;
  need.waiting = 1;
  ahead.needs.push_back(need);
  const wire::UsageAnswer answer =
    test.accountant.Handle(ahead, test.now).answers.at(0);
  cr_assert_eq(answer.granted, 1);
  cr_assert_eq(answer.left, 3);
  cr_assert_eq(answer.retryAfterMillis, 0); // There are tokens for calls.
  cr_assert_eq(test.Take(test.Request("a"), 3), 3);
  // A full pool grants ahead.
  test.now += 1450;
  test.accountant.Handle(test.Request("a"), test.now);
  test.now += 1450;
  need.wanted = 5;
  ahead = test.Request("a");
  ahead.needs.push_back(need);
  cr_assert_eq(test.accountant.Handle(ahead, test.now).answers.at(0).granted,
               5);
}

// After a restart of all daemons, the share of the first lender alone would
// name times at which there have been tokens for long.
Test(usageparts, RetryAfterCountsTheDaemonsThatWillLend)
{
  constexpr int kMembers = 12;
  Accounting test(20, 20);
  const auto retryAfter = [&test] {
    test.Take(test.Request("a", kMembers), 1);
    return test.last.retryAfterMillis;
  };
  const int alone = retryAfter();
  cr_assert_geq(alone, 600); // 20 a second / 12 members.
  test.now += 100;
  for (int host = 1; host < kMembers; ++host) {
    wire::UsageRequest request =
      test.Request(fmt::format("h{}", host), kMembers);
    request.lent = 0;
    test.accountant.Handle(request, test.now);
  }
  // Two calls miss tokens now: 1.2 s at the share of one lender.
  const int together = retryAfter();
  cr_assert_leq(together, alone);
  cr_assert_gt(together, 300);
}

// Granted tokens that may still be spent count towards the depth.
Test(usageparts, OutstandingTokensLimitThePool)
{
  Accounting test(100, 0);
  test.accountant.Handle(test.Request("a"), test.now);
  test.now += 1000;
  const int depth = 45; // 100/s for 350 ms, and 10 spare tokens.
  cr_assert_eq(test.Take(test.Request("a"), 1000), depth);
  test.now += test.times.outstandingTime;
  cr_assert_eq(test.Take(test.Request("a"), 1000), 0);
  test.now += 101;
  cr_assert_eq(test.Take(test.Request("a"), 1000), 10);
}

// A lower cap takes effect at once on tokens that were saved under the old one.
Test(usageparts, ALowerCapDiscardsTokens)
{
  Accounting test(100, 100);
  for (int step = 0; step < 10; ++step) {
    test.accountant.Handle(test.Request("a"), test.now);
    test.now += 300;
  }
  const SnapshotPtr lower = SnapshotOfTeam("pulo", 10, 5);
  test.accountant.SetTeams(lower->Teams(), test.now);
  cr_assert_eq(test.Take(test.Request("a"), 1000), 18);
}

// The larger number of members counts, so that daemons which know fewer members
// cannot lend more than their share.
Test(usageparts, TheLargestNumberOfMembersDividesTheCap)
{
  Accounting test(100, 100);
  test.accountant.SetMembers(2, test.now);
  test.accountant.Handle(test.Request("a", 5), test.now);
  cr_assert_float_eq(test.accountant.ShareOf(0), 0.2, 1e-9);
}

// Daemons that have just started know few members; their lenders together must
// not have more than the whole cap.
Test(usageparts, MoreLendersThanReportedMembersDoNotExceedTheCap)
{
  Accounting test(100, 100);
  for (const char* host : { "a", "b", "c", "d", "e", "f" }) {
    test.accountant.Handle(test.Request(host, 3), test.now);
  }
  cr_assert_float_eq(test.accountant.ShareOf(0), 1.0, 1e-9);
}

// A pool to which nothing is lent says nothing about the cap.
Test(usageparts, AnAnswerWithoutLoansIsMarked)
{
  Accounting test(100, 100);
  wire::UsageRequest request = test.Request("a");
  request.lent = 0;
  cr_assert_eq(test.Take(request, 1), 0);
  cr_assert_eq(test.last.left, kUsageNoLoans);
  cr_assert_eq(test.last.retryAfterMillis, 0);
  cr_assert_eq(test.Take(test.Request("a"), 1), 0);
  cr_assert_eq(test.last.left, 0);
}

// Malformed numbers of one daemon must not disturb the pools of all.
Test(usageparts, NumbersOutOfRangeAreLimited)
{
  constexpr int kMax = std::numeric_limits<std::int32_t>::max();
  constexpr int kMin = std::numeric_limits<std::int32_t>::min();
  Accounting test(100, 100);
  test.accountant.Handle(test.Request("a", kMin), test.now);
  cr_assert_float_eq(test.accountant.ShareOf(0), 1.0, 1e-9);
  test.now += 500;
  cr_assert_eq(test.Take(test.Request("a"), kMin), 0);
  test.Return(1, kMin);
  cr_assert_eq(test.Take(test.Request("a"), kMax), 50);
  test.accountant.Handle(test.Request("a", kMax), test.now);
  cr_assert_float_eq(test.accountant.ShareOf(0), 1e-5, 1e-9);
}

// Incarnations are wall clock times, so a restart after the clock was set back
// brings a lower one. Late messages of the earlier process must still not
// count.
Test(usageparts, ALenderMayRestartWithALowerIncarnation)
{
  Accounting test(100, 100);
  const wire::UsageRequest late = test.Request("a");
  test.accountant.Handle(test.Request("a"), test.now);
  test.now += 500;
  wire::UsageRequest restarted = test.Request("a");
  restarted.incarnation = 0;
  restarted.sequence = 1;
  wire::UsageRequest unproven = restarted;
  unproven.echo = 0;
  cr_assert(test.IsIgnored(unproven));
  cr_assert_not(test.IsIgnored(restarted));
  test.now += 10;
  cr_assert(test.IsIgnored(late));
  wire::UsageRequest ofOld = late;
  ofOld.sequence = test.sequence + 1;
  cr_assert(test.IsIgnored(ofOld));
  restarted.sequence = 2;
  cr_assert_not(test.IsIgnored(restarted));
}

// Callers come back at the time that they are given; the refused ones before
// them need tokens as well.
Test(usageparts, RetryAfterCountsTheCallsRefusedBefore)
{
  Accounting test(100, 100);
  test.accountant.Handle(test.Request("a"), test.now);
  cr_assert_eq(test.Take(test.Request("a"), 10), 0);
  cr_assert_leq(std::abs(test.last.retryAfterMillis - 110), 2);
  cr_assert_eq(test.Take(test.Request("a"), 10), 0);
  cr_assert_leq(std::abs(test.last.retryAfterMillis - 210), 2);
}

// An accountant that gets no processor time for 800 ms must keep the tokens of
// its pools, whenever the pause starts. Its requests wait for it.
Test(usageparts, LoansOutliveAPauseOfTheAccountant)
{
  constexpr Millis kPause = 800;
  constexpr Millis kPauseFrom = kStart + 5000;
  constexpr Millis kEnd = kPauseFrom + kPause + 50;
  const UsageTimes times = MakeUsageTimes({});
  for (Millis phase = 0; phase < times.lendInterval; phase += 10) {
    Accounting test(100, 100);
    UsageLinks links("a", 1, times);
    std::vector<wire::UsageRequest> queue;
    int leftBefore = 0;
    for (Millis now = kStart + 400 + phase; now < kEnd; ++now) {
      if (links.IsDue("x", now)) {
        wire::UsageRequest request;
        links.Prepare("x", request, now);
        request.members = 1;
        request.lent = kAllLoans;
        queue.push_back(request);
      }
      if (now < kPauseFrom) {
        leftBefore = test.accountant.CurrentPool("pulo", now)->Left();
      } else if (now < kPauseFrom + kPause) {
        continue;
      }
      for (const wire::UsageRequest& request : std::exchange(queue, {})) {
        links.Accept(test.accountant.Handle(request, now), now);
      }
    }
    cr_assert_gt(leftBefore, 100);
    cr_assert_geq(test.accountant.CurrentPool("pulo", kEnd)->Left(),
                  leftBefore,
                  "phase %d",
                  int(phase));
  }
}
