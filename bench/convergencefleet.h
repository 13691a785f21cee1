#pragma once

#include "convergencelogs.h"
#include "convergenceplatform.h"
#include "convergenceregionlink.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <ranges>
#include <string>
#include <vector>

namespace lacewingwharf::bench {

/** Totals of the whole fleet since its start. */
struct FleetUsage
{
  double sentBytes = 0;
  double receivedBytes = 0;
  double regionLinkBytes = 0;
  PlatformUsage platform;
  BenchClock::time_point at;
};

/** Runs daemons on loopback addresses and reads their logs and metrics. */
class DaemonFleet
{
public:
  DaemonFleet(const ConvergenceOptions& aOptions, PlatformTestbed& aPlatform)
    : options(aOptions)
    , platformTestbed(aPlatform)
    , directory(std::filesystem::temp_directory_path() /
                fmt::format("lww-convergence-{}", getpid()))
    , daemons(static_cast<std::size_t>(aOptions.daemons))
    , logs(this->daemons.size(), aOptions.logDirectory)
    , regionLink(&DaemonFleet::RegionOf)
  {
    std::filesystem::create_directories(this->directory);
    for (std::size_t daemon = 0; daemon < this->daemons.size(); ++daemon) {
      this->WriteSettings(daemon);
    }
  }
  ~DaemonFleet()
  {
    this->daemons.clear();
    std::filesystem::remove_all(this->directory);
  }

  DaemonFleet(const DaemonFleet&) = delete;
  DaemonFleet& operator=(const DaemonFleet&) = delete;

  std::size_t Size() const { return this->daemons.size(); }

  /**
   * Daemons are assigned to the domains in turn; daemon 0 is in the first one.
   * The third number of an address is the domain.
   */
  static std::string AddressOf(std::size_t aDaemon)
  {
    return fmt::format(
      "127.84.{}.{}", aDaemon % kDomains + 1, aDaemon / kDomains + 1);
  }

  static std::string AdminUrl(std::size_t aDaemon, const std::string& aPath)
  {
    return fmt::format("http://{}:{}{}", AddressOf(aDaemon), kAdminPort, aPath);
  }

  void Start(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    daemon.process = BenchProcess("lacewingwharfd",
                                  { "--config", this->SettingsPath(aDaemon) });
    this->logs.Open(aDaemon, daemon.process.LogDescriptor());
  }

  void StartAll()
  {
    constexpr std::chrono::milliseconds kStartInterval(10);
    for (std::size_t daemon = 0; daemon < this->Size(); ++daemon) {
      this->Start(daemon);
      std::this_thread::sleep_for(kStartInterval);
    }
  }

  /**
   * Reads the byte counts of a daemon one last time, if it still answers, and
   * kills it. The counts remain part of the totals.
   */
  void Kill(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    this->ReadMetrics(aDaemon);
    daemon.sentBeforeKill += daemon.sent;
    daemon.receivedBeforeKill += daemon.received;
    daemon.sent = 0;
    daemon.received = 0;
    daemon.process.Kill();
    this->logs.Close(aDaemon);
  }

  bool IsRunning(std::size_t aDaemon) const
  {
    return this->daemons[aDaemon].process.IsRunning();
  }

  LogReader& Logs() { return this->logs; }

  std::int64_t NewestVersion() const
  {
    return std::ranges::max(this->logs.States(), {}, &LogReader::State::version)
      .version;
  }

  /**
   * Waits until all running daemons have the expected version; returns false
   * after aTimeout.
   */
  bool WaitForAll(std::chrono::seconds aTimeout)
  {
    constexpr std::chrono::milliseconds kPoll(5);
    const auto end = BenchClock::now() + aTimeout;
    while (BenchClock::now() < end) {
      const auto states = this->logs.States();
      bool isEverywhere = true;
      for (std::size_t daemon = 0; daemon < this->Size(); ++daemon) {
        isEverywhere = isEverywhere &&
                       (states[daemon].hasReached || !this->IsRunning(daemon));
      }
      if (isEverywhere) {
        return true;
      }
      std::this_thread::sleep_for(kPoll);
    }
    return false;
  }

  /** Returns 0 when no daemon reports the acceptor role. */
  std::size_t FindAcceptor()
  {
    for (std::size_t daemon = 0; daemon < this->Size(); ++daemon) {
      this->http.Send("GET", AdminUrl(daemon, "/v1/state"));
      if (this->http.Answer().find("\"acceptor\":true") != std::string::npos) {
        return daemon;
      }
    }
    return 0;
  }

