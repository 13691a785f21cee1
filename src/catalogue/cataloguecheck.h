#pragma once

#include "catalogue/delta.h"

#include <string>
#include <vector>

namespace lacewingwharf {

enum class FindingLevel
{
  Error,
  Warning
};

inline constexpr auto kFindingLevelNames = MakeNameTable<FindingLevel>(
  { { FindingLevel::Error, "error" }, { FindingLevel::Warning, "warning" } });

/**
 * A fault of a catalogue that was not submitted yet. The code of an error is
 * that of the daemons' validation.
 */
struct Finding
{
  FindingLevel level = FindingLevel::Error;
  std::string code;
  std::string entry; // Empty if the catalogue as a whole is concerned.
  std::string detail;

  bool operator==(const Finding&) const = default;
};

/** The findings of a whole catalogue, and its content if none is an error. */
struct CatalogueCheck
{
  std::vector<Finding> findings; // Sorted by entry.
  SnapshotPtr snapshot;          // Null if there are errors.
};

Finding
ErrorFinding(const CatalogueError& aError);

/** The code of the warning about a name that several entries have. */
inline constexpr const char* kRepeatedNameCode = "repeated-name";

/**
 * Validates all entries of a catalogue with the functions that daemons use.
 * Reports every entry that is not valid and every conflict among the others. If
 * a name occurs several times, the last entry counts, as for daemons; a warning
 * says that the others have no effect.
 */
CatalogueCheck
CheckCatalogue(VersionStamp aStamp, const std::vector<ChangedEntry>& aEntries);

} // namespace lacewingwharf
