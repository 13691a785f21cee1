#pragma once

#include "daemon/daemonprotocol.h"
#include "proxy/httpserver.h"
#include "settings/settings.h"

#include <atomic>
#include <functional>

namespace lacewingwharf {

struct SiteServiceHooks
{
  /** Returns whether this daemon can serve calls. */
  std::function<bool()> isReady;

  /** Calls aDone once, on any thread, when the report is in effect. */
  std::function<void(ServerReport, std::function<void(ReportDecision)> aDone)>
    handleServerReport;
};

/**
 * The two HTTP servers that a site requires: one answers the platform's
 * readiness checks, the other takes the reports of the backend server on this
 * host.
 */
class SiteService
{
public:
  SiteService(const SiteSettings& aSettings,
              SiteHttpInterface aHttpInterface,
              SiteServiceHooks aHooks);

  bool Start();

  /** Makes all later readiness checks fail. */
  void SetLeaving();
  void Stop();

private:
  HttpAnswer AnswerReadiness(const HttpRequest& aRequest) const;
  void HandleReport(RequestId aId, const HttpRequest& aRequest);

  SiteHttpInterface httpInterface;
  SiteServiceHooks hooks;
  std::atomic<bool> isLeaving{ false };
  HttpServer readiness;
  HttpServer reports;
};

} // namespace lacewingwharf
