#include "testkit/fleet.h"
#include "testkit/httprequest.h"
#include "testkit/versionwatch.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

using Hosts = std::vector<std::size_t>;

// Limits for one daemon, from the default settings and the target scale of the
// design.
constexpr double kPlatformCallsPerSecond = 20;
constexpr double kPlatformCallBurst = 10;
constexpr double kControlBytesPerSecond = 12000;
constexpr double kControlBytesAtStart = 131072;

constexpr const char* kCallKinds[] = { "get",
                                       "put",
                                       "delete",
                                       "list",
                                       "watch" };

FleetConfig
FourDomains()
{
  FleetConfig config;
  config.domains = { { "a", "north", 3 },
                     { "b", "north", 3 },
                     { "c", "south", 3 },
                     { "d", "south", 3 } };
  config.settings = "[distribution]\nstartwait = 1000\n";
  return config;
}

std::string
ServiceText(const std::string& aOwner)
{
  return fmt::format(
    R"({{"kind":"service","owner":"{}","class":"interactive"}})", aOwner);
}

/** Returns the newest version that any daemon holds. */
std::int64_t
NewestVersion(const Fleet& aFleet)
{
  std::int64_t newest = 0;
  for (const std::size_t host : aFleet.AllHosts()) {
    newest = std::max(newest, aFleet.Version(host));
  }
  return newest;
}

bool
PutService(Fleet& aFleet, const std::string& aOwner)
{
  return aFleet.Put("work", ServiceText(aOwner));
}

void
StartAndConverge(Fleet& aFleet)
{
  aFleet.StartAll();
  cr_assert(PutService(aFleet, "first"));
  cr_assert(
    WaitUntil([&] { return aFleet.AllHaveVersion(aFleet.AllHosts(), 1); }));
  cr_assert(WaitUntil([&] { return aFleet.HaveConverged(aFleet.AllHosts()); }));
}

void
ExpectConvergence(Fleet& aFleet, std::int64_t aVersion)
{
  cr_expect(WaitUntil(
    [&] { return aFleet.AllHaveVersion(aFleet.AllHosts(), aVersion); }));
  cr_expect(WaitUntil([&] { return aFleet.HaveConverged(aFleet.AllHosts()); }));
}

/** Measures platform calls and control traffic from its construction on. */
class RecoveryCost
{
public:
  explicit RecoveryCost(const Fleet& aFleet)
    : fleet(aFleet)
    , startedAt(this->clock.Now())
    , calls(this->Calls())
    , bytes(this->Bytes())
  {
  }

  void PrintAndCheck(const char* aLabel)
  {
    const double seconds =
      static_cast<double>(this->clock.Now() - this->startedAt) / 1000;
    double total = 0;
    std::string byKind;
    const auto present = this->Calls();
    for (std::size_t i = 0; i < present.size(); ++i) {
      total += present[i] - this->calls[i];
      byKind +=
        fmt::format(" {} {}", kCallKinds[i], present[i] - this->calls[i]);
    }
    double sent = 0;
    const auto bytesNow = this->Bytes();
    for (std::size_t i = 0; i < bytesNow.size(); ++i) {
      // A restarted daemon counts from zero.
      sent += bytesNow[i] < this->bytes[i] ? bytesNow[i]
                                           : bytesNow[i] - this->bytes[i];
    }
    const auto daemons = static_cast<double>(this->fleet.Size());
    fmt::print(stderr,
               "{}: {:.1f} s; platform calls{}; control bytes sent {:.0f}, "
               "{:.0f} per daemon and second\n",
               aLabel,
               seconds,
               byKind,
               sent,
               sent / daemons / seconds);
    cr_expect_leq(total,
                  daemons *
                    (kPlatformCallBurst + kPlatformCallsPerSecond * seconds));
    cr_expect_leq(sent,
                  daemons *
                    (kControlBytesAtStart + kControlBytesPerSecond * seconds));
  }

private:
  std::vector<int> Calls() const
  {
    std::vector<int> counts;
    std::ranges::transform(
      kCallKinds, std::back_inserter(counts), [this](const char* aKind) {
        return const_cast<Fleet&>(this->fleet).Platform().Calls(aKind);
      });
    return counts;
  }

  std::vector<double> Bytes() const
  {
    std::vector<double> bytesSent;
    for (const std::size_t host : this->fleet.AllHosts()) {
      bytesSent.push_back(
        this->fleet.Metric(host, "lacewingwharf_control_bytes_sent"));
    }
    return bytesSent;
  }

  const Fleet& fleet;
  Clock clock = Clock::Steady();
  Millis startedAt;
  std::vector<int> calls;
  std::vector<double> bytes;
};

void
ExpectNoVersionRollback(VersionWatch& aWatch)
{
  const auto rollbacks = aWatch.Stop();
  cr_expect(rollbacks.empty(),
            "%s",
            rollbacks.empty() ? "" : rollbacks.front().c_str());
  cr_expect_gt(aWatch.ReadCount(), 0U);
}

/** Returns whether no other member of the domain lists the host as alive. */
bool
IsDeadForPeers(const Fleet& aFleet, std::size_t aHost)
{
  return std::ranges::none_of(aFleet.AllHosts(), [&](std::size_t aOther) {
    if (aOther == aHost || aFleet.Domain(aOther) != aFleet.Domain(aHost)) {
      return false;
    }
    const auto members = aFleet.Members(aOther);
    return std::ranges::any_of(members, [&](const auto& aRow) {
      return aRow.value("host", "") == aFleet.HostName(aHost) &&
             aRow.value("state", "") == "alive";
    });
  });
}

} // namespace

