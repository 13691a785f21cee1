#pragma once

#include "common/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Decides when a new process has received the version numbers of enough other
 * daemons, so that it does not serve an outdated version.
 */
class StartRule
{
public:
  /**
   * aRequiredAnswers is the number of peers that must answer. It is 0 if the
   * store always has the newest version.
   */
  StartRule(Clock aClock,
            Millis aStartWait,
            std::size_t aRequiredAnswers = kDefaultRequiredAnswers);

  static constexpr std::size_t kDefaultRequiredAnswers = 3;

  /**
   * Returns those of aPeers that are to be queried now, for the first time or
   * again, and records the queries.
   */
  std::vector<std::string> TakeDue(const std::vector<std::string>& aPeers);
  void RecordPeerAnswer(const std::string& aHost);
  void RecordPlatformAnswer();

  /**
   * Returns true once enough peers and the platform have answered and no newer
   * version is known, or once startwait has passed. A peer that knows the held
   * version to be the newest (aIsConfirmed) replaces the answer of the
   * platform.
   */
  bool IsComplete(bool aIsBehind, bool aIsConfirmed = false);

  /**
   * Returns true once enough peers have answered for the acceptor to publish
   * the next version, or once it has waited long enough for them. If the store
   * was restored to an older state and the acceptor restarts, only its peers
   * have the newest version.
   */
  bool MayPublish() const;

private:
  bool IsDue(const std::string& aPeer) const;
  void ForgetAnswered();

  Clock clock;
  Millis startedAt;
  Millis startWait;
  std::size_t requiredAnswers;
  std::size_t knownPeers = 0;
  std::map<std::string, Millis, std::less<>> lastQueryAt; // By peer.
  std::set<std::string, std::less<>> answered;
  bool hasPlatformAnswered = false;
  bool isComplete = false;
};

} // namespace lacewingwharf
