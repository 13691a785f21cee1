#pragma once

#include "catalogue/cataloguecheck.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lacewingwharf {

/** What a review of a catalogue found. */
struct ReviewReport
{
  std::size_t entryCount = 0;
  std::vector<Finding> findings;

  std::ptrdiff_t Count(FindingLevel aLevel) const;
};

/** Returns one line per finding and a summary. */
std::string
FormatReviewText(const ReviewReport& aReport);

std::string
FormatReviewJson(const ReviewReport& aReport);

} // namespace lacewingwharf
