#pragma once

#include "common/clock.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Tells when a new process has asked enough others for their version, so that
 * it does not serve an older one than it could have.
 */
class StartRule
{
public:
  /**
   * aRequiredAnswers is 0 where the store itself always has the newest version.
   */
  StartRule(Clock aClock,
            Millis aStartWait,
            std::size_t aRequiredAnswers = kDefaultRequiredAnswers);

  static constexpr std::size_t kDefaultRequiredAnswers = 3;

  /** Those of aPeers that are to be asked now, for the first time or again. */
  std::vector<std::string> TakeDue(const std::vector<std::string>& aPeers);
  void RecordPeerAnswer(const std::string& aHost);
  void RecordPlatformAnswer();

  /** True once enough have answered, or startwait has passed. */
  bool IsComplete(bool aIsBehind);

  /**
   * True once the versions of the peers are known well enough to publish the
   * next one. When the store was restored to an older state and the acceptor
   * restarts, the newest version is only with its peers.
   */
  bool MayPublish() const;

private:
  bool IsDue(const std::string& aPeer) const;

  Clock clock;
  Millis startedAt;
  Millis startWait;
  std::size_t requiredAnswers;
  std::size_t knownPeers = 0;
  std::map<std::string, Millis, std::less<>> lastQueryAt; // With the last time.
  std::set<std::string, std::less<>> answered;
  bool isPlatformAnswered = false;
  bool isComplete = false;
};

} // namespace lacewingwharf
