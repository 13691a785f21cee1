#include "routing/chooserharness.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

const std::set<EndpointKey> kNoneTried;

struct Fixture
{
  std::string ChooseHost()
  {
    return this->chooser.Choose(kService, kNoneTried)->endpoint.host;
  }

  /**
   * Sends calls one at a time, each to the chosen host. Returns the number of
   * calls by host.
   */
  std::map<std::string, int> Run(
    int aCalls,
    const std::function<Observation(const std::string&)>& aAnswer)
  {
    std::map<std::string, int> chosen;
    for (int call = 0; call < aCalls; ++call) {
      const std::string host = this->ChooseHost();
      ++chosen[host];
      this->chooser.RecordAttemptStart(KeyOf(host));
      this->clock.Advance(1);
      this->chooser.RecordAttemptEnd(KeyOf(host), aAnswer(host));
    }
    return chosen;
  }

  void Fail(const std::string& aHost, CallEnd aEnd, int aTimes)
  {
    for (int time = 0; time < aTimes; ++time) {
      this->chooser.RecordAttemptStart(KeyOf(aHost));
      this->chooser.RecordAttemptEnd(KeyOf(aHost), ObservationOf(aEnd));
    }
  }

  ManualClock clock{ 1000 };
  ServerChooser chooser{ clock.View(), SeededRandom(11) };
};

} // namespace

// A retry must not go back to an endpoint that was tried, and the chooser has
// to report when none is left.
Test(serverchooser, TriedEndpointsAreNotChosenAgain)
{
  Fixture fixture;
  cr_assert_not(fixture.chooser.Choose(kService, kNoneTried).has_value());
  fixture.chooser.SetView(
    ViewBuilder().Add("a").Add("b").Add("c", Distance::OtherRegion).Build());
  fixture.Fail("a", CallEnd::Lost, 1);
  std::set<EndpointKey> tried;
  for (int attempt = 0; attempt < 3; ++attempt) {
    const auto choice = fixture.chooser.Choose(kService, tried);
    cr_assert(choice.has_value());
    cr_assert(tried.insert(KeyOf(choice->endpoint.host)).second);
  }
  cr_assert_not(fixture.chooser.Choose(kService, tried).has_value());
  cr_assert_not(fixture.chooser.Choose("unknown", kNoneTried).has_value());
}

// An endpoint that fails every call is ejected. The ejection has to end, and
// the next one lasts longer.
Test(serverchooser, FailingEndpointIsEjectedForTwoThenFourSeconds)
{
  Fixture fixture;
  fixture.chooser.SetView(ViewBuilder().Add("a").Add("b").Build());
  const auto isUsed = [&fixture](const std::string& aHost) {
    bool used = false;
    for (int call = 0; call < 50; ++call) {
      used = used || fixture.ChooseHost() == aHost;
    }
    return used;
  };
  fixture.Fail("a", CallEnd::Failed, 4);
  cr_assert(isUsed("a"));
  fixture.Fail("a", CallEnd::Failed, 1);
  cr_assert_not(isUsed("a"));
  fixture.clock.Advance(1999);
  cr_assert_not(isUsed("a"));
  fixture.clock.Advance(1);
  cr_assert(isUsed("a"));
  fixture.Fail("a", CallEnd::Lost, 1);
  fixture.clock.Advance(3999);
  cr_assert_not(isUsed("a"));
  fixture.clock.Advance(1);
  cr_assert(isUsed("a"));
}

// An endpoint that fails most calls, but never five in a row, has to be ejected
// as well.
Test(serverchooser, ErrorRatioAboveOneHalfEjects)
{
  Fixture fixture;
  fixture.chooser.SetView(ViewBuilder().Add("a").Add("b").Build());
  for (int round = 0; round < 4; ++round) {
    fixture.Fail("a", CallEnd::Failed, 2);
    fixture.Fail("a", CallEnd::Succeeded, 1);
  }
  cr_assert_eq(fixture.Run(50,
                           [](const std::string&) {
                             return ObservationOf(CallEnd::Succeeded);
                           })["a"],
               0);
}

// Most endpoints can seem to fail because of a fault near this daemon. Ejecting
// them all would send every call to the few endpoints that are left.
Test(serverchooser, AtMostHalfOfTheEndpointsAreEjected)
{
  for (const int count : { 2, 3, 4, 5, 23 }) {
    Fixture fixture;
    fixture.chooser.SetView(
      ViewBuilder().AddMany(count, "host", Distance::SameDomain).Build());
    for (int index = 1; index < count; ++index) {
      fixture.Fail("host" + std::to_string(index), CallEnd::Lost, 3);
    }
    std::map<std::string, int> chosen;
    for (int call = 0; call < 2000; ++call) {
      ++chosen[fixture.ChooseHost()];
    }
    cr_assert_eq(static_cast<int>(chosen.size()), count - count / 2);
  }
}

// At most half of the endpoints may be ejected. The endpoints of an unreachable
// region must not use up this cap, or a failing one nearby would stay in use.
Test(serverchooser, FarEndpointsDoNotUseUpTheEjectionCap)
{
  Fixture fixture;
  fixture.chooser.SetView(ViewBuilder()
                            .AddMany(4, "far", Distance::OtherRegion)
                            .AddMany(4, "near", Distance::SameDomain)
                            .Build());
  for (int index = 0; index < 4; ++index) {
    fixture.Fail("far" + std::to_string(index), CallEnd::Lost, 3);
  }
  fixture.Fail("near0", CallEnd::Lost, 1);
  cr_assert_eq(fixture.Run(100,
                           [](const std::string&) {
                             return ObservationOf(CallEnd::Succeeded);
                           })["near0"],
               0);
}

