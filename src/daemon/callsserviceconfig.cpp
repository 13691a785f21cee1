#include "daemon/callsserviceconfig.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// Until the configuration of a site is known, connections stay open for longer
// than callers reuse them under usual configurations.
constexpr Millis kSiteIdleTimeout = 90000;

// A cut link delivers the rest of a body or takes the rest of an answer later.
constexpr Millis kSiteStallTimeout = 90000;

// Time limit of a call status query. It is short because the caller waits for
// the result.
constexpr Millis kSiteQueryWait = 600;

// Share of a site's retry budget for the retries that daemons send themselves.
// The rest covers the calls that a backend server makes again when a request is
// repeated at it.
constexpr double kDaemonRetryShare = 0.5;

constexpr double kBytesPerMilliOfMbit = 125; // Of 1 Mbit/s.

// Share of the host's link for large answers, and for large requests in each
// direction. The rest is for small ones, messages between daemons and headers
// of packets. Outgoing answers and requests do not share it, see
// docs/design/large-requests.md.
constexpr double kLinkShareOfLargeBodies = 0.85;

/** Returns 0 if the rate of the link is not known. */
double
LargeBodyRate(const Settings& aSettings)
{
  return aSettings.linkRate * kBytesPerMilliOfMbit * kLinkShareOfLargeBodies;
}

} // namespace

RetryBudgetConfig
SiteRetryBudget(const SiteBounds& aBounds, std::size_t aDaemons)
{
  constexpr double kMillisPerSecond = 1000;
  const double daemons = std::max<double>(1, static_cast<double>(aDaemons));
  const double window =
    static_cast<double>(aBounds.retryWindow) / kMillisPerSecond;
  RetryBudgetConfig config;
  config.perSuccess = aBounds.retryRatio * kDaemonRetryShare;
  config.perSecond =
    aBounds.extraRetries * kDaemonRetryShare / window / daemons;
  // Half of the retries of a window, so that a burst after a period without
  // retries stays within the budget.
  config.burst = std::max(1.0, config.perSecond * window / 2);
  return config;
}

ConnectionLimits
OwnCallerLimits(const Settings& aSettings)
{
  ConnectionLimits limits;
  limits.request.bodyBytes = static_cast<std::size_t>(aSettings.maxBodyBytes);
  if (aSettings.site.protocol != ProtocolKind::Own) {
    // A request that comes before the configuration must be refused as not run,
    // so that its caller repeats it, and not for the length of its head.
    limits.request.headBytes = kMaxListenerHeadBytes;
    limits.idleTimeout = kSiteIdleTimeout;
    limits.stallTimeout = kSiteStallTimeout;
  }
  return limits;
}

HttpServerConfig
CallServerConfig(const Settings& aSettings, const CallDialect& aDialect)
{
  HttpServerConfig config;
  config.address = aSettings.address;
  config.port = aSettings.callPort;
  config.limits = OwnCallerLimits(aSettings);
  config.maxConnections = static_cast<std::size_t>(aSettings.maxConnections);
  config.pipeline.requests =
    static_cast<std::size_t>(aSettings.pipelineRequests);
  config.pipeline.connectionBytes =
    static_cast<std::size_t>(aSettings.pipelineBytes);
  config.pipeline.totalBytes =
    static_cast<std::size_t>(aSettings.pipelineTotalBytes);
  config.memory.totalBytes = static_cast<std::size_t>(aSettings.callerBytes);
  config.memory.connectionBytes =
    static_cast<std::size_t>(aSettings.callerConnectionBytes);
  config.memory.addressBytes =
    static_cast<std::size_t>(aSettings.callerAddressBytes);
  config.memory.addressConnections =
    static_cast<std::size_t>(aSettings.callerAddressConnections);
  if (aSettings.site.protocol != ProtocolKind::Own) {
    config.address = aSettings.site.calls.address;
    config.port = aSettings.site.calls.port;
  }
  config.makesRoom = true;
  config.requestIdHeader = aDialect.requestIdHeader;
  return config;
}

QuarantineConfig
MakeQuarantineConfig(const Settings& aSettings)
{
  QuarantineConfig config;
  config.host = aSettings.host;
  return config;
}

EntryCallsConfig
EntryConfig(const Settings& aSettings,
            const DaemonProtocol& aProtocol,
            std::int64_t aIncarnation)
{
  EntryCallsConfig config;
  config.host = aSettings.host;
  config.incarnation = aIncarnation;
  config.claimWait = aSettings.claimWait;
  config.dialect = aProtocol.dialect;
  config.service = aSettings.site.service;
  config.hedging.share = aSettings.hedgeShare;
  config.requestBytesPerMilli = LargeBodyRate(aSettings);
  if (aProtocol.documents) {
    config.rolloutTime = aProtocol.bounds.versionRolloutTime;
  }
  if (aSettings.site.protocol != ProtocolKind::Own) {
    config.queryWait = kSiteQueryWait;
    config.retryBudget = SiteRetryBudget(aProtocol.bounds, 1);
    config.retriesServerErrors = true;
    config.retriesCapacityRefusals = true;
  }
  return config;
}

UsageGateConfig
UsageConfig(const Settings& aSettings,
            const DaemonProtocol& aProtocol,
            std::int64_t aIncarnation)
{
  return { aSettings.host,
           aIncarnation,
           aSettings.region,
           MakeUsageTimes(aProtocol.bounds.usage) };
}

DestinationCallsConfig
DestinationConfig(const Settings& aSettings,
                  const DaemonProtocol& aProtocol,
                  std::int64_t aIncarnation)
{
  DestinationCallsConfig config;
  config.host = aSettings.host;
  config.address = aSettings.address;
  config.incarnation = aIncarnation;
  config.dialect = aProtocol.dialect;
  // As what the entry part of this daemon may hold of requests.
  config.maxRequestBytes = static_cast<std::size_t>(aSettings.callerBytes) / 2;
  config.acceptsUnknownEntries = aProtocol.documents.has_value();
  config.answerBytesPerMilli = LargeBodyRate(aSettings);
  config.requestBytesPerMilli = LargeBodyRate(aSettings);
  if (aSettings.site.protocol != ProtocolKind::Own) {
    config.address = aSettings.site.server.address;
  }
  return config;
}

} // namespace lacewingwharf
