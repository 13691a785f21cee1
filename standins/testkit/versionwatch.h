#pragma once

#include "testkit/fleet.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lacewingwharf {

/**
 * Polls the state of every daemon of a fleet and records each decrease of a
 * daemon's version within one incarnation.
 */
class VersionWatch
{
public:
  explicit VersionWatch(const Fleet& aFleet);
  ~VersionWatch();

  VersionWatch(const VersionWatch&) = delete;
  VersionWatch& operator=(const VersionWatch&) = delete;

  /** Ends polling; returns one line for each decrease of a version. */
  std::vector<std::string> Stop();

  /** The number of states that were read. */
  std::size_t ReadCount() const;

private:
  void Run();
  void ReadState(std::size_t aHost);

  const Fleet& fleet;
  std::atomic<bool> isStopping = false;
  std::atomic<std::size_t> reads = 0;
  std::map<std::pair<std::size_t, std::int64_t>, std::int64_t> lastVersions;
  std::vector<std::string> regressions;
  std::thread thread; // Declared last because it uses the members above.
};

} // namespace lacewingwharf
