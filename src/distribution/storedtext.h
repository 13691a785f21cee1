#pragma once

#include "catalogue/delta.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** The largest value that the platform stores. */
inline constexpr std::size_t kMaxStoredBytes = 1U << 20U;

/**
 * Returns the text of accepted/N or snapshot/N. Larger texts become a JSON
 * object with a zstd frame in base64, because the platform's values are text
 * and limited in size.
 */
std::string
EncodeStored(const AcceptedObject& aObject);

/** Decodes plain and compressed texts. */
CatalogueResult<AcceptedObject>
DecodeStored(std::string_view aText);

/** Returns true if aSnapshot fits in one object snapshot/N. */
bool
FitsInStore(const Snapshot& aSnapshot);

} // namespace lacewingwharf
