#pragma once

#include "catalogue/snapshot.h"

#include <string>
#include <vector>

namespace lacewingwharf {

/** A rule that two entries of one catalogue break together. */
struct Conflict
{
  CatalogueErrorCode code = CatalogueErrorCode::DanglingReference;

  /** The route that dangles, or one of two entries that match the same. */
  std::string entry;

  /** The missing service, or the other entry. */
  std::string other;
  std::string detail;
};

/** Every broken rule; empty when the entries make a valid snapshot. */
std::vector<Conflict>
FindConflicts(const AcceptedEntries& aEntries);

} // namespace lacewingwharf
