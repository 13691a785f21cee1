#pragma once

#include "execution/claimclient.h"
#include "execution/claimwriter.h"
#include "execution/destinationcalls.h"
#include "execution/entrycalls.h"
#include "execution/quarantine.h"

#include "admission/admissionharness.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

inline constexpr std::size_t kHosts = 4;
inline constexpr Millis kCallDeadline = 2000;
inline constexpr const char* kNumberHeader = "X-Number";

/**
 * The platform's object store in memory, with compare-and-swap and injected
 * faults.
 */
struct CallStore
{
  std::map<std::string, StoredObject> objects;
  std::int64_t revision = 0;
  bool isDown = false;
  bool losesAnswer = false; // Loses the answer to the next write.

  ObjectStore Hooks()
  {
    ObjectStore store;
    store.get =
      [this](const std::string& aName) -> PlatformResult<StoredObject> {
      const auto found = this->objects.find(aName);
      if (this->isDown || found == this->objects.end()) {
        return PlatformError{ this->isDown ? PlatformErrorCode::Unreachable
                                           : PlatformErrorCode::NotFound,
                              aName };
      }
      return found->second;
    };
    store.put = [this](const std::string& aName,
                       const std::string& aValue,
                       std::int64_t aExpected) -> PlatformResult<std::int64_t> {
      if (this->isDown) {
        return PlatformError{ PlatformErrorCode::Unreachable, aName };
      }
      StoredObject& object = this->objects[aName];
      if (object.revision != aExpected) {
        return PlatformError{ PlatformErrorCode::Conflict, aName };
      }
      object = { aName, ++this->revision, aValue, false };
      if (std::exchange(this->losesAnswer, false)) {
        return PlatformError{ PlatformErrorCode::TimedOut, aName };
      }
      return this->revision;
    };
    return store;
  }
};

/** One incarnation of a daemon; a restart creates another. */
struct CallDaemon
{
  std::size_t host = 0;
  std::int64_t incarnation = 0;
  bool isDead = false;
  bool isPaused = false;
  Millis pausedMillis = 0;
  std::vector<std::function<void()>> deferred; // Run when the pause ends.
  std::map<std::size_t, std::int64_t> knownIncarnations; // By host.
  std::map<std::size_t, std::uint64_t> openSessions;
  std::map<std::size_t, Millis> nextDialAt;
  std::unique_ptr<Quarantine> quarantine;
  std::unique_ptr<ClaimWriter> writer;
  std::unique_ptr<ClaimClient> claims;
  std::unique_ptr<DestinationCalls> destination;
  std::unique_ptr<EntryCalls> entry;
};

struct CallSession
{
  CallDaemon* from = nullptr;
  CallDaemon* to = nullptr;
  bool isConnected = false;
  bool isLost = false;
  Millis lastForwardArrival = 0;
  Millis lastReplyArrival = 0;
  std::vector<wire::Envelope> queued; // Until it is connected.
  std::vector<std::string> sent;      // Call ids of all requests.
};

/** A caller's request and its result. */
struct CallerRequest
{
  std::string method;
  std::string key;
  bool isPoison = false; // Crashes every backend server that runs it.
  CallDaemon* daemon = nullptr;
  Millis startedAt = 0;
  Millis answeredAt = 0;
  int answers = 0;
  std::string outcome;
  std::string reason;
  std::string body;
  int runs = 0;
  int damagedRuns = 0; // With another body than that of the caller.
};

/** Probabilities of faults, in percent unless stated otherwise. */
struct CallFaults
{
  unsigned cutAnswers = 0;
  unsigned crashes = 0;
  unsigned shedding = 0;
  unsigned damagedAnswers = 0;
  unsigned lateFrames = 0; // Of those in flight when a session is lost.
  unsigned lostPutAnswers = 0;
  Millis maxDelay = 3;
  Millis maxEventDelay = 1;

  /**
   * The naive version: retries after a lost session, without queries or claims.
   */
  bool isNaive = false;

  /** Requests are large, so their bodies follow in parts. */
  bool hasLargeRequests = false;
};

/**
 * Simulates daemons with their calls and claims, backend servers and callers,
 * connected by a network in memory. Everything runs on one manual clock, and
 * every delay is a timer on it, so a seed determines the whole schedule.
 */
