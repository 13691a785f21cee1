#pragma once

#include "httpserver/standinserver.h"
#include "objectsform.h"
#include "objecttable.h"
#include "switches.h"

#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lacewingwharf {

/** Answers the requests of docs/platform-api.md from an ObjectTable. */
class PlatformService
{
public:
  using After = std::function<void(Millis, std::function<void()>)>;

  PlatformService(Switches aSwitches, std::size_t aMaxHistory, After aAfter);

  void Handle(const std::shared_ptr<StandinExchange>& aExchange);

private:
  using Exchange = std::shared_ptr<StandinExchange>;

  struct Waiter
  {
    Exchange exchange;
    std::string prefix;
    std::int64_t since = 0;
    bool isObjectsForm = false;
  };

  void HandleTest(const Exchange& aExchange);
  void HandleCall(const Exchange& aExchange);
  void HandleObject(const Exchange& aExchange, const std::string& aName);
  void HandleGet(const Exchange& aExchange, const std::string& aName);
  void HandleWrite(const Exchange& aExchange, const std::string& aName);
  void HandleList(const Exchange& aExchange);
  void HandleWatch(const Exchange& aExchange);
  void HandleObjectsForm(const Exchange& aExchange);
  void AddWaiter(Waiter aWaiter, Millis aTimeout);
  void HandleSwitch(const Exchange& aExchange);

  std::optional<WriteResult> Write(const StandinRequest& aRequest,
                                   const std::string& aName);
  bool Count(const std::string& aKind, TokenBucket& aBucket);
  void AnswerWatches();
  void EndWatch(const StandinExchange* aExchange);
  void BreakWatches();
  std::string CallsAsJson() const;

  std::mutex mutex;
  Switches switches;
  ObjectTable table;
  ObjectsForm objectsForm;
  After after;
  TokenBucket reads;
  TokenBucket writes;
  std::list<Waiter> waiters;
  std::list<Exchange> unanswered; // While silent; never answered.
  std::map<std::string, std::uint64_t> calls;
};

} // namespace lacewingwharf
