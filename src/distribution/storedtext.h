#pragma once

#include "catalogue/delta.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** The largest value that the platform stores. */
inline constexpr std::size_t kMaxStoredBytes = 1U << 20U;

/**
 * Text of accepted/N and snapshot/N. Larger ones are a JSON object with a zstd
 * frame in base64, since the platform's values are text and are limited.
 */
std::string
EncodeStored(const AcceptedObject& aObject);

/** Reads both forms. */
CatalogueResult<AcceptedObject>
DecodeStored(std::string_view aText);

/** True when aSnapshot can be stored as one snapshot/N. */
bool
FitsInStore(const Snapshot& aSnapshot);

} // namespace lacewingwharf
