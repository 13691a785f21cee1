#pragma once

#include "common/clock.h"
#include "membership/localserver.h"

#include <cstdint>
#include <functional>
#include <map>

namespace lacewingwharf {

/**
 * Answers the reports of a server that is leaving. An acknowledgement is a
 * promise that a restart of the daemon does not undo, so it is given only once
 * the store has the leaving. A report that is not stored in time is answered
 * with NotStored; the server then reports again.
 */
class LeavingReports
{
public:
  using Answer = std::function<void(ReportDecision)>;

  /** Calls the function that it is given once the store has the leaving. */
  using Store =
    std::function<void(const LeavingServer&, std::function<void()> aDone)>;

  LeavingReports(Clock aClock, Store aStore);

  void Handle(const LeavingServer& aLeaving, Answer aAnswer);

  /** Answers the reports whose time is up. */
  void Tick();

private:
  struct PendingReport
  {
    Answer answer;
    Millis dueAt = 0;
  };

  void AnswerReport(std::uint64_t aNumber, ReportDecision aDecision);

  Clock clock;
  Store store;
  std::map<std::uint64_t, PendingReport> pending;
  std::uint64_t lastNumber = 0;
};

} // namespace lacewingwharf
