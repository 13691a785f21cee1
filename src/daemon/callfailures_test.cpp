#include "daemon/callfleet.h"

#include <criterion/criterion.h>

#include <future>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

std::future<TestAnswer>
CallInBackground(const CallFleet& aFleet,
                 std::size_t aHost,
                 const std::string& aMethod,
                 const std::string& aKey)
{
  return std::async(std::launch::async, [&aFleet, aHost, aMethod, aKey] {
    return aFleet.Call(aHost, aMethod, "body", aKey);
  });
}

} // namespace

// A call whose destination daemon is killed while it runs must not be run again
// and must not be reported as not-run.
Test(callfailures, KilledDestinationLeavesTheCallUnknown, .timeout = 60)
{
  CallFleet fleet(1, 2, 2000);
  cr_assert(
    WaitUntil([&] { return CallFleet::IsDone(fleet.Call(0, "GET", "")); }));
  auto call = CallInBackground(fleet, 0, "POST", "killed");
  cr_assert(WaitUntil([&] { return fleet.RunsOfKey("killed") == 1; }));
  fleet.daemons.at(1).Kill();
  cr_assert_eq(CallFleet::OutcomeOf(call.get()), "unknown");
  cr_assert_eq(fleet.RunsOfKey("killed"), 1);
  fleet.StartDaemon(1);
  cr_assert(WaitUntil(
    [&] { return CallFleet::IsDone(fleet.Call(0, "POST", "later")); }));
  cr_assert_eq(CallFleet::OutcomeOf(fleet.Call(0, "POST", "body", "killed")),
               "unknown");
  cr_assert_eq(fleet.RunsOfKey("killed"), 1);
}

// A request that crashes the backend server that runs it must be refused after
// two losses. Otherwise it crashes one server after the other.
Test(callfailures, CrashingRequestIsRefusedAfterTwoLostServers, .timeout = 90)
{
  CallFleet fleet(2, 5, 5, "[status]\nreportinterval = 200\n");
  cr_assert(fleet.WaitUntilReady());
  for (std::size_t host = 1; host < 5; ++host) {
    cr_assert(fleet.SetBehaviour(host, R"({"crash_on":"poison"})"));
  }
  const auto countLostServers = [&fleet] {
    int count = 0;
    for (auto& [host, backend] : fleet.backends) {
      count += backend.IsRunning() ? 0 : 1;
    }
    return count;
  };
  const auto isRefused = [&fleet](std::size_t aHost) {
    const auto answer = fleet.Call(aHost, "POST", "poison");
    return CallFleet::HeaderOf(answer, "Lacewingwharf-Reason") ==
             "quarantined" &&
           CallFleet::OutcomeOf(answer) == "not-run";
  };
  cr_assert(WaitUntil([&] { return isRefused(0); }));
  // A crashed process may take a moment to end.
  cr_assert(WaitUntil([&] { return countLostServers() == 2; }),
            "%d servers were lost",
            countLostServers());
  // Gossip takes a moment to reach the other daemons. Answers do not show when
  // a daemon knows the crash reports, because the destination may have refused.
  for (std::size_t host = 0; host < 5; ++host) {
    cr_assert(WaitUntil([&] {
      return fleet.Metrics(host).find(
               "\nlacewingwharf_quarantined_requests 1\n") != std::string::npos;
    }));
  }
  for (std::size_t host = 0; host < 5; ++host) {
    cr_assert(isRefused(host));
  }
  cr_assert_eq(
    countLostServers(), 2, "%d servers were lost", countLostServers());
  cr_assert(CallFleet::IsDone(fleet.Call(0, "POST", "harmless")));
}

// An answer that the backend server cuts off must not be forwarded as complete,
// and a non-idempotent call must not be repeated because of it.
Test(callfailures, CutAnswerLeavesTheCallUnknown, .timeout = 60)
{
  CallFleet fleet(3, 2);
  cr_assert(fleet.WaitUntilReady());
  cr_assert(fleet.SetBehaviour(1, R"({"cut_answers":1})"));
  const auto cut = fleet.Call(0, "POST", "body", "cut");
  cr_assert_eq(CallFleet::OutcomeOf(cut), "unknown");
  cr_assert_eq(CallFleet::HeaderOf(cut, "Lacewingwharf-Reason"), "cut-answer");
  cr_assert_eq(fleet.RunsOfKey("cut"), 1);
}

// The HTTP client must not repeat a POST on its own when a reused connection is
// closed after the server has read the request.
Test(callfailures, ClosedReusedConnectionDoesNotRepeatAPost, .timeout = 60)
{
  CallFleet fleet(4, 2);
  cr_assert(fleet.WaitUntilReady());
  cr_assert(fleet.SetBehaviour(1, R"({"close_reused":1})"));
  fleet.Call(0, "POST", "body", "reused");
  cr_assert_eq(fleet.RunsOfKey("reused"), 1);
}

// A key must not run twice when two daemons claim it at the same time, and a
// call that may have run must not be reported as not-run while the platform,
// and with it the claims, is unavailable.
Test(callfailures, SameKeyThroughTwoDaemonsRunsOnce, .timeout = 60)
{
  CallFleet fleet(5, 3);
  cr_assert(fleet.WaitUntilReady());
  for (int round = 0; round < 10; ++round) {
    const std::string key = fmt::format("key-{}", round);
    auto first = CallInBackground(fleet, 0, "POST", key);
    auto second = CallInBackground(fleet, 1, "POST", key);
    const std::string one = CallFleet::OutcomeOf(first.get());
    const std::string two = CallFleet::OutcomeOf(second.get());
    cr_assert((one == "done" && two == "unknown") ||
                (one == "unknown" && two == "done"),
              "%s %s",
              one.c_str(),
              two.c_str());
    cr_assert_eq(fleet.RunsOfKey(key), 1);
  }
  cr_assert(fleet.platform.Switch(R"({"down":true})"));
  const std::string repeated =
    CallFleet::OutcomeOf(fleet.Call(2, "POST", "body", "key-0"));
  cr_assert(repeated == "not-run" || repeated == "unknown");
  cr_assert_eq(fleet.RunsOfKey("key-0"), 1);
  cr_assert_eq(CallFleet::OutcomeOf(fleet.Call(0, "POST", "body", "fresh")),
               "not-run");
  cr_assert_eq(fleet.RunsOfKey("fresh"), 0);
  cr_assert(fleet.platform.Switch(R"({"down":false})"));
  cr_assert(WaitUntil(
    [&] { return CallFleet::IsDone(fleet.Call(0, "POST", "body", "fresh")); }));
  cr_assert_eq(fleet.RunsOfKey("fresh"), 1);
}

// When the destination daemon freezes, its sessions fall silent while the
// request still runs. The caller must get an answer, and the request must not
// be repeated.
Test(callfailures, FrozenDestinationLeavesTheCallUnknown, .timeout = 60)
{
  CallFleet fleet(6, 2, 1000);
  cr_assert(
    WaitUntil([&] { return CallFleet::IsDone(fleet.Call(0, "GET", "")); }));
  auto call = CallInBackground(fleet, 0, "POST", "frozen");
  cr_assert(WaitUntil([&] { return fleet.RunsOfKey("frozen") == 1; }));
  fleet.daemons.at(1).Freeze();
  cr_assert_eq(CallFleet::OutcomeOf(call.get()), "unknown");
  fleet.daemons.at(1).Thaw();
  cr_assert(WaitUntil(
    [&] { return CallFleet::IsDone(fleet.Call(0, "POST", "later")); }));
  cr_assert_eq(fleet.RunsOfKey("frozen"), 1);
}
