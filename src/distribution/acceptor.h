#pragma once

#include "catalogue/delta.h"
#include "store/objectstore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

inline constexpr std::string_view kCataloguePrefix = "catalogue/";

/** An edit that was not accepted; its entry keeps its last accepted value. */
struct Rejection
{
  std::string entry;

  /** Of the edit; for a refused deletion the revision of the kept entry. */
  std::int64_t revision = 0;
  CatalogueErrorCode code = CatalogueErrorCode::BadField;
  std::string reason;

  bool operator==(const Rejection&) const = default;
};

/** The next version, if there is one, and the edits left out of it. */
struct Decision
{
  SnapshotPtr next; // Null when there is nothing to accept.
  std::optional<Delta> delta;
  std::vector<Rejection> rejections; // Sorted by entry.
};

/**
 * Decides the next version from the held snapshot and the whole list of
 * catalogue objects. Pure: the result depends on the arguments only.
 */
Decision
DecideNext(const Snapshot& aHeld, const ObjectList& aCatalogue);

/**
 * The first version of the next store epoch, for a store that was restored to
 * an older state. It has the content of aHeld, with the revisions that the
 * restored store has; revision 0 marks entries that the store lost.
 * aFloorRevision is the store's revision when the restore was detected; later
 * writes are edits.
 */
Decision
DecideNextEpoch(const Snapshot& aHeld,
                const ObjectList& aCatalogue,
                std::int64_t aFloorRevision);

} // namespace lacewingwharf
