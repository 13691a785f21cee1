#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "peer_types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

enum class QuarantineDecision
{
  Free,
  RunAlone, // Nothing beside it on the backend server, no automatic retry.
  Refused
};

inline constexpr auto kQuarantineDecisionNames =
  MakeNameTable<QuarantineDecision>(
    { { QuarantineDecision::Free, "free" },
      { QuarantineDecision::RunAlone, "run-alone" },
      { QuarantineDecision::Refused, "refused" } });

struct QuarantineConfig
{
  std::string host;
  Millis duration = 600000;
  std::size_t maxDigests = 4096;
  int maxSends = 12; // Of one mark by one daemon.
};

/**
 * Requests, by digest, during which backend servers were lost. Each daemon
 * counts the losses it saw; counts of different daemons add up and merge
 * commutatively.
 */
class Quarantine
{
public:
  Quarantine(QuarantineConfig aConfig, Clock aClock);

  QuarantineDecision Check(std::int64_t aDigest);

  /** The backend server that ran the request was lost. */
  void CountLoss(std::int64_t aDigest);

  /** Another daemon reported a loss; its own mark may come later. */
  void CountRemoteLoss(std::int64_t aDigest, const std::string& aHost);

  void Merge(const std::vector<wire::QuarantineMark>& aMarks);

  /** Marks for one message, least sent first. */
  std::vector<wire::QuarantineMark> TakeCrashReports(std::size_t aCount);

  std::size_t Size() const;

private:
  struct Count
  {
    int losses = 0;
    Millis expiresAt = 0;
    int sent = 0;
  };

  using Counts = std::map<std::int64_t, Count>; // By origin.

  bool MergeOne(std::int64_t aDigest, std::int64_t aOrigin, Count aCount);
  void Expire();
  void EvictOne();
  static int LossesOf(const Counts& aCounts);

  QuarantineConfig config;
  Clock clock;
  std::int64_t origin;
  std::map<std::int64_t, Counts> digests;
};

inline std::size_t
Quarantine::Size() const
{
  return this->digests.size();
}

} // namespace lacewingwharf
