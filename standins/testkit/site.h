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
 * Two daemons on a site whose platform sets the protocol: the first beside a
 * server of the service web, the second beside one of the service orders. The
 * servers are the test's.
 */
class Site
{
public:
  static constexpr int kServerPort = 9000;

  /** With links, each daemon reaches the store over one of its own. */
  explicit Site(bool aHasLinks = false);
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  static std::string Address(std::size_t aHost);

  /** Starts the daemon of a host. */
  void Start(std::size_t aHost);

  /**
   * Writes a version with two routes to the service orders: a safe one under
   * aPrefix, and an unsafe one under "/unsafe" and aPrefix.
   */
  bool Configure(int aVersion, const std::string& aPrefix);

  /** Sends a heartbeat of the host's server. */
  TestAnswer Report(std::size_t aHost,
                    const std::string& aState,
                    int aSequence) const;

  bool IsReady(std::size_t aHost) const;

  /** Whether the daemon watches the store for its region. */
  bool IsRelay(std::size_t aHost) const;

  /** Resets the daemon's connections to the store, new ones too. */
  bool CutStore(std::size_t aHost) const;

  /** A call that enters at the first host. */
  TestAnswer Call(const std::string& aPath,
                  const std::string& aMethod = "GET",
                  const std::string& aBody = {}) const;

  bool IsServed(const std::string& aPath) const;

  /** True once both servers are known and the first version is in force. */
  bool WaitUntilServing() const;

  /** What the present or last daemon of a host has logged. */
  std::string Log(std::size_t aHost) const;

  /** The settings file of a daemon. */
  std::filesystem::path SettingsFile(std::size_t aHost) const;

  PlatformStandin platform;
  std::vector<std::unique_ptr<ChildProcess>> daemons;

private:
  void StartLink(std::size_t aHost);
  std::string StoreAddress(std::size_t aHost) const;

  std::filesystem::path directory;
  std::vector<std::unique_ptr<ChildProcess>> links;
};

} // namespace lacewingwharf
