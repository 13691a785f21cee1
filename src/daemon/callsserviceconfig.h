#pragma once

#include "daemon/daemonprotocol.h"
#include "execution/destinationcalls.h"
#include "execution/entrycalls.h"
#include "execution/quarantine.h"
#include "proxy/httpserver.h"
#include "settings/settings.h"
#include "usage/usagegate.h"

#include <cstddef>
#include <cstdint>

namespace lacewingwharf {

// The configurations of the parts of CallsService.

/** The share of one of aDaemons daemons in the retry budget of a site. */
RetryBudgetConfig
SiteRetryBudget(const SiteBounds& aBounds, std::size_t aDaemons);

/** The limits on callers that hold where the catalogue sets none. */
ConnectionLimits
OwnCallerLimits(const Settings& aSettings);

HttpServerConfig
CallServerConfig(const Settings& aSettings, const CallDialect& aDialect);

QuarantineConfig
MakeQuarantineConfig(const Settings& aSettings);

EntryCallsConfig
EntryConfig(const Settings& aSettings,
            const DaemonProtocol& aProtocol,
            std::int64_t aIncarnation);

UsageGateConfig
UsageConfig(const Settings& aSettings,
            const DaemonProtocol& aProtocol,
            std::int64_t aIncarnation);

DestinationCallsConfig
DestinationConfig(const Settings& aSettings,
                  const DaemonProtocol& aProtocol,
                  std::int64_t aIncarnation);

} // namespace lacewingwharf
