#pragma once

#include "testkit/loopbacknetwork.h"
#include "testkit/platformstandin.h"
#include "testkit/process.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** One failure domain of a test fleet. */
struct FleetDomain
{
  std::string name;
  std::string region;
  std::size_t hosts = 1;
};

struct FleetConfig
{
  std::vector<FleetDomain> domains;

  /** The region of the platform; if empty, the region of the first domain. */
  std::string platformRegion;

  /** Lines added to the settings of every daemon, such as "[claims]\n...". */
  std::string settings;

  /**
   * A failure domain whose traffic with other failure domains and with the
   * platform goes through a link that can be cut.
   */
  std::string linkedDomain;

  Millis gossipInterval = 300;
  Millis suspicion = 1500;
  std::vector<std::string> platformOptions;
};

/** The result of a lacewingwharfctl command. */
struct CtlRun
{
  int exitCode = -1;
  std::string output; // Standard output and standard error.
};

/**
 * Daemons, each on its own loopback address, with a platform stand-in and
 * backend servers. Start processes on the main thread of the test, because they
 * are killed when the thread that started them ends.
 */
class Fleet
{
public:
  static constexpr int kPeerPort = 7100;
  static constexpr int kCallPort = 8080;
  static constexpr int kAdminPort = 8081;

  explicit Fleet(FleetConfig aConfig);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::size_t Size() const;
  PlatformStandin& Platform();
  void RestartPlatform();

  /** Starts or restarts a daemon. */
  void Start(std::size_t aHost);
  void StartAll();
  ChildProcess& Daemon(std::size_t aHost);

  /** Starts a backend server on a host; aPort must be free there. */
  ChildProcess& StartBackend(std::size_t aHost,
                             const std::string& aService,
                             int aPort,
                             const std::vector<std::string>& aOptions = {});

  /** The backend server that was started last on a host and port. */
  ChildProcess& Backend(std::size_t aHost, int aPort);

  /** Host and port of the backend servers that were started. */
  std::vector<std::pair<std::size_t, int>> Backends() const;

  /** Cuts or restores the link of the linked failure domain. */
  bool SetLinkCut(bool aIsCut) const;

  const std::string& Domain(std::size_t aHost) const;
  std::string HostName(std::size_t aHost) const;
  const std::string& Address(std::size_t aHost) const;
  std::string CallUrl(std::size_t aHost, const std::string& aPath) const;
  std::string AdminUrl(std::size_t aHost, const std::string& aPath) const;

  /** A counter from /test/runs of a backend server, or -1. */
  int Runs(std::size_t aHost, int aPort, const std::string& aKey) const;

  /** All counters from /test/runs, or null if there is no answer. */
  nlohmann::json AllRuns(std::size_t aHost, int aPort) const;

  /** The answer of /v1/state, or null if the daemon does not answer. */
  nlohmann::json State(std::size_t aHost) const;

  /** The answer of /v1/members, or null if the daemon does not answer. */
  nlohmann::json Members(std::size_t aHost) const;

  /** The version that a daemon holds, or -1. */
  std::int64_t Version(std::size_t aHost) const;

  /** The sum of the samples of a metric whose labels contain aLabels. */
  double Metric(std::size_t aHost,
                const std::string& aName,
                const std::string& aLabels = {}) const;

  /** Runs lacewingwharfctl on the platform of this fleet and waits for it. */
  CtlRun Ctl(const std::vector<std::string>& aArguments);

  /** Puts an entry regardless of its revision; returns false if refused. */
  bool Put(const std::string& aName, const std::string& aJson);

  /** True when every daemon of aHosts is ready and holds aVersion or newer. */
  bool AllHaveVersion(const std::vector<std::size_t>& aHosts,
                      std::int64_t aVersion) const;

  /**
   * True when these daemons are ready and hold the same version and, within
   * each failure domain, the same table of live members.
   */
  bool HaveConverged(const std::vector<std::size_t>& aHosts) const;

  std::vector<std::size_t> AllHosts() const;

  /** What a daemon has logged since its last start. */
  std::string Log(std::size_t aHost) const;
  const std::string& WorkDirectory() const;

private:
  struct Host
  {
    FleetDomain domain;
    std::string address;
    std::unique_ptr<ChildProcess> daemon;
  };

  void StartLink();
  bool IsLinked(std::size_t aHost) const;
  std::string PlatformAddress(std::size_t aHost) const;
  std::string ForwardSettings(std::size_t aHost) const;
  void WriteSettings(std::size_t aHost) const;
  nlohmann::json AdminJson(std::size_t aHost, const std::string& aPath) const;
  nlohmann::json LiveMembers(std::size_t aHost) const;

  FleetConfig config;
  LoopbackNetwork network;
  std::string directory;
  std::string linkAddress;
  std::unique_ptr<PlatformStandin> platform;
  std::unique_ptr<ChildProcess> link;
  std::vector<Host> hosts;
  std::map<std::pair<std::size_t, int>, std::unique_ptr<ChildProcess>> backends;
  std::atomic<int> ctlRunCount = 0;
};

inline PlatformStandin&
Fleet::Platform()
{
  return *this->platform;
}

inline std::size_t
Fleet::Size() const
{
  return this->hosts.size();
}

inline const std::string&
Fleet::Domain(std::size_t aHost) const
{
  return this->hosts.at(aHost).domain.name;
}

inline const std::string&
Fleet::Address(std::size_t aHost) const
{
  return this->hosts.at(aHost).address;
}

inline ChildProcess&
Fleet::Daemon(std::size_t aHost)
{
  return *this->hosts.at(aHost).daemon;
}

inline const std::string&
Fleet::WorkDirectory() const
{
  return this->directory;
}

} // namespace lacewingwharf
