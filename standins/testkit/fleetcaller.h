#pragma once

#include "common/clock.h"
#include "testkit/httprequest.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lacewingwharf {

struct FleetCallerConfig
{
  std::vector<std::string> urls; // One for each daemon that may be asked.
  std::string method = "GET";
  std::size_t threads = 4;
  Millis gap = 10; // Between two calls of one thread.
  bool hasKeys = false;

  /** How long one call is offered to one daemon after the other. */
  Millis bound = 10000;
};

/** How the calls of a FleetCaller ended. */
struct FleetCalls
{
  std::size_t done = 0;
  std::size_t failed = 0; // Done, but with a status other than 200.
  std::size_t notRun = 0; // By every daemon that was asked within the bound.
  std::size_t unknown = 0;
  std::size_t broken = 0; // Connections that ended without a whole answer.
  std::size_t passedOn = 0;
  std::map<std::string, std::size_t> reasons;
  std::vector<std::string> doneKeys;

  std::size_t Sent() const;
  std::string Describe() const;
};

/**
 * Callers that offer each call to the next daemon when the connection is
 * refused or the answer is not-run, until it ends otherwise.
 */
class FleetCaller
{
public:
  explicit FleetCaller(FleetCallerConfig aConfig);
  ~FleetCaller();

  FleetCaller(const FleetCaller&) = delete;
  FleetCaller& operator=(const FleetCaller&) = delete;

  /** Ends the load and returns when every call has ended. */
  FleetCalls Stop();

  /** Calls that ended so far. */
  std::size_t Ended() const;

private:
  void Run(std::size_t aThread);
  void CallOnce(std::size_t aFirst, const std::string& aKey);

  /** True when the call may be offered to another daemon. */
  bool Record(const TestAnswer& aAnswer, const std::string& aKey, bool aIsLast);

  FleetCallerConfig config;
  std::string keyPrefix;
  std::atomic<bool> isStopping = false;
  mutable std::mutex mutex; // Guards calls.
  FleetCalls calls;
  std::vector<std::thread> threads;
};

} // namespace lacewingwharf
