#pragma once

#include "status/domainstatus.h"
#include "store/objectstore.h"

#include <peer_types.h>

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace lacewingwharf {

/**
 * Merges the reports of the daemons of one failure domain into one status
 * object per entry. It writes an entry at most once in 5 s and at most 20
 * objects a second; entries that have waited longest are written first.
 */
class StatusAggregator
{
public:
  /** Gives an object to the platform thread; only name and value are set. */
  using Write = std::function<void(const StoredObject&)>;

  StatusAggregator(std::string aDomain, Clock aWallClock, Write aWrite);

  void Merge(const wire::StatusReport& aReport);

  /** Writes what is due; to be called several times a second. */
  void Tick();

private:
  struct Report
  {
    wire::EntryReport report;
    Millis at = 0;
  };

  struct Entry
  {
    std::map<std::string, Report> byHost; // The latest of each daemon.
    Millis writtenAt = 0;
    bool isChanged = false;
  };

  using Entries = std::map<std::string, Entry>;

  void DropOldReports(Entry& aEntry, Millis aNow) const;
  bool IsDue(const Entry& aEntry, Millis aNow) const;
  bool MayWrite(Millis aNow);
  DomainStatus Merged(const std::string& aName,
                      const Entry& aEntry,
                      Millis aNow) const;

  std::string domain;
  Clock clock;
  Write write;
  Entries entries;
  std::map<std::string, std::string> owners; // By entry, for its last object.
  std::deque<Millis> recentWrites;
};

} // namespace lacewingwharf
