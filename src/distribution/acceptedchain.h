#pragma once

#include "catalogue/delta.h"
#include "store/objectstore.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

inline constexpr std::string_view kAcceptedPrefix = "accepted/";
inline constexpr std::string_view kSnapshotPrefix = "snapshot/";

/**
 * Object names contain the version with 20 digits, so that they sort by
 * version.
 */
std::string
AcceptedObjectName(std::int64_t aVersion);
std::string
SnapshotObjectName(std::int64_t aVersion);

/**
 * Returns the version in an object name that starts with aPrefix, or 0 if the
 * name has none.
 */
std::int64_t
ParseVersionOfName(std::string_view aPrefix, std::string_view aName);

/**
 * Decodes a list of accepted/ and sorts it by version. Deleted objects are
 * skipped, and so are malformed ones, which are logged.
 */
std::vector<AcceptedObject>
DecodeAcceptedList(const ObjectList& aList);

/** The deltas that lead from a held version to the newest one in the store. */
struct ChainReadResult
{
  std::int64_t newest = 0; // 0 if the store has no accepted version.
  std::vector<Delta> deltas;
};

/**
 * Reads the accepted versions after aHeld. If deltas are missing, returns the
 * newest version as one whole delta instead. Blocks.
 */
PlatformResult<ChainReadResult>
ReadChain(const ObjectStore& aStore, std::int64_t aHeld);

/**
 * Reads the newest version as one whole delta, regardless of the held version.
 * Blocks.
 */
PlatformResult<ChainReadResult>
ReadNewestWhole(const ObjectStore& aStore);

/** Numbers of objects that one compaction removed. */
struct CompactionCounts
{
  int accepted = 0;
  int snapshots = 0;
};

/**
 * Writes snapshot/N. Then removes the accepted versions and the snapshots that
 * are older than the previous snapshot. Blocks.
 */
PlatformResult<CompactionCounts>
WriteSnapshot(const ObjectStore& aStore,
              const Snapshot& aSnapshot,
              const std::string& aWriter);

} // namespace lacewingwharf
