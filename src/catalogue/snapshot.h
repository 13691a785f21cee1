#pragma once

#include "catalogue/entry.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewingwharf {

class Snapshot;
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/**
 * An entry with the text and the platform revision at which it was accepted.
 * Revision 0 marks an entry that the store no longer has because the store was
 * restored to an older state.
 */
struct AcceptedEntry
{
  Entry entry;
  std::int64_t revision = 0;
  std::string text;
};

using AcceptedEntries =
  std::map<std::string, std::shared_ptr<const AcceptedEntry>, std::less<>>;

/** Position of a version in the history of the platform's store. */
struct VersionStamp
{
  std::int64_t version = 0;
  std::int64_t storeEpoch = 0;
  std::int64_t floorRevision = 0;
};

/**
 * One complete, immutable version of the catalogue. Build() only creates valid
 * snapshots: no route refers to a service that is missing from the same
 * snapshot.
 */
class Snapshot
{
public:
  static CatalogueResult<SnapshotPtr> Build(VersionStamp aStamp,
                                            AcceptedEntries aEntries);

  /** Version 0 with no entries. */
  static SnapshotPtr Empty();

  std::int64_t Version() const;
  const VersionStamp& Stamp() const;

  /**
   * Hash of the version stamp and of the names, revisions and texts of all
   * entries.
   */
  std::uint64_t ContentHash() const;
  const AcceptedEntries& Entries() const;

  /** Null when there is no such entry. */
  const AcceptedEntry* Find(std::string_view aName) const;

  /**
   * Returns the matching route entry with the longest path or prefix, or null.
   * Routes of aHost take precedence over those of any host.
   */
  const Entry* MatchRoute(HttpMethod aMethod,
                          std::string_view aPath,
                          std::string_view aHost = {}) const;

  /** The owner entry that limits aOwner, or null. */
  const Entry* OwnerLimits(std::string_view aOwner) const;

  /** Whether callers need the key of a team, except on exempt routes. */
  bool RequiresKeys() const;

  /** The team with this digest of a key, or null. */
  const Entry* FindTeamByKey(std::string_view aDigest) const;

  /** All team entries, sorted by name. */
  const std::vector<const Entry*>& Teams() const;

  /** What callers may send; the defaults without a listener entry. */
  ListenerLimits CallerLimits() const;

  /** Highest platform revision of any entry; 0 without entries. */
  std::int64_t HighestRevision() const;

private:
  /** Allows lookups by string_view without constructing a string. */
  struct StringHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const;
  };

  template<typename Value>
  using StringMap =
    std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

  using ByMethod = std::array<const Entry*, kHttpMethodNames.Rows().size()>;

  /** The routes for one Host header, or those for any host. */
  struct RouteTable
  {
    StringMap<ByMethod> paths;
    StringMap<ByMethod> prefixes;
  };

  Snapshot() = default;

  void BuildIndexes();
  void IndexRoute(const Entry& aRoute);
  void IndexTeam(const Entry& aTeam);
  static const Entry* FindRoute(const StringMap<ByMethod>& aRoutes,
                                std::string_view aText,
                                HttpMethod aMethod);
  static const Entry* MatchInTable(const RouteTable& aTable,
                                   HttpMethod aMethod,
                                   std::string_view aPath);

  VersionStamp stamp;
  std::uint64_t contentHash = 0;
  AcceptedEntries entries;
  StringMap<RouteTable> routesByHost;
  StringMap<const Entry*> ownerLimits;
  const Entry* listener = nullptr;
  std::vector<const Entry*> teams;
  StringMap<const Entry*> teamsByKey;
};

inline std::int64_t
Snapshot::Version() const
{
  return this->stamp.version;
}

inline const VersionStamp&
Snapshot::Stamp() const
{
  return this->stamp;
}

inline std::uint64_t
Snapshot::ContentHash() const
{
  return this->contentHash;
}

inline bool
Snapshot::RequiresKeys() const
{
  return !this->teams.empty();
}

inline const std::vector<const Entry*>&
Snapshot::Teams() const
{
  return this->teams;
}

inline const AcceptedEntries&
Snapshot::Entries() const
{
  return this->entries;
}

} // namespace lacewingwharf
