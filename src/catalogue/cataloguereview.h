#pragma once

#include "catalogue/cataloguecheck.h"
#include "catalogue/snapshot.h"

#include <string>
#include <vector>

namespace lacewingwharf {

enum class WarningCode
{
  ImpossibleHost,
  ServiceWithoutRoute,
  OwnerWithoutRoutes,
  TeamWithoutKeys,
  TargetAboveDeadline,
  QueueAboveDeadline,
  RetriesAboveAttempts,
  RetriesAboveDeadline,
  BodyAboveListener,
  ConcurrencyAboveOwner,
  RateAboveOwner,
  SplitRepeatsService,
  BurstWithoutRate
};

inline constexpr auto kWarningNames = MakeNameTable<WarningCode>(
  { { WarningCode::ImpossibleHost, "impossible-host" },
    { WarningCode::ServiceWithoutRoute, "service-without-route" },
    { WarningCode::OwnerWithoutRoutes, "owner-without-routes" },
    { WarningCode::TeamWithoutKeys, "team-without-keys" },
    { WarningCode::TargetAboveDeadline, "target-above-deadline" },
    { WarningCode::QueueAboveDeadline, "queue-above-deadline" },
    { WarningCode::RetriesAboveAttempts, "retries-above-attempts" },
    { WarningCode::RetriesAboveDeadline, "retries-above-deadline" },
    { WarningCode::BodyAboveListener, "body-above-listener" },
    { WarningCode::ConcurrencyAboveOwner, "concurrency-above-owner" },
    { WarningCode::RateAboveOwner, "rate-above-owner" },
    { WarningCode::SplitRepeatsService, "split-repeats-service" },
    { WarningCode::BurstWithoutRate, "burst-without-rate" } });

/** Limits of the daemons that no entry can raise. */
struct ReviewBounds
{
  int maxAttempts = 1; // Of a call.
};

/**
 * Finds what is allowed in a catalogue, but can't be meant: entries that no
 * call ever uses, and limits that never apply because of others. Designed for
 * catalogues of some ten thousand entries; the time is proportional to their
 * number.
 */
class CatalogueReview
{
public:
  CatalogueReview(SnapshotPtr aSnapshot, ReviewBounds aBounds);

  /** Returns all warnings, sorted by entry. */
  std::vector<Finding> FindWarnings();

private:
  void CheckUse();
  void CheckHost(const Entry& aRoute);

  void CheckLimits();
  void CheckTimes(const AcceptedEntry& aRoute);
  void CheckRetries(const AcceptedEntry& aRoute);
  void CheckBody(const AcceptedEntry& aRoute);
  void CheckAgainstOwner(const Entry& aRoute);
  void CheckSplit(const Entry& aRoute);
  void CheckTeam(const Entry& aTeam);

  void Warn(WarningCode aCode, const Entry& aEntry, std::string aDetail);

  SnapshotPtr snapshot;
  ReviewBounds bounds;
  std::vector<Finding> findings;
};

} // namespace lacewingwharf
