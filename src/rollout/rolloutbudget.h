#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** The newest report of a daemon's process and what it may send. */
struct RolloutReporter
{
  std::int64_t incarnation = 0;
  std::int64_t stamp = 0;
  bool isAnswered = false; // The report with this stamp.
  std::int64_t sequence = 0;
  wire::RolloutState::type state = wire::RolloutState::NONE;
  std::int64_t requests = 0;
  std::int64_t exposed = 0;
  std::int64_t limit = 0; // Highest number of requests that it was allowed.
  std::int64_t othersRunning = 0;
  Millis reportedAt = 0;
  Millis validUntil = 0; // End of the last share, by the decider's clock.
};

/**
 * The exposure of a target version over all daemons. A request that a daemon
 * was allowed to send counts as sent, whether or not it is reported, so lost
 * messages and daemons that die cannot exceed the budget.
 */
class RolloutBudget
{
public:
  /** aShare: of all requests; aSlack: a number of requests besides. */
  RolloutBudget(double aShare, double aSlack);

  /** Null if the report is of an earlier process or older than the newest. */
  RolloutReporter* Merge(const wire::RolloutReport& aReport, Millis aNow);

  /** Null if the daemon has not reported. */
  RolloutReporter* Find(const std::string& aHost);
  const RolloutReporter* Find(const std::string& aHost) const;

  /** Sorted by their requests, the highest number first. */
  std::vector<RolloutReporter*> ByRequests();
  const std::map<std::string, RolloutReporter>& Reporters() const;

  /**
   * Raises the reporter's limit by up to aNeed above what it has sent, within
   * the budget, and so that all daemons together may send aOpen requests.
   */
  void Grant(RolloutReporter& aReporter,
             std::int64_t aNeed,
             std::int64_t aOpen);

  /** Counts the whole budget so far as sent. */
  void CountAllAsSent();

  std::int64_t Requests() const;

  /** Upper bound of the requests sent to the target version. */
  std::int64_t Exposure() const;

  /** Exposure() without what running daemons were allowed and did not send. */
  std::int64_t Reported() const;
  double Budget() const;

private:
  double share;
  double slack;
  std::map<std::string, RolloutReporter> reporters; // By host.
  std::int64_t retiredRequests = 0; // Of processes that have ended.
  std::int64_t retiredExposure = 0;
};

inline const std::map<std::string, RolloutReporter>&
RolloutBudget::Reporters() const
{
  return this->reporters;
}

} // namespace lacewingwharf
