#pragma once

#include "catalogue/delta.h"
#include "peer_types.h"

namespace lacewingwharf {

/** Larger entry texts travel as one zstd frame. */
wire::ConfigBody
ToWire(const Delta& aDelta);

/** Refuses bodies that cannot be unpacked. */
CatalogueResult<Delta>
FromWire(const wire::ConfigBody& aBody);

} // namespace lacewingwharf
