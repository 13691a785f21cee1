#pragma once

#include "httpserver/standinserver.h"
#include "objectsendpoint.h"
#include "objecttable.h"
#include "switches.h"

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lacewingwharf {

/** Serves the API of docs/platform-api.md from an ObjectTable. */
class PlatformService
{
public:
  using Scheduler = std::function<void(Millis, std::function<void()>)>;

  PlatformService(Switches aSwitches,
                  std::size_t aMaxHistory,
                  Scheduler aScheduler);

  void Handle(const std::shared_ptr<StandinExchange>& aExchange);

private:
  using Exchange = std::shared_ptr<StandinExchange>;

  struct PendingWatch
  {
    Exchange exchange;
    std::string prefix;
    std::int64_t since = 0;
    bool isObjectsRequest = false;
  };

  void HandleTestRequest(const Exchange& aExchange);
  void HandleCall(const Exchange& aExchange);
  void HandleObject(const Exchange& aExchange, const std::string& aName);
  void HandleGet(const Exchange& aExchange, const std::string& aName);
  void HandleWrite(const Exchange& aExchange, const std::string& aName);
  void HandleList(const Exchange& aExchange);
  void HandleWatch(const Exchange& aExchange);
  void HandleObjectsRequest(const Exchange& aExchange);
  void AnswerObjectsRequest(const Exchange& aExchange, StandinAnswer aAnswer);
  void AnswerWatch(const PendingWatch& aWatch, const ObjectList& aChanges);
  void AddWatch(PendingWatch aWatch, Millis aTimeout);
  void HandleSwitch(const Exchange& aExchange);

  std::optional<WriteResult> Write(const StandinRequest& aRequest,
                                   const std::string& aName);

  /** Counts a call; returns false if it exceeds the rate of aBucket. */
  bool AdmitCall(const std::string& aKind, TokenBucket& aBucket);
  void AnswerWatches();
  void EndWatch(const StandinExchange* aExchange);
  void AbortWatches();
  std::string CallsAsJson() const;

  std::mutex mutex;
  Switches switches;
  ObjectTable table;
  ObjectsEndpoint objectsEndpoint;
  Scheduler schedule;
  TokenBucket reads;
  TokenBucket writes;
  std::list<PendingWatch> pendingWatches;
  std::list<Exchange> unanswered; // Received in silent mode; never answered.
  std::map<std::string, std::uint64_t> calls;
};

} // namespace lacewingwharf
