#pragma once

#include "catalogue/snapshot.h"
#include "membership/endpointview.h"
#include "peer_types.h"
#include "usage/usageaccountant.h"
#include "usage/usagedecision.h"
#include "usage/usagelinks.h"
#include "usage/usageloans.h"
#include "usage/usagetokens.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

struct UsageGateConfig
{
  std::string host;
  std::int64_t incarnation = 0;
  std::string region;
  UsageTimes times;
};

struct UsageGateHooks
{
  /** Sends a message on a call session; to the own host through a queue. */
  std::function<void(const FleetMember&, wire::Envelope)> send;

  /** Reports the decision about a call that waited. */
  std::function<void(const std::string& aCallId, UsageDecision)> decided;
};

/** What this daemon has counted for one team since its start. */
struct UsageCounts
{
  std::int64_t requested = 0;
  std::int64_t granted = 0;
  std::int64_t returned = 0;
  std::int64_t refused = 0;
};

/** Usage of one team, for metrics and operators. */
struct UsageState
{
  std::string team;
  int rate = 0;
  int burst = 0;
  UsageCounts counts;
  std::vector<std::string> accountants;

  /** Of the pool of this daemon, when halves are lent to it. */
  int halves = 0;
  int poolLeft = 0;
};

/**
 * Decides for each call of a team whether the team's cap allows it. All of a
 * daemon's parts of usage caps meet here: its loans, its pools as an accountant
 * and its tokens as an entry daemon. Without a cap, it does nothing. Designed
 * for 300 members, 83 teams and 30 calls a second at this daemon.
 */
class UsageGate
{
public:
  /** aClock must continue while the host is suspended. */
  UsageGate(UsageGateConfig aConfig, Clock aClock, UsageGateHooks aHooks);

  void SetSnapshot(const SnapshotPtr& aSnapshot);
  void SetView(const EndpointViewPtr& aView);

  /**
   * aRemaining is the time until the deadline of the call, aWaited that since
   * its arrival. A call that has no time left to wait is refused if there is no
   * token.
   */
  UsageDecision Admit(const std::string& aCallId,
                      const Entry& aTeam,
                      WorkClass aClass,
                      Millis aRemaining,
                      Millis aWaited);

  /** Takes back the token of a call that did not run. */
  void GiveBack(const std::string& aTeam, UsageToken aToken);

  /** Ends the waiting of a call, without a decision. */
  void Cancel(const std::string& aTeam, const std::string& aCallId);

  wire::UsageGrant HandleRequest(const wire::UsageRequest& aRequest);
  void HandleGrant(const wire::UsageGrant& aGrant);
  void Tick();

  std::vector<UsageState> States();
  UsageAccountant& Accountant();

private:
  /** What is known of the pool of one accountant. */
  struct Source
  {
    std::string host;
    std::int64_t sequence = 0; // Of the request that is not answered; or 0.
    Millis askedAt = 0;
    Millis noneUntil = 0;        // The pool had no token at the last request.
    Millis unavailableUntil = 0; // It could not answer the last request.
    Millis retryAt = 0;
    int left = 0;

    /** Calls refused since the last request, for the next one. */
    int refused = 0;
  };

  struct Team
  {
    std::string name;
    int group = 0;
    int rate = 0;
    int burst = 0;

    /** Until when accountants may not have the version that added the team. */
    Millis newUntil = 0;
    UsageTokens tokens;
    std::array<Source, kUsageHalves> sources; // In the order of asking.
    UsageCounts counts;
  };

  bool HasCaps() const;
  void ApplyView();
  void UpdateSources(Team& aTeam);
  void HandlePause(Millis aNow);
  void UpdateIsolation(Millis aNow);
  void UpdateAccountants();
  void Serve(Team& aTeam, Millis aNow);
  bool Ask(Team& aTeam, Millis aNow);
  static bool IsTokenDue(const Team& aTeam, Millis aNow);
  void SendRequest(const std::string& aTo,
                   wire::UsageRequest aRequest,
                   Millis aNow);
  static void SetUnavailable(Source& aSource, Millis aNow);
  void StartRound(Millis aNow);
  wire::UsageRequest RoundRequest(const std::string& aTo, Millis aNow);
  void ApplyAnswer(const wire::UsageGrant& aGrant,
                   const wire::UsageAnswer& aAnswer,
                   Millis aSentAt,
                   Millis aNow);
  void ApplyMissingAnswer(const wire::UsageGrant& aGrant,
                          const std::string& aTeam,
                          Millis aNow);
  UsageDecision RefusalOf(Team& aTeam, const std::string& aCallId, Millis aNow);
  void Refuse(Team& aTeam, const UsageWaiter& aWaiter, Millis aNow);

  UsageGateConfig config;
  Clock clock;
  UsageGateHooks hooks;
  UsageAccountant accountant;
  UsageLoans loans;
  UsageLinks links;
  EndpointViewPtr newView; // Not applied yet; null otherwise.
  std::map<std::string, FleetMember> members; // By host.
  SnapshotPtr snapshot;
  std::map<std::string, Team, std::less<>> teams;

  /** The hosts to which this daemon lends or from which it requests tokens. */
  std::vector<std::string> accountants;
  Millis nextRoundAt = 0;
  Millis tickedAt = 0;
};

inline bool
UsageGate::HasCaps() const
{
  return !this->teams.empty();
}

inline UsageAccountant&
UsageGate::Accountant()
{
  return this->accountant;
}

} // namespace lacewingwharf