class CallSimulation
{
public:
  CallSimulation(std::uint64_t aSeed, CallFaults aFaults);

  void Run(Millis aMillis);
  void Schedule(Millis aDelay, std::function<void()> aRun);

  /** Sends a request through the daemon of a host. */
  std::size_t Send(std::size_t aHost,
                   const std::string& aMethod,
                   const std::string& aKey = "",
                   bool aIsPoison = false);

  void Kill(std::size_t aHost, Millis aDownFor);
  void Pause(std::size_t aHost, Millis aFor);
  void LoseSessions(std::size_t aFrom, std::size_t aTo);
  void StopBackend(std::size_t aHost, Millis aDownFor);
  void StopPlatform(Millis aFor);
  void PartitionDomains(Millis aFor);

  Millis Now() const;
  std::uint64_t NextRandom(std::uint64_t aBound);

  /** Descriptions of the violated invariants. */
  std::vector<std::string> Violations() const;

  static std::string BodyFor(std::size_t aNumber);
  std::string RequestBodyFor(std::size_t aNumber) const;

  std::vector<CallerRequest> requests;

private:
  struct Backend
  {
    bool isUp = true;
    std::uint64_t epoch = 0;
  };

  bool RandomChance(unsigned aPercent);
  Millis Delay();
  void Post(CallDaemon& aDaemon, Millis aDelay, std::function<void()> aRun);
  void BuildDaemon(std::size_t aHost);
  void BuildClaims(CallDaemon& aDaemon);
  EntryCallsHooks EntryHooks(CallDaemon& aDaemon);
  DestinationCallsHooks DestinationHooks(CallDaemon& aDaemon);
  void Announce(std::size_t aHost, std::int64_t aIncarnation, Millis aDelay);
  void SetView(CallDaemon& aDaemon);
  bool IsPartitioned(std::size_t aLeft, std::size_t aRight) const;

  void SendFrame(CallDaemon& aFrom, std::size_t aTo, wire::Envelope aEnvelope);
  void Dial(CallDaemon& aFrom, std::size_t aTo);
  void Connect(std::uint64_t aSession, std::size_t aTo);
  void Forward(std::uint64_t aSession, const wire::Envelope& aEnvelope);
  void Reply(CallDaemon& aFrom, std::uint64_t aSession, wire::CallAnswer);
  void ReplyGrant(CallDaemon& aFrom,
                  std::uint64_t aSession,
                  const wire::BodyGrant& aGrant);
  Millis ReplyTime(CallSession& aSession, const CallDaemon& aFrom);
  void LoseSession(std::uint64_t aSession);
  void LoseSessionsIf(const std::function<bool(const CallSession&)>& aMatches);
  void ReportLost(CallDaemon& aDaemon,
                  std::size_t aTo,
                  bool aWasConnected,
                  const std::vector<std::string>& aUnsent,
                  Millis aDelay);
  void HandleMessage(CallDaemon& aDaemon,
                     std::uint64_t aSession,
                     const wire::Envelope& aEnvelope);
  void SendClaim(CallDaemon& aFrom,
                 const std::string& aHost,
                 const wire::ClaimRequest& aRequest);
  void RunExchange(CallDaemon& aDaemon, const HttpExchange& aExchange);
  void EndExchange(CallDaemon& aDaemon,
                   const std::string& aId,
                   ExchangeEnd aEnd,
                   std::size_t aNumber,
                   int aStatus);
  void Tick();
  void CheckInvariants(std::size_t aNumber,
                       std::vector<std::string>& aOut) const;

  ManualClock clock{ 1000000 };
  Random random;
  CallFaults faults;
  CallStore store;
  SnapshotPtr snapshot;
  std::vector<std::unique_ptr<CallDaemon>> daemons; // Including dead ones.
  std::array<CallDaemon*, kHosts> current{};
  std::array<Backend, kHosts> backends;
  std::map<std::uint64_t, CallSession> sessions;
  std::multimap<Millis, std::function<void()>> timers;
  Millis partitionedUntil = 0;
  Millis platformDownUntil = 0;
  std::uint64_t lastSession = 0;
  Millis lastTick = 0;
};

} // namespace lacewingwharf::testing
