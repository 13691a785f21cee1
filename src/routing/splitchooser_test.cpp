#include "routing/splitchooser.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>

using namespace lacewingwharf;

namespace {

Entry
Route(std::vector<ServiceShare> aSplit)
{
  Entry route;
  route.name = "route";
  route.kind = EntryKind::Route;
  route.service = "alone";
  route.split = std::move(aSplit);
  return route;
}

/**
 * Returns the largest share of service b among any 200 consecutive requests
 * that ran, where a runs only the fraction aRunFraction of the requests offered
 * to it.
 */
double
LargestShareOfOther(double aRunFraction, std::uint64_t aSeed)
{
  constexpr std::size_t kWindow = 200;
  constexpr int kRequests = 4000;
  const Entry route = Route({ { "a", 50 }, { "b", 50 } });
  SplitChooser chooser(SeededRandom(aSeed));
  const Random random = SeededRandom(aSeed + 1000);
  std::deque<std::string> window;
  double largest = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string service = chooser.ChooseService(route);
    if (service == "a" &&
        static_cast<double>(RandomBelow(random, 1000)) >= aRunFraction * 1000) {
      chooser.RecordRefusal(route, service);
      continue;
    }
    window.push_back(service);
    if (window.size() > kWindow) {
      window.pop_front();
      const auto others = std::ranges::count(window, "b");
      largest =
        std::max(largest, static_cast<double>(others) / double{ kWindow });
    }
  }
  return largest;
}

} // namespace

// While one service refuses requests for lack of capacity, the others must not
// get far more than their share. A site allows 0.2.
Test(splitchooser, shares_of_started_requests_hold_while_a_service_refuses)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    cr_expect_leq(LargestShareOfOther(0.35, seed), 0.7);
    cr_expect_leq(LargestShareOfOther(0.1, seed), 0.7);
    // With few refusals, b still gets at least its share.
    cr_expect_geq(LargestShareOfOther(0.9, seed), 0.5);
  }
}

// Shares have to hold over short periods, not only over long ones.
Test(splitchooser, shares_hold_over_any_hundred_requests)
{
  const Entry route = Route({ { "a", 70 }, { "b", 25 }, { "c", 5 } });
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SplitChooser chooser(SeededRandom(seed));
    for (int window = 0; window < 5; ++window) {
      std::map<std::string, int> counts;
      for (int i = 0; i < 100; ++i) {
        ++counts[chooser.ChooseService(route)];
      }
      cr_expect_leq(std::abs(counts["a"] - 70), 2);
      cr_expect_leq(std::abs(counts["b"] - 25), 2);
      cr_expect_leq(std::abs(counts["c"] - 5), 2);
    }
  }
}

// An operator sets a weight of 0 to keep all requests from a service.
Test(splitchooser, a_service_without_weight_gets_nothing)
{
  SplitChooser chooser(SeededRandom(1));
  const Entry route = Route({ { "off", 0 }, { "on", 100 }, { "none", 0 } });
  for (int i = 0; i < 50; ++i) {
    cr_expect_eq(chooser.ChooseService(route), "on");
  }
}

// Requests that were counted for an earlier split must not count in the new
// one.
Test(splitchooser, a_changed_split_takes_effect_at_once)
{
  SplitChooser chooser(SeededRandom(1));
  chooser.ChooseService(Route({ { "a", 100 }, { "b", 1 } }));
  const Entry moved = Route({ { "a", 0 }, { "b", 1 } });
  cr_expect_eq(chooser.ChooseService(moved), "b");
  cr_expect_eq(chooser.ChooseService(Route({})), "alone");
}
