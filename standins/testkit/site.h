#pragma once

#include "testkit/httprequest.h"
#include "testkit/platformstandin.h"
#include "testkit/process.h"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Two daemons of a site that uses the protocol of its platform. The first
 * daemon runs beside a server of the service web, the second beside a server of
 * the service orders. The test itself provides the servers.
 */
class Site
{
public:
  static constexpr int kServerPort = 9000;
  static constexpr int kCallsPort = 9001;
  static constexpr int kReadinessPort = 9002;
  static constexpr int kReportsPort = 9003;

  /** If aHasLinks, each daemon reaches the store through its own link. */
  explicit Site(bool aHasLinks = false);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  static std::string Address(std::size_t aHost);

  /** Starts the daemon of a host. */
  void Start(std::size_t aHost);

  /**
   * Writes a version with two routes to the service orders: a safe one under
   * aPrefix, and an unsafe one under "/unsafe" and aPrefix. aLimits is a JSON
   * object with the limits on callers; the version has none if it is empty.
   */
  bool Configure(int aVersion,
                 const std::string& aPrefix,
                 const std::string& aLimits = {});

  /** Sends a heartbeat for the server of a host. */
  TestAnswer Report(std::size_t aHost,
                    const std::string& aState,
                    int aSequence) const;

  bool IsReady(std::size_t aHost) const;

  /** Whether the daemon is the relay that watches the store for its region. */
  bool IsRelay(std::size_t aHost) const;

  /** Closes the open connections of a daemon to the store and each new one. */
  bool CutStoreConnection(std::size_t aHost) const;

  /** Sends a call to the daemon of the first host. */
  TestAnswer Call(const std::string& aPath,
                  const std::string& aMethod = "GET",
                  const std::string& aBody = {},
                  const std::string& aHeaderLine = {}) const;

  bool IsServed(const std::string& aPath) const;

  /** Waits until both servers are known and the first version is in force. */
  bool WaitUntilServing() const;

  /** What the daemon of a host has logged since its last start. */
  std::string Log(std::size_t aHost) const;

  std::filesystem::path SettingsFile(std::size_t aHost) const;

  PlatformStandin platform;

  /** Of the routes of the next version. */
  std::string routeTimeout = "2s";
  std::vector<std::unique_ptr<ChildProcess>> daemons;

private:
  void StartLink(std::size_t aHost);
  std::string StoreAddress(std::size_t aHost) const;

  std::filesystem::path directory;
  std::vector<std::unique_ptr<ChildProcess>> links;
};

} // namespace lacewingwharf
