#pragma once

#include "convergencelogs.h"
#include "convergenceregionlink.h"
#include "convergencesite.h"

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <ranges>
#include <string>
#include <vector>

namespace lacewingwharf::bench {

/** Sums over the fleet since its start. */
struct FleetUse
{
  double sentBytes = 0;
  double receivedBytes = 0;
  double regionLinkBytes = 0;
  PlatformUse platform;
  BenchClock::time_point at;
};

/** Real daemons on loopback addresses, their settings and their logs. */
class DaemonFleet
{
public:
  DaemonFleet(const ConvergenceOptions& aOptions, Site& aSite)
    : options(aOptions)
    , site(aSite)
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

  /** Daemons take turns over the domains: 0 is in the first of them. */
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
    constexpr std::chrono::milliseconds kGap(10);
    for (std::size_t daemon = 0; daemon < this->Size(); ++daemon) {
      this->Start(daemon);
      std::this_thread::sleep_for(kGap);
    }
  }

  /** Keeps its byte counts, as far as it still tells them. */
  void Kill(std::size_t aDaemon)
  {
    Daemon& daemon = this->daemons[aDaemon];
    this->ReadMetrics(aDaemon);
    daemon.earlierSent += daemon.sent;
    daemon.earlierReceived += daemon.received;
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

  /** Of the running daemons; true when all reached the awaited version. */
  bool WaitForAll(std::chrono::seconds aBound)
  {
    constexpr std::chrono::milliseconds kPoll(5);
    const auto end = BenchClock::now() + aBound;
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

  /** 0 when no daemon says that it has the role. */
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

  FleetUse Use()
  {
    FleetUse use;
    for (std::size_t daemon = 0; daemon < this->Size(); ++daemon) {
      if (this->IsRunning(daemon)) {
        this->ReadMetrics(daemon);
      }
      const Daemon& counts = this->daemons[daemon];
      use.sentBytes += counts.sent + counts.earlierSent;
      use.receivedBytes += counts.received + counts.earlierReceived;
    }
    this->regionLink.Sample();
    use.regionLinkBytes = static_cast<double>(this->regionLink.Bytes());
    use.platform = this->site.Use();
    use.at = BenchClock::now();
    return use;
  }

private:
  struct Daemon
  {
    BenchProcess process;
    double sent = 0;
    double received = 0;
    double earlierSent = 0; // Of killed processes.
    double earlierReceived = 0;
  };

  /** By the third number of the address; 0 for the platform and others. */
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
   * Two members of each domain. With --seeds domain only the first two of each
   * domain list those of the others; domains then meet only when these are
   * feeders.
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
    const bool isNear = domain < kDomainsPerRegion;
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
      isNear ? kPlatformAddress : kLinkAddress,
      kPlatformPort,
      this->SeedsOf(aDaemon));
  }

  static double ValueIn(const std::string& aText, const std::string& aName)
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
    daemon.sent = ValueIn(text, "lacewingwharf_control_bytes_sent");
    daemon.received = ValueIn(text, "lacewingwharf_control_bytes_received");
  }

  ConvergenceOptions options;
  Site& site;
  std::filesystem::path directory;
  std::vector<Daemon> daemons;
  LogReader logs;
  RegionLinkCounter regionLink;
  HttpConnection http;
};

} // namespace lacewingwharf::bench
