#pragma once

#include "peer_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** How an attempt at a server ended, as far as it says something of it. */
struct ServerResult
{
  /** The server has the request, or may have it. */
  bool hasReached = true;

  /** The server or its daemon answered, so the fields below are known. */
  bool isAnswer = false;
  bool isFailure = false;
  double serviceMillis = 0;
  bool isTimeUseful = true; // False while the server may be cold.
};

/**
 * Counts of one daemon for one service since an order. They only grow, so that
 * a lost report costs nothing: a later one contains the same and more.
 */
class RolloutReports
{
public:
  /**
   * Starts new counts for a later order. aIsSameVersion: the order before was
   * for the same version and did not end, so what was sent to the version
   * counts for the new one. This happens if the store has lost the order.
   */
  void SetOrder(std::int64_t aOrder, bool aIsSameVersion = false);
  std::int64_t Order() const;

  void RecordStart(bool aIsTarget);

  /** aOrder is the order at the attempt's start. */
  void RecordEnd(std::int64_t aOrder,
                 const std::string& aRoute,
                 bool aIsTarget,
                 const ServerResult& aResult);

  /** Repeats all routes in the next reports, for a new decider. */
  void RepeatAll();

  /** Requests sent to the target version since the order. */
  std::int64_t Exposed() const;

  /**
   * Fills the counts of one or more reports. A report fits a datagram and has
   * the routes that changed since the one before the last, and some others.
   */
  std::vector<wire::RolloutReport> Take(const wire::RolloutReport& aHead);

private:
  struct Row
  {
    wire::RolloutCounts counts;
    std::uint64_t changedIn = 0; // Round of the last change.
  };
  using RowKey = std::pair<std::string, bool>;

  void AddRepair(std::vector<wire::RolloutCounts>& aRows);

  std::int64_t order = 0;
  std::int64_t requests = 0;
  std::int64_t exposed = 0;
  std::uint64_t round = 1;
  std::map<RowKey, Row> rows;
  RowKey repaired; // The last row that was repeated without a change.
  std::size_t repeatsLeft = 0; // Rows that a new decider may lack.
};

inline void
RolloutReports::RepeatAll()
{
  this->repeatsLeft = this->rows.size();
}

inline std::int64_t
RolloutReports::Order() const
{
  return this->order;
}

inline std::int64_t
RolloutReports::Exposed() const
{
  return this->exposed;
}

} // namespace lacewingwharf
