#pragma once

#include "catalogue/cataloguecheck.h"
#include "catalogue/cataloguedifferences.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** The differences from another catalogue. */
struct ReviewDifferences
{
  std::string base; // Describes the other catalogue.
  std::vector<EntryDifference> entries;
};

/** What a review of a catalogue found. */
struct ReviewReport
{
  std::size_t entryCount = 0;
  std::vector<Finding> findings;
  std::optional<ReviewDifferences> differences; // Empty if not compared.

  std::ptrdiff_t Count(FindingLevel aLevel) const;
};

/** Returns one line per finding, a summary, and a line per changed entry. */
std::string
FormatReviewText(const ReviewReport& aReport);

std::string
FormatReviewJson(const ReviewReport& aReport);

} // namespace lacewingwharf
