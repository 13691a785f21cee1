#pragma once

#include "membership/endpointview.h"
#include "peer_types.h"
#include "usage/usagetimes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** The exchange of a daemon with its accountants: requests and replies. */
class UsageLinks
{
public:
  UsageLinks(std::string aHost, std::int64_t aIncarnation, UsageTimes aTimes);

  /** Numbers and stamps a request to aTo. */
  void Prepare(const std::string& aTo,
               wire::UsageRequest& aRequest,
               Millis aNow);

  /** A request that is not answered yet. */
  struct Pending
  {
    Millis sentAt = 0;
    std::vector<wire::UsageNeed> needs;
  };

  /**
   * The request that this reply answers; nothing for a reply that was received
   * before.
   */
  std::optional<Pending> Accept(const wire::UsageGrant& aGrant, Millis aNow);

  /** Whether a request only to lend is due. */
  bool IsDue(const std::string& aTo, Millis aNow) const;

  /** Makes a request due at once. */
  void SetDue(const std::string& aTo);

  /** Whether the accountant has not replied for a while although asked. */
  bool IsSilent(const std::string& aTo, Millis aNow) const;

  /** Counts the time without replies from aNow. */
  void RestartSilence(Millis aNow);

  /** Time since the last reply; negative when there was none. */
  Millis AgeOf(const std::string& aTo, Millis aNow) const;

  /** Forgets hosts that are not listed. */
  void Keep(const std::vector<std::string>& aHosts);

private:
  struct Link
  {
    std::int64_t incarnation = 0;
    std::int64_t stamp = 0;
    std::int64_t answered = 0; // Highest sequence with a reply.
    Millis sentAt = 0;
    bool isDue = false;
    Millis repliedAt = 0;
    std::optional<Millis> unansweredSince;
    std::map<std::int64_t, Pending> pending; // By sequence.
  };

  std::string host;
  std::int64_t incarnation;
  UsageTimes times;
  std::int64_t nextSequence = 1;
  std::map<std::string, Link> links;
};

} // namespace lacewingwharf
