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

/** Returns all conflicts; none when the entries form a valid snapshot. */
std::vector<Conflict>
FindConflicts(const AcceptedEntries& aEntries);

} // namespace lacewingwharf
