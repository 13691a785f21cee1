#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "common/random.h"
#include "execution/hedgeshare.h"
#include "execution/responsetimes.h"
#include "execution/serverloads.h"
#include "routing/serverchooser.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace lacewingwharf {

struct HedgingConfig
{
  /** Fraction of a service's calls that may get a second attempt; 0 is off. */
  double share = 0;

  /** A call that takes longer than this quantile is slow. */
  double quantile = 0.95;

  /** Answers of an entry that must be known before any call of it is slow. */
  std::size_t minAnswers = 50;
};

/** Why a slow call got no second attempt. */
enum class WithheldReason
{
  Share,       // The fraction of the service's calls is used up.
  Refusals,    // A server of the service refused a call for lack of capacity.
  LoadUnknown, // No destination reported its load lately.
  Overload,    // The reported slots of the service are nearly all in use.
  FirstQueued, // The first attempt probably waits for a slot.
  NoServer,    // No other server that is not busy.
  LittleTime,  // Less than a usual response time remains.
  Retries,     // The route allows no further delivery.
  Budget,      // The retry budget of the service is empty.
  Quarantine,  // The request has cost a server.
  Rollout,     // Answers are evidence for or against a server version.
  Stopping     // This daemon stops.
};

inline constexpr auto kWithheldReasonNames = MakeNameTable<WithheldReason>(
  { { WithheldReason::Share, "share" },
    { WithheldReason::Refusals, "refusals" },
    { WithheldReason::LoadUnknown, "load-unknown" },
    { WithheldReason::Overload, "overload" },
    { WithheldReason::FirstQueued, "first-queued" },
    { WithheldReason::NoServer, "no-server" },
    { WithheldReason::LittleTime, "little-time" },
    { WithheldReason::Retries, "retries" },
    { WithheldReason::Budget, "budget" },
    { WithheldReason::Quarantine, "quarantine" },
    { WithheldReason::Rollout, "rollout" },
    { WithheldReason::Stopping, "stopping" } });

/** A call whose first attempt is slow. */
struct SlowCall
{
  std::string_view entry;
  std::string_view service;
  EndpointKey firstServer;

  /** Other open attempts of this daemon at that server, and its slots. */
  int openAttempts = 0;
  int slots = 0;
  double left = 0; // Until the deadline, in milliseconds.
};

/** The decision on a slow call, with its inputs for the log. */
struct HedgeDecision
{
  std::optional<WithheldReason> withheld; // Empty: may get a second attempt.
  ResponseTimeSummary times;
  ServiceLoad load;
  HedgeCounts counts;
};

/**
 * Decides which calls get a second attempt at another server because the first
 * one is slow (docs/design/hedged-requests.md). Designed for an entry daemon
 * with 10 to 1,600 calls a second. It sends nothing and knows no calls.
 */
class Hedging
{
public:
  Hedging(HedgingConfig aConfig, Clock aClock, Random aRandom);

  bool IsEnabled() const;

  /** Records the first attempt of a call. */
  void RecordCall(std::string_view aService);
  void RecordSecondAttempt(std::string_view aService);

  /**
   * Records how long a first attempt took. Of one that was cancelled because
   * the second was answered, this is less than the response time, but it is
   * known to be slow.
   */
  void RecordResponse(std::string_view aEntry, double aMillis);
  void RecordLoad(std::string_view aService,
                  const EndpointKey& aServer,
                  ServerLoad aLoad);

  /** Records a refusal for lack of capacity. */
  void RecordRefusal(std::string_view aService);

  /** Time after which a call of the entry is slow; empty: not known yet. */
  std::optional<double> SlowAfter(std::string_view aEntry);

  HedgeDecision Decide(const SlowCall& aCall);

  /** Servers of the service that must not get second attempts. */
  std::set<EndpointKey> BusyServers(std::string_view aService) const;

  /**
   * Time until a call without a second attempt is decided again. It is random,
   * so that the daemons whose calls wait at the same server do not all send
   * second attempts at once when the reason ends.
   */
  double NextDecisionIn(double aSlowAfter) const;

private:
  struct Service
  {
    HedgeShare share;
    ServerLoads loads;
    std::optional<double> refusedAt;
  };

  Service& GetOrCreateService(std::string_view aName);
  std::optional<WithheldReason> FindReason(const SlowCall& aCall,
                                           const HedgeDecision& aInputs) const;

  HedgingConfig config;
  Clock clock;
  Random random;
  std::map<std::string, Service, std::less<>> services;
  std::map<std::string, ResponseTimes, std::less<>> responseTimes; // By entry.
};

inline bool
Hedging::IsEnabled() const
{
  return this->config.share > 0;
}

} // namespace lacewingwharf
