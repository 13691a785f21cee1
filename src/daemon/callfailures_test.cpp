#include "daemon/callfleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <future>
#include <vector>

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

// Guards against a repeat of a request that ran at a daemon that was killed,
// and against not-run for it.
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

// Guards against one request that takes down all backend servers in turn.
Test(callfailures, CrashingRequestIsRefusedAfterTwoLostServers, .timeout = 90)
{
  CallFleet fleet(2, 5);
  cr_assert(fleet.IsReady());
  for (std::size_t host = 1; host < 5; ++host) {
    cr_assert(fleet.Behave(host, R"({"crash_on":"poison"})"));
  }
  const auto lost = [&fleet] {
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
  // A process that crashed may still be ending.
  cr_assert(
    WaitUntil([&] { return lost() == 2; }), "%d servers were lost", lost());
  // Gossip takes a moment to the other daemons; until then the request must not
  // find a server that it crashes.
  const auto arm = [&fleet](const std::string& aText) {
    for (auto& [host, backend] : fleet.backends) {
      cr_assert(!backend.IsRunning() ||
                fleet.Behave(host, R"({"crash_on":")" + aText + R"("})"));
    }
  };
  arm("");
  for (std::size_t host = 0; host < 5; ++host) {
    // Either destination may have refused it; the daemon itself always does.
    cr_assert(WaitUntil([&] {
      const std::vector<std::size_t> again(20, host);
      return std::ranges::all_of(again, isRefused);
    }));
  }
  arm("poison");
  for (std::size_t host = 0; host < 5; ++host) {
    cr_assert(isRefused(host));
  }
  cr_assert_eq(lost(), 2, "%d servers were lost", lost());
  cr_assert(CallFleet::IsDone(fleet.Call(0, "POST", "harmless")));
}

// Guards against half an answer that is passed on as whole, and a repeat of a
// non-idempotent call whose answer was cut.
Test(callfailures, CutAnswerIsUnknownOrRepeated, .timeout = 60)
{
  CallFleet fleet(3, 2);
  cr_assert(fleet.IsReady());
  cr_assert(fleet.Behave(1, R"({"cut_answers":1})"));
  const auto cut = fleet.Call(0, "POST", "body", "cut");
  cr_assert_eq(CallFleet::OutcomeOf(cut), "unknown");
  cr_assert_eq(CallFleet::HeaderOf(cut, "Lacewingwharf-Reason"), "cut-answer");
  cr_assert_eq(fleet.RunsOfKey("cut"), 1);
}

// Guards against the HTTP client repeating a POST by itself when a connection
// it reuses is closed after the request was read.
Test(callfailures, ClosedReusedConnectionDoesNotRepeatAPost, .timeout = 60)
{
  CallFleet fleet(4, 2);
  cr_assert(fleet.IsReady());
  cr_assert(fleet.Behave(1, R"({"close_reused":1})"));
  fleet.Call(0, "POST", "body", "reused");
  cr_assert_eq(fleet.RunsOfKey("reused"), 1);
}

// Guards against a key that runs twice because two daemons claim it at once,
// and against an untrue not-run while claims cannot be made.
Test(callfailures, SameKeyThroughTwoDaemonsRunsOnce, .timeout = 60)
{
  CallFleet fleet(5, 3);
  cr_assert(fleet.IsReady());
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

// Guards against a caller that waits for a daemon whose sessions are silent,
// and a repeat of its request, which runs on.
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