  void SampleRegionLink() { this->regionLink.Sample(); }

  FleetUsage ReadUsage()
  {
    FleetUsage usage;
    for (std::size_t daemon = 0; daemon < this->Size(); ++daemon) {
      if (this->IsRunning(daemon)) {
        this->ReadMetrics(daemon);
      }
      const Daemon& counts = this->daemons[daemon];
      usage.sentBytes += counts.sent + counts.sentBeforeKill;
      usage.receivedBytes += counts.received + counts.receivedBeforeKill;
    }
    this->regionLink.Sample();
    usage.regionLinkBytes = static_cast<double>(this->regionLink.Bytes());
    usage.platform = this->platformTestbed.ReadUsage();
    usage.at = BenchClock::now();
    return usage;
  }

private:
  struct Daemon
  {
    BenchProcess process;
    double sent = 0;
    double received = 0;
    double sentBeforeKill = 0; // By processes killed earlier.
    double receivedBeforeKill = 0;
  };

  /**
   * Region of a daemon, from the domain in the third number of its address.
   * Returns 0 for the platform and any other address.
   */
  static int RegionOf(std::uint32_t aAddress)
  {
    constexpr std::uint32_t kNetwork = 127U << 8U | 84U;
    const std::uint32_t domain = aAddress >> 8U & 0xffU;
    if (aAddress >> 16U != kNetwork || domain == 0 || domain > kDomains) {
      return 0;
    }
    return static_cast<int>((domain - 1) / kDomainsPerRegion) + 1;
  }

  std::string SettingsPath(std::size_t aDaemon) const
  {
    return (this->directory / fmt::format("{}.ini", aDaemon)).string();
  }

  /**
   * Seed peers of a daemon: two members of each domain. With --seeds domain,
   * only the first two daemons of each domain list seeds of other domains, and
   * domains discover each other only when these daemons are relays.
   */
  std::string SeedsOf(std::size_t aDaemon) const
  {
    constexpr std::size_t kSeedPeers = 8; // Two of each domain.
    const bool hasAll = this->options.hasAllSeeds || aDaemon < kSeedPeers;
    std::string seeds;
    for (std::size_t peer = 0; peer < kSeedPeers; ++peer) {
      if (hasAll || peer % kDomains == aDaemon % kDomains) {
        seeds += fmt::format(
          "{}{}:{}", seeds.empty() ? "" : ", ", AddressOf(peer), kPeerPort);
      }
    }
    return seeds;
  }

  void WriteSettings(std::size_t aDaemon) const
  {
    const std::size_t domain = aDaemon % kDomains;
    const bool isInPlatformRegion = domain < kDomainsPerRegion;
    std::ofstream(this->SettingsPath(aDaemon)) << fmt::format(
      "[daemon]\nhost = host-{}\naddress = {}\nregion = region-{}\n"
      "domain = domain-{}\n[peer]\nport = {}\n[http]\ncallport = {}\n"
      "adminport = {}\n[platform]\naddress = {}:{}\nregion = region-0\n"
      "[membership]\npeers = {}\n",
      aDaemon,
      AddressOf(aDaemon),
      domain / kDomainsPerRegion,
      domain,
      kPeerPort,
      kCallPort,
      kAdminPort,
      isInPlatformRegion ? kPlatformAddress : kLinkAddress,
      kPlatformPort,
      this->SeedsOf(aDaemon));
  }

  static double MetricValue(const std::string& aText, const std::string& aName)
  {
    const std::size_t found = aText.find("\n" + aName + " ");
    return found == std::string::npos
             ? 0
             : std::atof(aText.c_str() + found + aName.size() + 2);
  }

  void ReadMetrics(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    constexpr long kOk = 200;
    if (this->http.Send("GET", AdminUrl(aDaemon, "/metrics")) != kOk) {
      return;
    }
    const std::string text = "\n" + this->http.Answer();
    daemon.sent = MetricValue(text, "lacewingwharf_control_bytes_sent");
    daemon.received = MetricValue(text, "lacewingwharf_control_bytes_received");
  }

  ConvergenceOptions options;
  PlatformTestbed& platformTestbed;
  std::filesystem::path directory;
  std::vector<Daemon> daemons;
  LogReader logs;
  RegionLinkCounter regionLink;
  HttpConnection http;
};

} // namespace lacewingwharf::bench
