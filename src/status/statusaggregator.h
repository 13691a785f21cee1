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
 * object per entry. It writes an entry at most once every 5 s and at most 20
 * objects per second. The entries written least recently are written first.
 */
class StatusAggregator
{
public:
  /** Passes an object, with only name and value set, to the platform thread. */
  using Write = std::function<void(const StoredObject&)>;

  StatusAggregator(std::string aDomain, Clock aWallClock, Write aWrite);

  void Merge(const wire::StatusReport& aReport);

  /** Writes the entries that are due. Call it several times a second. */
  void Tick();

private:
  struct Report
  {
    wire::EntryReport report;
    Millis receivedAt = 0;
  };

  struct Entry
  {
    std::map<std::string, Report> reportsByHost; // Latest report of each.
    Millis writtenAt = 0;
    bool isChanged = false;
  };

  using Entries = std::map<std::string, Entry>;

  void DropOldReports(Entry& aEntry, Millis aNow) const;
  bool IsDue(const Entry& aEntry, Millis aNow) const;
  bool IsWriteAllowed(Millis aNow);
  DomainStatus MergeReports(const std::string& aName,
                            const Entry& aEntry,
                            Millis aNow) const;

  std::string domain;
  Clock clock;
  Write write;
  Entries entries;
  std::map<std::string, std::string> ownersByEntry; // Kept for the last write.
  std::deque<Millis> recentWrites;
};

} // namespace lacewingwharf
