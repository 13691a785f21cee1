#pragma once

#include "catalogue/snapshot.h"

#include <string>
#include <vector>

namespace lacewingwharf {

/** A rule that entries of one catalogue break in combination. */
struct Conflict
{
  CatalogueErrorCode code = CatalogueErrorCode::DanglingReference;

  /**
   * The route that refers to a missing service, or one of two entries with the
   * same match.
   */
  std::string entry;

  /** The missing service, or the other entry. */
  std::string other;
  std::string detail;
};

/**
 * Returns the conflicts of all entries; none when the entries form a valid
 * snapshot. A route is reported with at most one other route, so that the
 * number of conflicts does not grow with the square of the routes. This is
 * enough for the acceptor: entries in force are valid, so the first conflict
 * always has a pending edit, which it rejects before it checks again.
 */
std::vector<Conflict>
FindConflicts(const AcceptedEntries& aEntries);

} // namespace lacewingwharf
