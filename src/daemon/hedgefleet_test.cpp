// Second attempts through real daemons and backend servers.

#include "daemon/callfleet.h"

#include <criterion/criterion.h>

#include <regex>
#include <string>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

/** Whether daemon 0 has counted such an event of the service. */
bool
HasEvent(const CallFleet& aFleet, const std::string& aEvent)
{
  const std::regex series(
    "\nlacewingwharf_second_attempts_total\\{[^}]*event=\"" + aEvent + "\"");
  return std::regex_search(aFleet.Metrics(0), series);
}

} // namespace

// The setting, the cancellation and the metric must work through processes: one
// of two servers becomes slow, and calls to it are answered by the other one.
Test(hedgefleet,
     calls_to_a_slow_server_are_answered_by_another_one,
     .timeout = 90)
{
  constexpr int kHistory = 60;
  constexpr int kMaxCalls = 400;
  CallFleet fleet(61, 3, 20, "[calls]\nhedgeshare = 0.2\n");
  cr_assert(fleet.WaitUntilReady());
  for (int call = 0; call < kHistory; ++call) {
    cr_assert(CallFleet::IsDone(fleet.Call(0, "GET", "")));
  }
  cr_assert(fleet.SetBehaviour(1, R"({"service_ms":3000})"));
  int calls = 0;
  while (!HasEvent(fleet, "won") && ++calls < kMaxCalls) {
    cr_assert(CallFleet::IsDone(fleet.Call(0, "GET", "")));
  }
  cr_expect_lt(calls, kMaxCalls);
  cr_expect(HasEvent(fleet, "started"));
  cr_expect(HasEvent(fleet, "first-cancelled"));
  // The slow server does not work on for the answered call.
  cr_expect(WaitUntil([&] { return fleet.RunningCalls(1) == 0; }));
}
