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

/** Numbers have 20 digits, so that names sort by version. */
std::string
AcceptedObjectName(std::int64_t aVersion);
std::string
SnapshotObjectName(std::int64_t aVersion);

/** The version in a name under aPrefix; 0 when it has none. */
std::int64_t
ParseVersionOfName(std::string_view aPrefix, std::string_view aName);

/** The decodable objects of a list under accepted/, by version. */
std::vector<AcceptedObject>
DecodeAcceptedList(const ObjectList& aList);

/** What leads from a held version to the store's newest one. */
struct ChainReadResult
{
  std::int64_t newest = 0; // 0 when the store has no accepted version.
  std::vector<Delta> deltas;
};

/**
 * Reads the accepted versions after aHeld; where deltas are missing, the
 * newest version as a whole. Blocks.
 */
PlatformResult<ChainReadResult>
ReadChain(const ObjectStore& aStore, std::int64_t aHeld);

/** Reads the newest version as a whole, whatever is held. Blocks. */
PlatformResult<ChainReadResult>
ReadNewestWhole(const ObjectStore& aStore);

/** Counts for the log of one compaction. */
struct CompactionCounts
{
  int accepted = 0;
  int snapshots = 0;
};

/**
 * Writes snapshot/N and removes the accepted versions that are older than the
 * snapshot before it. Blocks.
 */
PlatformResult<CompactionCounts>
WriteSnapshot(const ObjectStore& aStore,
              const Snapshot& aSnapshot,
              const std::string& aWriter);

} // namespace lacewingwharf