// A slow server must not keep its share of the calls.
Test(serverchooser, SlowServerGetsFewCalls)
{
  Fixture fixture;
  fixture.chooser.SetView(
    ViewBuilder().AddMany(4, "host", Distance::SameDomain).Build());
  const auto chosen = fixture.Run(1000, [](const std::string& aHost) {
    return ObservationOf(CallEnd::Succeeded, aHost == "host0" ? 100 : 5);
  });
  cr_assert_leq(chosen.at("host0"), 20);
}

// A slow server can falsely report that it has no load. Its report must not
// outweigh the latency that this daemon measured.
Test(serverchooser, FalseLoadReportDoesNotAttractCalls)
{
  Fixture fixture;
  fixture.chooser.SetView(
    ViewBuilder().AddMany(4, "host", Distance::SameDomain).Build());
  const auto chosen = fixture.Run(1000, [](const std::string& aHost) {
    auto observation =
      ObservationOf(CallEnd::Succeeded, aHost == "host0" ? 20 : 5);
    observation.running = aHost == "host0" ? 0 : 6;
    observation.waiting = aHost == "host0" ? 0 : 24;
    observation.slots = 6;
    return observation;
  });
  cr_assert_leq(chosen.at("host0"), 50);
}

// Of two servers with equal latency, the one that reports less load gets more
// calls.
Test(serverchooser, ReportedLoadDecidesAtEqualLatency)
{
  Fixture fixture;
  fixture.chooser.SetView(ViewBuilder().Add("busy").Add("idle").Build());
  const auto answer = [](const std::string& aHost) {
    auto observation = ObservationOf(CallEnd::Succeeded, 5);
    observation.running = aHost == "busy" ? 6 : 1;
    observation.waiting = 0;
    observation.slots = 6;
    return observation;
  };
  auto chosen = fixture.Run(200, answer);
  cr_assert_gt(chosen["idle"], 4 * chosen["busy"]);
}

// A new server must not get its full share of calls while its caches are cold.
Test(serverchooser, NewEndpointStartsSlowly)
{
  Fixture fixture;
  const auto answer = [](const std::string&) {
    return ObservationOf(CallEnd::Succeeded);
  };
  fixture.chooser.SetView(ViewBuilder().Add("a").Add("b").Add("c").Build());
  fixture.Run(100, answer);
  fixture.chooser.SetView(
    ViewBuilder().Add("a").Add("b").Add("c").Add("new").Build());
  const int early = fixture.Run(500, answer)["new"];
  fixture.clock.Advance(5000);
  const int later = fixture.Run(500, answer)["new"];
  cr_assert_leq(early, 25);
  cr_assert_geq(later, 75);
}

// Calls must not cross the region link while nearer endpoints have free slots.
// When those are full, calls go further away, and they return once slots are
// free again.
Test(serverchooser, FullDomainSpillsOverAndRecovers)
{
  Fixture fixture;
  fixture.chooser.SetView(ViewBuilder()
                            .AddMany(2, "near", Distance::SameDomain)
                            .AddMany(2, "next", Distance::SameRegion)
                            .AddMany(2, "far", Distance::OtherRegion)
                            .Build());
  const auto countNear = [](const auto& aChosen) {
    int near = 0;
    for (const auto& [host, calls] : aChosen) {
      near += host.starts_with("near") ? calls : 0;
    }
    return near;
  };
  const auto succeed = [](const std::string&) {
    return ObservationOf(CallEnd::Succeeded);
  };
  cr_assert_eq(countNear(fixture.Run(500, succeed)), 500);
  const auto full = fixture.Run(1000, [](const std::string& aHost) {
    return aHost.starts_with("near") ? RefusalByFullServer()
                                     : ObservationOf(CallEnd::Succeeded);
  });
  cr_assert_leq(countNear(full), 200);
  cr_assert_eq(full.count("far0") + full.count("far1"), 0U);
  fixture.clock.Advance(20000);
  cr_assert_eq(countNear(fixture.Run(500, succeed)), 500);
}

// A refusal by the limit of one entry must not divert calls from a domain whose
// servers have free slots.
Test(serverchooser, RefusalsByLimitsDoNotMoveCallsAway)
{
  Fixture fixture;
  fixture.chooser.SetView(
    ViewBuilder().Add("near").Add("far", Distance::OtherRegion).Build());
  auto refused = RefusalByFullServer();
  refused.running = 1;
  const auto chosen =
    fixture.Run(200, [&](const std::string&) { return refused; });
  cr_assert_eq(chosen.at("near"), 200);
}

// An endpoint of a suspect daemon is used only when there is no other one.
Test(serverchooser, SuspectsAreTheLastChoice)
{
  ManualClock clock(1000);
  ServerChooser chooser(clock.View(), SeededRandom(1));
  auto view = std::make_shared<EndpointView>(
    *ViewBuilder().AddMany(2, "h", Distance::SameDomain).Build());
  view->services[kService].endpoints[0].isSuspect = true;
  chooser.SetView(view);
  for (int call = 0; call < 50; ++call) {
    cr_expect_eq(chooser.Choose(kService, {})->endpoint.host, "h1");
  }
  cr_expect_eq(chooser.Choose(kService, { KeyOf("h1") })->endpoint.host, "h0");
}
