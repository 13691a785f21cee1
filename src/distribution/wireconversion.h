#pragma once

#include "catalogue/delta.h"
#include "peer_types.h"

namespace lacewingwharf {

/**
 * Converts a delta to its wire form. Larger lists of entries are sent as one
 * zstd frame.
 */
wire::ConfigBody
ToWire(const Delta& aDelta);

/**
 * Converts a body from its wire form. Returns an error if it cannot be
 * unpacked.
 */
CatalogueResult<Delta>
FromWire(const wire::ConfigBody& aBody);

} // namespace lacewingwharf
