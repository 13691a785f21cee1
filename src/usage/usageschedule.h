#pragma once

#include "catalogue/snapshot.h"
#include "common/clock.h"
#include "usage/usagetimes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace lacewingwharf::testing {

/** A fault that a schedule injects into the caps themselves. */
enum class UsageFault
{
  None,
  FullBucketAtStart,
  SpentAfterExpiry,
  LentTwice,
  NewTeamStartsFull,
  IncompleteMembers // A started daemon divides by the members that it knows.
};

/** What happens in a schedule. */
struct UsageSchedule
{
  std::uint64_t seed = 1;
  int hosts = 4;
  UsageBound bound;
  int rate = 30;
  int burst = 10;
  Millis length = 12000;

  /** Calls before are not counted: loans and pools start empty. */
  Millis warmUp = 2500;

  /** Load as a multiple of the cap; fixed, or random periods up to it. */
  double load = 6;
  bool isLoadSteady = false;

  /** Arrivals are independent of each other instead of about evenly spaced. */
  bool isBursty = false;
  bool hasTroubles = true;

  /** Restarts, joins and long partitions instead of troubles by the seed. */
  bool isOftenCutOff = false;

  /** When all hosts begin to die and start again; 0 for never. */
  Millis restartAllAt = 0;
  int restarts = 1; // Of all hosts, one after the other.

  /** In a restart of all, some hosts are cut off, and some of these live on. */
  bool isCutOffAtRestart = false;

  /** The team is removed and added again while the load goes on. */
  bool hasVersions = false;
  UsageFault fault = UsageFault::None;
};

/** Calls of one second at daemons that accept calls. */
struct UsageSecond
{
  int offered = 0;
  int granted = 0;
};

/** Something that happens at a time; events of one time keep their order. */
struct UsageEvent
{
  Millis at = 0;
  std::uint64_t order = 0;
  std::function<void()> run;

  bool operator<(const UsageEvent& aOther) const
  {
    return std::pair(this->at, this->order) >
           std::pair(aOther.at, aOther.order);
  }
};

inline SnapshotPtr
SnapshotOfTeam(const std::string& aTeam, int aRate, int aBurst)
{
  auto accepted = std::make_shared<AcceptedEntry>();
  accepted->entry.name = aTeam;
  accepted->entry.kind = EntryKind::Team;
  accepted->entry.team.ratePerSecond = aRate;
  accepted->entry.team.burst = aBurst;
  VersionStamp stamp;
  stamp.version = 1;
  return Snapshot::Build(stamp, { { aTeam, accepted } }).value();
}

} // namespace lacewingwharf::testing
