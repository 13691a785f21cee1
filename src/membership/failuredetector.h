#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "peer_types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

class MemberTable;

struct FailureDetectorConfig
{
  std::string self;
  std::string region;
  Millis interval = 1000;
  Millis suspicionTime = 3000;
};

struct FailureDetectorHooks
{
  std::function<void(const std::string& aHost, std::int64_t aSequence)> ping;
  std::function<void(const std::string& aVia,
                     const std::string& aTarget,
                     std::int64_t aSequence)>
    pingRequest;
  std::function<void(const std::string& aHost)> suspect;
  std::function<void(const std::string& aHost)> declareDead;
};

/**
 * SWIM failure detection among the members of the table. Members of other
 * regions are probed less often: their own region detects their faults, and a
 * few probes carry the news across. The detector first checks for faults
 * of its own: a pause of this process or a partition that isolates it does not
 * lead to other members being declared dead.
 */
class FailureDetector
{
public:
  FailureDetector(FailureDetectorConfig aConfig,
                  Random aRandom,
                  FailureDetectorHooks aHooks);

  /** True if the time since the last tick shows a pause of the process. */
  bool Tick(Millis aNow, const MemberTable& aTable);

  /** Ends the current probe if the ack belongs to it. */
  void HandleProbeAck(const std::string& aHost, std::int64_t aSequence);

  /**
   * Starts or ends the suspicion of a member. Called for every record that
   * changed in the table.
   */
  void UpdateSuspicion(const wire::MemberRecord& aRecord, Millis aNow);

  /**
   * Returns the next sequence number of a ping. Pings on behalf of other
   * members use numbers from the same sequence.
   */
  std::int64_t NextSequence();

  bool IsSuspected(const std::string& aHost) const;

  /** Whether this daemon seems partitioned; it then declares no member dead. */
  bool IsPartitioned() const;

private:
  struct Probe
  {
    std::string host;
    std::int64_t sequence = 0;
    Millis sentAt = 0;
    bool isIndirect = false;
  };

  struct ProbeResult
  {
    std::string host;
    bool isAnswered = false;
  };

  bool DetectPause(Millis aNow);
  void RestartSuspicions(Millis aNow);
  void AdvanceProbe(Millis aNow, const MemberTable& aTable);
  void SendPingRequests(const MemberTable& aTable);
  void StartProbe(Millis aNow, const MemberTable& aTable);
  std::optional<std::string> NextTarget(const MemberTable& aTable);
  std::vector<std::string> TargetsOfRound(const MemberTable& aTable) const;
  void EndProbe(bool aIsAnswered);
  bool LooksPartitioned(const MemberTable& aTable) const;
  bool RecentProbesFailed() const;
  void UpdatePartitionState(Millis aNow, const MemberTable& aTable);
  void ExpireSuspicions(Millis aNow);

  FailureDetectorConfig config;
  Random random;
  FailureDetectorHooks hooks;
  std::optional<Millis> lastTick;
  Millis nextProbeAt = 0;
  std::int64_t sequence = 0;
  std::optional<Probe> probe;
  std::vector<std::string> targets;
  std::deque<ProbeResult> recentProbes;
  std::map<std::string, Millis> suspicionDeadlines;
  bool isPartitioned = false;
};

inline std::int64_t
FailureDetector::NextSequence()
{
  return ++this->sequence;
}

inline bool
FailureDetector::IsSuspected(const std::string& aHost) const
{
  return this->suspicionDeadlines.contains(aHost);
}

inline bool
FailureDetector::IsPartitioned() const
{
  return this->isPartitioned;
}

} // namespace lacewingwharf
