#pragma once

#include "catalogue/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

/** One changed entry in the form in which it is sent and stored. */
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

/**
 * Returns the difference between aBase and a version that is given by all of
 * its entries.
 */
CatalogueResult<Delta>
DeltaToEntries(const Snapshot& aBase,
               VersionStamp aStamp,
               std::vector<ChangedEntry> aEntries);

/**
 * Returns the valid, complete snapshot that aDelta leads to. Checks the base
 * version and the content hash.
 */
CatalogueResult<SnapshotPtr>
Apply(const Snapshot& aBase, const Delta& aDelta);

/**
 * Content of the objects accepted/N and snapshot/N in the platform's store.
 * They are encoded as JSON.
 */
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
