#include "testkit/fleet.h"
#include "testkit/fleetcaller.h"
#include "testkit/httprequest.h"
#include "testkit/versionwatch.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr int kBackendPort = 19000;
constexpr double kCallsPerSecond = 20;
constexpr double kCallBurst = 10;

std::string
ServiceOf(const std::string& aOwner)
{
  return fmt::format(
    R"({{"kind":"service","owner":"{}","class":"interactive"}})", aOwner);
}

/** Four daemons in two failure domains that serve one route. */
class ServingFleet : public Fleet
{
public:
  ServingFleet()
    : Fleet(Config())
  {
    this->StartAll();
    for (const std::size_t host : this->AllHosts()) {
      this->StartBackend(
        host, "work", kBackendPort, { "--slots", "16", "--service-ms", "5" });
    }
    cr_assert(this->Put("work", ServiceOf("first")));
    cr_assert(this->Put(
      "work-route",
      R"({"kind":"route","owner":"team","class":"interactive","service":"work",
"match":{"path":"/jobs","methods":["GET","POST"]},
"limits":{"deadline_ms":4000,"queue_ms":2000,"retries":1}})"));
    cr_assert(WaitUntil([this] {
      return std::ranges::all_of(this->AllHosts(), [this](std::size_t aHost) {
        return SendTestRequest("GET", this->CallUrl(aHost, "/jobs")).status ==
               200;
      });
    }));
    cr_assert(WaitUntil([this] { return this->AllAgree(this->AllHosts()); }));
  }

  static FleetConfig Config()
  {
    FleetConfig config;
    config.domains = { { "east", "north", 2 }, { "west", "south", 2 } };
    config.settings = "[distribution]\nstartwait = 1000\n";
    return config;
  }

  FleetCallerConfig Load(const std::string& aMethod) const
  {
    FleetCallerConfig config;
    for (const std::size_t host : this->AllHosts()) {
      config.urls.push_back(this->CallUrl(host, "/jobs/item"));
    }
    config.method = aMethod;
    return config;
  }

  std::int64_t Newest() const
  {
    std::int64_t newest = 0;
    for (const std::size_t host : this->AllHosts()) {
      newest = std::max(newest, this->Version(host));
    }
    return newest;
  }

  /** An edit and the wait until every daemon holds a version after aVersion. */
  bool EditGoesThrough(const std::string& aOwner, std::int64_t aVersion)
  {
    // The platform refuses the edit itself while it is throttled.
    return WaitUntil([&] { return this->Put("work", ServiceOf(aOwner)); }) &&
           WaitUntil(
             [&] { return this->AllHold(this->AllHosts(), aVersion + 1); },
             40000) &&
           WaitUntil([&] { return this->AllAgree(this->AllHosts()); });
  }

  /** Calls that the daemons sent to the platform, by their own count. */
  double SentCalls() const
  {
    double sent = 0;
    for (const std::size_t host : this->AllHosts()) {
      sent += this->Metric(host, "lacewingwharf_platform_calls");
    }
    return sent;
  }

  bool AllSayAge(Millis aAge) const
  {
    return std::ranges::all_of(this->AllHosts(), [&](std::size_t aHost) {
      const auto state = this->State(aHost);
      return state.is_object() && state.at("platformAgeMs").is_number() &&
             state.at("platformAgeMs").get<Millis>() >= aAge &&
             this->Metric(aHost, "lacewingwharf_platform_age_ms") >=
               static_cast<double>(aAge);
    });
  }
};

void
ExpectServed(const char* aLabel, const FleetCalls& aCalls)
{
  const std::string text = aCalls.Describe();
  fmt::print(stderr, "{}: {}\n", aLabel, text);
  cr_expect_gt(aCalls.done, 0U);
  cr_expect_eq(aCalls.Sent(), aCalls.done, "%s", text.c_str());
  cr_expect_eq(aCalls.failed, 0U, "%s", text.c_str());
}

void
ExpectNoStepBack(VersionWatch& aWatch)
{
  const auto steps = aWatch.Stop();
  cr_expect(steps.empty(), "%s", steps.empty() ? "" : steps.front().c_str());
}

} // namespace

