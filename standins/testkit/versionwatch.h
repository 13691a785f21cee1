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
 * Reads the state of every daemon of a fleet again and again and notes each
 * daemon whose version went back while its process lived.
 */
class VersionWatch
{
public:
  explicit VersionWatch(const Fleet& aFleet);
  ~VersionWatch();

  VersionWatch(const VersionWatch&) = delete;
  VersionWatch& operator=(const VersionWatch&) = delete;

  /** One line for each step back that was seen. */
  std::vector<std::string> Stop();

  /** States that were read. */
  std::size_t Reads() const;

private:
  void Run();
  void Read(std::size_t aHost);

  const Fleet& fleet;
  std::atomic<bool> isStopping = false;
  std::atomic<std::size_t> reads = 0;
  std::map<std::pair<std::size_t, std::int64_t>, std::int64_t> newest;
  std::vector<std::string> stepsBack;
  std::thread thread; // Last: it uses what stands above.
};

} // namespace lacewingwharf
