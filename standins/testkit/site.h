#pragma once

#include "testkit/httprequest.h"
#include "testkit/platformstandin.h"
#include "testkit/process.h"

#include <atomic>
#include <cstddef>
#include <filesystem>
#include <limits>
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

  /**
   * If aHasLinks, each daemon reaches the store through its own link.
   * aContracts are the optional rules of the site that are in use.
   */
  explicit Site(bool aHasLinks = false, std::string aContracts = {});
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  static std::string Address(std::size_t aHost);

  /** Starts the daemon of a host. A third host has another server of orders. */
  void Start(std::size_t aHost);

  /**
   * Writes a version with two routes to the service orders: a safe one under
   * aPrefix, and an unsafe one under "/unsafe" and aPrefix. aLimits is a JSON
   * object with the limits on callers; the version has none if it is empty.
   */
  bool Configure(int aVersion,
                 const std::string& aPrefix,
                 const std::string& aLimits = {});

  /**
   * Sends a heartbeat for the server of a host. A daemon removes a server that
   * sent none for 6 s. Repeated heartbeats with the same aSequence are in order
   * and renew the server. One with a lower aSequence than another is older.
   */
  TestAnswer Report(std::size_t aHost,
                    const std::string& aState,
                    int aSequence,
                    const std::string& aVersion = "v1") const;

  /** The text of the store's object for a host, or of the error. */
  std::string StoredMember(std::size_t aHost) const;

  bool IsReady(std::size_t aHost) const;

  /** Whether the daemon is the relay that watches the store for its region. */
  bool IsRelay(std::size_t aHost) const;

  /**
   * Closes the open connections of a daemon to the store and each new one, or
   * lets new ones through again.
   */
  bool CutStoreConnection(std::size_t aHost, bool aIsCut = true) const;

  /** Sends a call to the daemon of a host. */
  TestAnswer Call(const std::string& aPath,
                  const std::string& aMethod = "GET",
                  const std::string& aBody = {},
                  const std::string& aHeaderLine = {},
                  std::size_t aHost = 0) const;

  bool IsServed(const std::string& aPath, std::size_t aHost = 0) const;

  /**
   * Waits until both servers are known and the first version is in force. Sends
   * heartbeats until then.
   */
  bool WaitUntilServing() const;

  /** What the daemon of a host has logged since its last start. */
  std::string Log(std::size_t aHost) const;

  std::filesystem::path SettingsFile(std::size_t aHost) const;

  PlatformStandin platform;

  /** Hosts from this one on start in a second region. */
  std::size_t farFrom = std::numeric_limits<std::size_t>::max();

  /** Of the routes of the next version. */
  std::string routeTimeout = "2s";

  /** Further resources of the next version, each after a comma. */
  std::string moreResources;
  std::vector<std::unique_ptr<ChildProcess>> daemons;

private:
  void StartLink(std::size_t aHost);
  std::string StoreAddress(std::size_t aHost) const;

  std::filesystem::path directory;
  std::string contracts;
  std::vector<std::unique_ptr<ChildProcess>> links;
  mutable std::atomic<int> reports{ 0 }; // The number of reports sent.
};

} // namespace lacewingwharf
