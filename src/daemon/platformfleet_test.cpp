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
constexpr double kPlatformCallsPerSecond = 20;
constexpr double kPlatformCallBurst = 10;

std::string
ServiceText(const std::string& aOwner)
{
  return fmt::format(
    R"({{"kind":"service","owner":"{}","class":"interactive"}})", aOwner);
}

/** A fleet of four daemons in two failure domains that serves one route. */
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
    cr_assert(this->Put("work", ServiceText("first")));
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
    cr_assert(
      WaitUntil([this] { return this->HaveConverged(this->AllHosts()); }));
  }

  static FleetConfig Config()
  {
    FleetConfig config;
    config.domains = { { "east", "north", 2 }, { "west", "south", 2 } };
    config.settings = "[distribution]\nstartwait = 1000\n";
    return config;
  }

  FleetCallerConfig MakeLoad(const std::string& aMethod) const
  {
    FleetCallerConfig config;
    for (const std::size_t host : this->AllHosts()) {
      config.urls.push_back(this->CallUrl(host, "/jobs/item"));
    }
    config.method = aMethod;
    return config;
  }

  std::int64_t NewestVersion() const
  {
    std::int64_t newest = 0;
    for (const std::size_t host : this->AllHosts()) {
      newest = std::max(newest, this->Version(host));
    }
    return newest;
  }

  /**
   * Edits an entry and waits until all daemons hold a version after aVersion
   * and have converged.
   */
  bool PutAndAwaitVersion(const std::string& aOwner, std::int64_t aVersion)
  {
    // A throttled platform may refuse the edit, which is then repeated.
    return WaitUntil([&] { return this->Put("work", ServiceText(aOwner)); }) &&
           WaitUntil(
             [&] {
               return this->AllHaveVersion(this->AllHosts(), aVersion + 1);
             },
             40000) &&
           WaitUntil([&] { return this->HaveConverged(this->AllHosts()); });
  }

  /** Returns the number of platform calls that the daemons have counted. */
  double PlatformCallsSent() const
  {
    double sent = 0;
    for (const std::size_t host : this->AllHosts()) {
      sent += this->Metric(host, "lacewingwharf_platform_calls");
    }
    return sent;
  }

  bool AllReportPlatformAge(Millis aAge) const
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
ExpectAllDone(const char* aLabel, const FleetCalls& aCalls)
{
  const std::string text = aCalls.Describe();
  fmt::print(stderr, "{}: {}\n", aLabel, text);
  cr_expect_gt(aCalls.done, 0U);
  cr_expect_eq(aCalls.Sent(), aCalls.done, "%s", text.c_str());
  cr_expect_eq(aCalls.failed, 0U, "%s", text.c_str());
}

void
ExpectNoVersionRollback(VersionWatch& aWatch)
{
  const auto rollbacks = aWatch.Stop();
  cr_expect(rollbacks.empty(),
            "%s",
            rollbacks.empty() ? "" : rollbacks.front().c_str());
}

} // namespace

// While the platform is down, calls must be served and the daemons must report
// the age of their state. After it, edits must come into force. Neither the
// outage nor its end may cause a burst of platform calls.
Test(platformfleet, an_outage_stops_edits_and_nothing_else)
{
  ServingFleet fleet;
  VersionWatch watch(fleet);
  const std::int64_t before = fleet.NewestVersion();
  FleetCaller gets(fleet.MakeLoad("GET"));
  FleetCaller posts(fleet.MakeLoad("POST"));
  const Clock clock = Clock::Steady();
  const Millis startedAt = clock.Now();
  const double sentBefore = fleet.PlatformCallsSent();
  cr_assert(fleet.Platform().Switch(R"({"down":true})"));
  cr_expect_not(fleet.Put("work", ServiceText("during")));
  cr_expect(WaitUntil([&] { return fleet.AllReportPlatformAge(4000); }));
  cr_expect_eq(fleet.NewestVersion(), before);
  cr_assert(fleet.Platform().Switch(R"({"down":false})"));
  cr_expect(fleet.PutAndAwaitVersion("after", before));
  const double seconds = static_cast<double>(clock.Now() - startedAt) / 1000;
  const double sent = fleet.PlatformCallsSent() - sentBefore;
  fmt::print(stderr,
             "outage and return: {:.0f} platform calls of {} daemons in "
             "{:.1f} s\n",
             sent,
             fleet.Size(),
             seconds);
  cr_expect_leq(sent,
                static_cast<double>(fleet.Size()) *
                  (kPlatformCallBurst + kPlatformCallsPerSecond * seconds));
  ExpectAllDone("outage, GET", gets.Stop());
  ExpectAllDone("outage, POST", posts.Stop());
  ExpectNoVersionRollback(watch);
}

// When the store is restored to an older state or emptied, the fleet must not
// go back to an older version and must still accept edits.
Test(platformfleet, no_version_goes_back_when_the_store_loses_its_state)
{
  ServingFleet fleet;
  VersionWatch watch(fleet);
  FleetCaller gets(fleet.MakeLoad("GET"));
  cr_assert(fleet.Platform().Switch(R"({"save":"old"})"));
  const std::int64_t saved = fleet.NewestVersion();
  cr_assert(fleet.PutAndAwaitVersion("second", saved));
  cr_assert(fleet.PutAndAwaitVersion("third", saved + 1));
  const std::int64_t held = fleet.NewestVersion();
  cr_assert(fleet.Platform().Switch(R"({"restore":"old"})"));
  cr_expect(fleet.PutAndAwaitVersion("restored", held));

  const std::int64_t beforeLoss = fleet.NewestVersion();
  fleet.RestartPlatform();
  cr_expect(fleet.PutAndAwaitVersion("emptied", beforeLoss));
  ExpectAllDone("store that lost its state, GET", gets.Stop());
  ExpectNoVersionRollback(watch);
}

// An edit must be accepted exactly once when the platform is slow, refuses most
// calls or executes a write whose answer is lost.
Test(platformfleet, edits_go_through_a_slow_throttled_or_lossy_platform)
{
  ServingFleet fleet;
  VersionWatch watch(fleet);
  const auto edit = [&fleet](const char* aSwitch, const char* aOwner) {
    const std::int64_t held = fleet.NewestVersion();
    cr_assert(fleet.Platform().Switch(aSwitch));
    cr_expect(fleet.PutAndAwaitVersion(aOwner, held), "%s", aSwitch);
    cr_expect_eq(fleet.NewestVersion(), held + 1, "%s", aSwitch);
  };
  edit(R"({"slow_ms":400})", "slow");
  edit(R"({"slow_ms":0,"reads_per_s":6,"writes_per_s":3})", "throttled");
  edit(R"({"reads_per_s":2000,"writes_per_s":400})", "free");
  const std::int64_t held = fleet.NewestVersion();
  // Drops the answers to the operator's write and to the acceptor's write.
  cr_assert(fleet.Platform().Switch(R"({"drop_answer_after_write":2})"));
  cr_assert(fleet.Put("work", ServiceText("lossy")));
  cr_expect(WaitUntil(
    [&] { return fleet.AllHaveVersion(fleet.AllHosts(), held + 1); }));
  cr_expect_eq(fleet.NewestVersion(), held + 1);
  ExpectNoVersionRollback(watch);
}