// A quarter and then all of the daemons are killed and restarted at the same
// time. Members and versions must become the same everywhere, no version may go
// back, and the restarts must not cause a burst of platform calls.
Test(stormfleet, many_daemons_fail_at_once_and_return)
{
  Fleet fleet(FourDomains());
  StartAndConverge(fleet);
  VersionWatch watch(fleet);
  const std::int64_t before = NewestVersion(fleet);
  const Hosts quarter{ 0, 3, 6 };
  for (const std::size_t host : quarter) {
    fleet.Daemon(host).Kill();
  }
  cr_assert(PutService(fleet, "second"));
  RecoveryCost quarterCost(fleet);
  std::ranges::for_each(quarter,
                        [&](std::size_t aHost) { fleet.Start(aHost); });
  ExpectConvergence(fleet, before + 1);
  quarterCost.PrintAndCheck("a quarter restarted");

  for (const std::size_t host : fleet.AllHosts()) {
    fleet.Daemon(host).Kill();
  }
  RecoveryCost allCost(fleet);
  fleet.StartAll();
  ExpectConvergence(fleet, before + 1);
  allCost.PrintAndCheck("all restarted");
  cr_assert(PutService(fleet, "third"));
  ExpectConvergence(fleet, before + 2);
  ExpectNoVersionRollback(watch);
}

// A daemon is paused for longer than the suspicion time, then the acceptor. A
// resumed daemon must rejoin and catch up, and the resumed acceptor must not
// produce a second version with the same number.
Test(stormfleet, frozen_daemons_catch_up_when_they_resume)
{
  Fleet fleet(FourDomains());
  StartAndConverge(fleet);
  VersionWatch watch(fleet);
  const std::int64_t before = NewestVersion(fleet);
  fleet.Daemon(4).Freeze();
  cr_expect(WaitUntil([&] { return IsDeadForPeers(fleet, 4); }));
  cr_assert(PutService(fleet, "second"));
  fleet.Daemon(4).Thaw();
  ExpectConvergence(fleet, before + 1);

  const Hosts all = fleet.AllHosts();
  const auto acceptor = std::ranges::find_if(all, [&](std::size_t aHost) {
    const auto state = fleet.State(aHost);
    return state.is_object() && state.value("acceptor", false);
  });
  cr_assert(acceptor != all.end());
  fleet.Daemon(*acceptor).Freeze();
  cr_assert(PutService(fleet, "third"));
  Hosts others = all;
  std::erase(others, *acceptor);
  cr_expect(
    WaitUntil([&] { return fleet.AllHaveVersion(others, before + 2); }));
  RecoveryCost cost(fleet);
  fleet.Daemon(*acceptor).Thaw();
  ExpectConvergence(fleet, before + 2);
  cost.PrintAndCheck("acceptor resumed");
  cr_expect_eq(NewestVersion(fleet), before + 2);
  ExpectNoVersionRollback(watch);
}

// A failure domain that is cut off must continue to serve its own callers. When
// the link is back, members and versions must become the same everywhere.
Test(stormfleet, a_failure_domain_serves_while_it_is_cut_off)
{
  constexpr int kBackendPort = 19000;
  FleetConfig config = FourDomains();
  config.linkedDomain = "d";
  Fleet fleet(std::move(config));
  StartAndConverge(fleet);
  cr_assert(fleet.Put(
    "work-route",
    R"({"kind":"route","owner":"team","class":"interactive","service":"work",
"match":{"path":"/jobs","methods":["GET"]},"limits":{"deadline_ms":2000}})"));
  fleet.StartBackend(9, "work", kBackendPort);
  const auto isServed = [&](std::size_t aHost) {
    return SendTestRequest("GET", fleet.CallUrl(aHost, "/jobs"), {}, {}, 3000)
             .status == 200;
  };
  cr_assert(WaitUntil([&] { return isServed(0) && isServed(11); }));
  cr_assert(WaitUntil([&] { return fleet.HaveConverged(fleet.AllHosts()); }));
  VersionWatch watch(fleet);
  const std::int64_t before = NewestVersion(fleet);
  cr_assert(fleet.SetLinkCut(true));
  cr_assert(PutService(fleet, "second"));
  const Hosts outside{ 0, 1, 2, 3, 4, 5, 6, 7, 8 };
  cr_expect(
    WaitUntil([&] { return fleet.AllHaveVersion(outside, before + 1); }));
  // Longer than the suspicion time and the time limit of silent sessions.
  PauseFor(4000);
  for (const std::size_t host : Hosts{ 9, 10, 11 }) {
    cr_expect_eq(fleet.Version(host), before);
    cr_expect(isServed(host), "host %zu does not serve while cut off", host);
  }
  RecoveryCost cost(fleet);
  cr_assert(fleet.SetLinkCut(false));
  ExpectConvergence(fleet, before + 1);
  cost.PrintAndCheck("link restored");
  cr_expect(WaitUntil([&] { return isServed(0); }));
  cr_assert(PutService(fleet, "third"));
  ExpectConvergence(fleet, before + 2);
  ExpectNoVersionRollback(watch);
}
