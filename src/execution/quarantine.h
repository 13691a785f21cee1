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
  RunAlone, // Alone on its backend server, without automatic retries.
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
  int maxSends = 12; // Of one crash report by one daemon.
};

/**
 * Counts, by request digest, the backend servers that were lost while they ran
 * the request. Each daemon counts the losses that it observes. The counts of
 * different daemons are added, and merging is commutative.
 */
class Quarantine
{
public:
  Quarantine(QuarantineConfig aConfig, Clock aClock);

  QuarantineDecision Check(std::int64_t aDigest);

  /** Counts the loss of the backend server that ran the request. */
  void CountLoss(std::int64_t aDigest);

  /**
   * Counts a loss that the daemon of aHost reported; its crash report may
   * arrive later.
   */
  void CountRemoteLoss(std::int64_t aDigest, const std::string& aHost);

  void Merge(const std::vector<wire::QuarantineMark>& aReports);

  /** Crash reports for one message, those sent least often first. */
  std::vector<wire::QuarantineMark> TakeCrashReports(std::size_t aCount);

  std::size_t Size() const;

  /** Returns how many requests are refused. */
  std::size_t CountRefused();

private:
  struct Count
  {
    int losses = 0;
    Millis expiresAt = 0;
    int sent = 0;
  };

  using Counts = std::map<std::int64_t, Count>; // By hash of the host.

  bool MergeOne(std::int64_t aDigest, std::int64_t aOrigin, Count aCount);
  void Expire();
  void EvictDigest();
  static int TotalLosses(const Counts& aCounts);

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