// Guards against calls that depend on the platform, a state whose age nobody
// can see, edits that stay out after the outage, and a burst of calls to a
// platform that is down or has just returned.
Test(platformfleet, an_outage_stops_edits_and_nothing_else)
{
  ServingFleet fleet;
  VersionWatch watch(fleet);
  const std::int64_t before = fleet.Newest();
  FleetCaller gets(fleet.Load("GET"));
  FleetCaller posts(fleet.Load("POST"));
  const Clock clock = Clock::Steady();
  const Millis startedAt = clock.Now();
  const double sentBefore = fleet.SentCalls();
  cr_assert(fleet.Platform().Switch(R"({"down":true})"));
  cr_expect_not(fleet.Put("work", ServiceOf("during")));
  cr_expect(WaitUntil([&] { return fleet.AllSayAge(4000); }));
  cr_expect_eq(fleet.Newest(), before);
  cr_assert(fleet.Platform().Switch(R"({"down":false})"));
  cr_expect(fleet.EditGoesThrough("after", before));
  const double seconds = static_cast<double>(clock.Now() - startedAt) / 1000;
  const double sent = fleet.SentCalls() - sentBefore;
  fmt::print(stderr,
             "outage and return: {:.0f} platform calls of {} daemons in "
             "{:.1f} s\n",
             sent,
             fleet.Size(),
             seconds);
  cr_expect_leq(sent,
                static_cast<double>(fleet.Size()) *
                  (kCallBurst + kCallsPerSecond * seconds));
  ExpectServed("outage, GET", gets.Stop());
  ExpectServed("outage, POST", posts.Stop());
  ExpectNoStepBack(watch);
}

// Guards against a fleet that goes back to what an older or emptied store
// says, or that accepts no edit from then on.
Test(platformfleet, a_store_that_lost_its_state_takes_no_version_back)
{
  ServingFleet fleet;
  VersionWatch watch(fleet);
  FleetCaller gets(fleet.Load("GET"));
  cr_assert(fleet.Platform().Switch(R"({"save":"old"})"));
  const std::int64_t saved = fleet.Newest();
  cr_assert(fleet.EditGoesThrough("second", saved));
  cr_assert(fleet.EditGoesThrough("third", saved + 1));
  const std::int64_t held = fleet.Newest();
  cr_assert(fleet.Platform().Switch(R"({"restore":"old"})"));
  cr_expect(fleet.EditGoesThrough("restored", held));

  const std::int64_t beforeLoss = fleet.Newest();
  fleet.RestartPlatform();
  cr_expect(fleet.EditGoesThrough("emptied", beforeLoss));
  ExpectServed("store that lost its state, GET", gets.Stop());
  ExpectNoStepBack(watch);
}

// Guards against edits that are lost or accepted twice when the platform is
// slow, refuses most calls or takes a write whose answer is lost.
Test(platformfleet, edits_go_through_a_slow_throttled_or_lossy_platform)
{
  ServingFleet fleet;
  VersionWatch watch(fleet);
  const auto edit = [&fleet](const char* aSwitch, const char* aOwner) {
    const std::int64_t held = fleet.Newest();
    cr_assert(fleet.Platform().Switch(aSwitch));
    cr_expect(fleet.EditGoesThrough(aOwner, held), "%s", aSwitch);
    cr_expect_eq(fleet.Newest(), held + 1, "%s", aSwitch);
  };
  edit(R"({"slow_ms":400})", "slow");
  edit(R"({"slow_ms":0,"reads_per_s":6,"writes_per_s":3})", "throttled");
  edit(R"({"reads_per_s":2000,"writes_per_s":400})", "free");
  const std::int64_t held = fleet.Newest();
  // The answers to the operator's and to the acceptor's write are lost.
  cr_assert(fleet.Platform().Switch(R"({"drop_answer_after_write":2})"));
  cr_assert(fleet.Put("work", ServiceOf("lossy")));
  cr_expect(
    WaitUntil([&] { return fleet.AllHold(fleet.AllHosts(), held + 1); }));
  cr_expect_eq(fleet.Newest(), held + 1);
  ExpectNoStepBack(watch);
}
