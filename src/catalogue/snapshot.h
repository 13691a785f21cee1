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
 * An entry with the text and platform revision it was accepted at. Revision 0
 * marks an entry that a store restored to an older state no longer has.
 */
struct AcceptedEntry
{
  Entry entry;
  std::int64_t revision = 0;
  std::string text;
};

using AcceptedEntries =
  std::map<std::string, std::shared_ptr<const AcceptedEntry>, std::less<>>;

/** Where a version stands in the history of the platform's store. */
struct VersionStamp
{
  std::int64_t version = 0;
  std::int64_t storeEpoch = 0;
  std::int64_t floorRevision = 0;
};

/**
 * One whole, immutable version of the catalogue. It can only be built valid:
 * no route refers to a service that is missing from the same snapshot.
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

  /** Hash of version stamp and all entry names, revisions and texts. */
  std::uint64_t ContentHash() const;
  const AcceptedEntries& Entries() const;

  /** Null when there is no such entry. */
  const AcceptedEntry* Find(std::string_view aName) const;

  /**
   * The route entry with the longest path or prefix, or null. Routes of the
   * host go before those of any host.
   */
  const Entry* MatchRoute(HttpMethod aMethod,
                          std::string_view aPath,
                          std::string_view aHost = {}) const;

  /** The owner entry that limits aOwner, or null. */
  const Entry* OwnerLimits(std::string_view aOwner) const;

  /** Highest platform revision of any entry; 0 when there is none. */
  std::int64_t HighestRevision() const;

private:
  /** Lets lookups take a string_view without making a string. */
  struct TextHash
  {
    using is_transparent = void;
    std::size_t operator()(std::string_view aText) const;
  };

  template<typename Value>
  using ByText =
    std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  using ByMethod = std::array<const Entry*, kHttpMethodNames.Rows().size()>;

  /** The routes of one host, or those of any host. */
  struct RouteTable
  {
    ByText<ByMethod> paths;
    ByText<ByMethod> prefixes;
  };

  Snapshot() = default;

  void Index();
  void IndexRoute(const Entry& aRoute);
  static const Entry* Lookup(const ByText<ByMethod>& aRoutes,
                             std::string_view aText,
                             HttpMethod aMethod);
  static const Entry* MatchIn(const RouteTable& aTable,
                              HttpMethod aMethod,
                              std::string_view aPath);

  VersionStamp stamp;
  std::uint64_t contentHash = 0;
  AcceptedEntries entries;
  ByText<RouteTable> routesByHost;
  ByText<const Entry*> ownerLimits;
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

inline const AcceptedEntries&
Snapshot::Entries() const
{
  return this->entries;
}

} // namespace lacewingwharf
