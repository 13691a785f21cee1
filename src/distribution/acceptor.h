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

  /**
   * Revision of the edit. For a rejected deletion, the revision of the entry
   * that is kept.
   */
  std::int64_t revision = 0;
  CatalogueErrorCode code = CatalogueErrorCode::BadField;
  std::string reason;

  bool operator==(const Rejection&) const = default;
};

/** The next version, if there is one, and the edits that were rejected. */
struct Decision
{
  SnapshotPtr next; // Null if there is nothing to accept.
  std::optional<Delta> delta;
  std::vector<Rejection> rejections; // Sorted by entry.
};

/**
 * Builds the next version from the held snapshot and the complete list of
 * catalogue objects. The result depends only on the arguments.
 */
Decision
DecideNext(const Snapshot& aHeld, const ObjectList& aCatalogue);

/**
 * Builds the first version of the next store epoch, for a store that was
 * restored to an older state. The version has the content of aHeld. Entries
 * that the store lost get revision 0; the others get their revision in the
 * restored store, but at most aFloorRevision. aFloorRevision is the store's
 * revision when the restore was detected; later writes are treated as edits.
 */
Decision
DecideNextEpoch(const Snapshot& aHeld,
                const ObjectList& aCatalogue,
                std::int64_t aFloorRevision);

} // namespace lacewingwharf
