#pragma once

#include "behaviour.h"
#include "httpserver/standinserver.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lacewingwharf {

struct BackendConfig
{
  std::uint16_t port = 0;
  int slots = 4;
  int connections = 100;
  Millis serviceTime = 5;
  Millis coldStart = 0;
};

/**
 * Runs requests while it has free slots, refuses the others and counts both.
 */
class BackendService
{
public:
  using Scheduler = std::function<void(Millis, std::function<void()>)>;

  /** aOnStateChange is called when the announced state may have changed. */
  BackendService(BackendConfig aConfig,
                 Scheduler aScheduler,
                 std::function<void()> aOnStateChange);

  void Handle(const std::shared_ptr<StandinExchange>& aExchange);
  void SetReady();
  void StartDraining();

  std::string Announcement() const;
  bool IsIdle() const;

private:
  using Exchange = std::shared_ptr<StandinExchange>;

  /** A request that holds a slot until it has ended. */
  struct RunState
  {
    bool hasEnded = false;
  };
  using RunPointer = std::shared_ptr<RunState>;

  bool HandleTestRequest(const Exchange& aExchange);
  void HandleBehaviour(const Exchange& aExchange);
  void StartRun(const Exchange& aExchange);
  void CountRun(const StandinRequest& aRequest);
  void Finish(const Exchange& aExchange, const RunPointer& aRun);
  void EndRun(const RunPointer& aRun, bool aIsCancelled);
  StandinAnswer MakeAnswer(const StandinRequest& aRequest);
  std::string RunsAsJson() const;

  BackendConfig config;
  Scheduler schedule;
  std::function<void()> onStateChange;
  mutable std::mutex mutex;
  Behaviour behaviour;
  bool isReady = false;
  bool isDraining = false;
  int running = 0;
  int answering = 0; // Runs whose answer is not handed over yet.
  int maxRunning = 0;
  std::uint64_t total = 0;
  std::uint64_t shed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t late = 0; // Requests refused after their deadline.
  std::map<std::string, std::uint64_t> runsByCall;
  std::map<std::string, std::uint64_t> runsByKey;
};

} // namespace lacewingwharf
