#pragma once

#include "daemon/daemonprotocol.h"
#include "proxy/httpserver.h"
#include "settings/settings.h"

#include <atomic>
#include <functional>

namespace lacewingwharf {

struct SiteServiceHooks
{
  /** Whether this daemon can serve calls. */
  std::function<bool()> isReady;

  /** aDone is called once, from any thread, when the report is in effect. */
  std::function<void(ServerReport, std::function<void(ReportDecision)> aDone)>
    takeReport;
};

/**
 * The addresses of a site for the platform's question whether this daemon is
 * ready, and for the reports of the server on this host.
 */
class SiteService
{
public:
  SiteService(const SiteSettings& aSettings,
              SiteCalls aCalls,
              SiteServiceHooks aHooks);

  bool Start();

  /** Answers that this daemon is not ready from now on. */
  void SetLeaving();
  void Stop();

private:
  HttpAnswer AnswerReadiness(const HttpRequest& aRequest) const;
  void HandleReport(RequestId aId, const HttpRequest& aRequest);

  SiteCalls calls;
  SiteServiceHooks hooks;
  std::atomic<bool> isLeaving{ false };
  HttpServer readiness;
  HttpServer reports;
};

} // namespace lacewingwharf
