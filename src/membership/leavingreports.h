#pragma once

#include "common/clock.h"
#include "membership/localserver.h"

#include <functional>
#include <vector>

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

  /** Starts to store the leaving; returns whether the store already has it. */
  using Store = std::function<bool(const LeavingServer&)>;

  LeavingReports(Clock aClock, Store aStore);

  void Handle(const LeavingServer& aLeaving, Answer aAnswer);

  /** Acknowledges the reports of a leaving that the store has accepted. */
  void HandleStored(const LeavingServer& aLeaving);

  /** Answers the reports whose time is up. */
  void Tick();

private:
  struct PendingReport
  {
    LeavingServer leaving;
    Answer answer;
    Millis dueAt = 0;
  };

  std::vector<PendingReport> TakeIf(
    const std::function<bool(const PendingReport&)>& aIsTaken);

  Clock clock;
  Store store;

  // Each report occupies a connection of the server that takes them, which
  // bounds their number.
  std::vector<PendingReport> pending;
};

} // namespace lacewingwharf
