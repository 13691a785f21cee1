#pragma once

#include "catalogue/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** One changed entry as it travels and is stored. */
struct ChangedEntry
{
  std::string name;
  std::int64_t revision = 0;
  std::string text;
};

/**
 * The difference between two versions, or a whole version when isWhole is set
 * (base is then 0 and changed lists every entry).
 */
struct Delta
{
  std::int64_t base = 0;
  VersionStamp stamp;
  std::uint64_t contentHash = 0;
  std::vector<ChangedEntry> changed;
  std::vector<std::string> removed;
  bool isWhole = false;
};

Delta
DeltaBetween(const Snapshot& aBase, const Snapshot& aNext);

Delta
MakeWholeDelta(const Snapshot& aSnapshot);

/** What leads from aBase to a version that is given with all its entries. */
CatalogueResult<Delta>
DeltaToEntries(const Snapshot& aBase,
               VersionStamp aStamp,
               std::vector<ChangedEntry> aEntries);

/** Checks base and content hash; the result is a valid whole snapshot. */
CatalogueResult<SnapshotPtr>
Apply(const Snapshot& aBase, const Delta& aDelta);

/** JSON text of accepted/N and snapshot/N in the platform. */
struct AcceptedObject
{
  Delta delta;
  std::string writer;
  std::string nonce;
};

std::string
EncodeAccepted(const AcceptedObject& aObject);

CatalogueResult<AcceptedObject>
DecodeAccepted(std::string_view aText);

} // namespace lacewingwharf
