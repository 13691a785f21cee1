#pragma once

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

  /** The region of the platform; that of the first domain when empty. */
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

/** How a command of lacewingwharfctl ended. */
struct CtlRun
{
  int exitCode = -1;
  std::string output; // Standard output and standard error.
};

/**
 * Daemons on loopback addresses of their own, with a platform stand-in and
 * backend servers. Processes must be started on the test's own thread, since
 * they end with the thread that started them.
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

  /** Starts a daemon, or starts it again after it has ended. */
  void Start(std::size_t aHost);
  void StartAll();
  ChildProcess& Daemon(std::size_t aHost);

  /** Starts a backend server on a host; aPort must be free there. */
  ChildProcess& StartBackend(std::size_t aHost,
                             const std::string& aService,
                             int aPort,
                             const std::vector<std::string>& aOptions = {});

  /** The backend server started last on a host and port. */
  ChildProcess& Backend(std::size_t aHost, int aPort);

  /** Cuts or heals the link of the linked failure domain. */
  bool SetCut(bool aIsCut) const;

  const std::string& Domain(std::size_t aHost) const;
  std::string HostName(std::size_t aHost) const;
  const std::string& Address(std::size_t aHost) const;
  std::string CallUrl(std::size_t aHost, const std::string& aPath) const;
  std::string AdminUrl(std::size_t aHost, const std::string& aPath) const;

  /** The number of /test/runs of a backend server, or -1. */
  int Runs(std::size_t aHost, int aPort, const std::string& aKey) const;

  /** All of /test/runs of a backend server; null when it does not answer. */
  nlohmann::json AllRuns(std::size_t aHost, int aPort) const;

  /** Null while the daemon does not answer. */
  nlohmann::json State(std::size_t aHost) const;
  nlohmann::json Members(std::size_t aHost) const;

  /** The version that a daemon holds, or -1. */
  std::int64_t Version(std::size_t aHost) const;

  /** Sum of the samples of one metric whose labels contain aLabels. */
  double Metric(std::size_t aHost,
                const std::string& aName,
                const std::string& aLabels = {}) const;

  /** Runs lacewingwharfctl with this fleet's platform and waits for its end. */
  CtlRun Ctl(const std::vector<std::string>& aArguments);

  /** Puts an entry, whatever its present revision; false when refused. */
  bool Put(const std::string& aName, const std::string& aJson);

  /** True when every daemon of aHosts is ready and holds aVersion or newer. */
  bool AllHold(const std::vector<std::size_t>& aHosts,
               std::int64_t aVersion) const;

  /**
   * True when these daemons hold the same version and, in each failure
   * domain, the same table of live members.
   */
  bool AllAgree(const std::vector<std::size_t>& aHosts) const;

  std::vector<std::size_t> AllHosts() const;

  /** The log of a daemon since its last start. */
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
  std::string Forwards(std::size_t aHost) const;
  void WriteSettings(std::size_t aHost) const;
  nlohmann::json AdminJson(std::size_t aHost, const std::string& aPath) const;
  nlohmann::json LiveTable(std::size_t aHost) const;

  FleetConfig config;
  std::string directory;
  std::string linkAddress;
  std::unique_ptr<PlatformStandin> platform;
  std::unique_ptr<ChildProcess> link;
  std::vector<Host> hosts;
  std::map<std::pair<std::size_t, int>, std::unique_ptr<ChildProcess>> backends;
  std::atomic<int> ctlRuns = 0;
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
