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
  std::vector<std::string> urls; // One for each daemon that takes calls.
  std::string method = "GET";
  std::size_t threads = 4;
  Millis pauseBetweenCalls = 10; // Pause between two calls of one thread.
  bool hasIdempotencyKeys = false;

  /** How long a call is retried at one daemon after the other. */
  Millis callTimeout = 10000;
};

/** Counts the results of the calls of a FleetCaller. */
struct FleetCalls
{
  std::size_t done = 0;
  std::size_t failed = 0; // Done, but with a status other than 200.
  std::size_t notRun = 0; // Refused by all daemons tried until the timeout.
  std::size_t unknown = 0;
  std::size_t broken = 0; // Connected, but without a complete answer.
  std::size_t retriedAttempts = 0;
  std::map<std::string, std::size_t> reasons;
  std::vector<std::string> doneKeys;

  /**
   * One text for each of the first calls that were failed, not run, unknown or
   * broken: the daemon, the time and the headers of the answer.
   */
  std::vector<std::string> problems;

  /** The daemons' ids of these calls, as in their logs. */
  std::vector<std::string> problemIds;

  std::size_t Sent() const;
  std::string Describe() const;
};

/**
 * Sends calls from several threads. A call whose connection is refused or whose
 * outcome is not-run is retried at the next daemon.
 */
class FleetCaller
{
public:
  explicit FleetCaller(FleetCallerConfig aConfig);
  ~FleetCaller();

  FleetCaller(const FleetCaller&) = delete;
  FleetCaller& operator=(const FleetCaller&) = delete;

  /** Stops sending, waits for the running calls and returns the results. */
  FleetCalls Stop();

  /** The number of calls that have ended so far. */
  std::size_t EndedCount() const;

private:
  void Run(std::size_t aThread);
  void CallOnce(std::size_t aFirstDaemon, const std::string& aKey);

  /** One request of a call and its answer. */
  struct Attempt
  {
    std::string url;
    Millis startedAt = 0; // By the wall clock, as in the logs of daemons.
    Millis endedAt = 0;
    TestAnswer answer;
  };

  /** Returns true if the call must be retried at another daemon. */
  bool Record(const Attempt& aAttempt, const std::string& aKey, bool aIsLast);
  void RecordProblem(const Attempt& aAttempt);

  FleetCallerConfig config;
  std::string keyPrefix;
  std::atomic<bool> isStopping = false;
  mutable std::mutex mutex; // Guards calls.
  FleetCalls calls;
  std::vector<std::thread> threads;
};

} // namespace lacewingwharf
