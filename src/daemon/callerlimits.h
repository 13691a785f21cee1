#pragma once

#include "catalogue/entry.h"
#include "proxy/connectionlimits.h"

namespace lacewingwharf {

/**
 * The limits on callers: those of the catalogue where it sets any, otherwise
 * aOwn. Bodies are also bounded by aOwn, which says what this host can hold.
 */
ConnectionLimits
CallerLimits(const ConnectionLimits& aOwn, const ListenerLimits& aCatalogue);

} // namespace lacewingwharf
