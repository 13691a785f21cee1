#include "daemon/siteservice.h"

#include "common/log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("site");
constexpr std::size_t kMaxBodyBytes = 65536;
constexpr unsigned int kMaxConnections = 64;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

HttpServerConfig
ServerConfig(const SocketAddress& aAddress)
{
  HttpServerConfig config;
  config.address = aAddress.address;
  config.port = aAddress.port;
  config.limits.request.bodyBytes = kMaxBodyBytes;
  config.maxConnections = kMaxConnections;
  return config;
}

HttpAnswer
JsonAnswer(int aStatus, const nlohmann::json& aBody)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.headers["Content-Type"] = "application/json";
  answer.body = aBody.dump();
  return answer;
}

} // namespace

SiteService::SiteService(const SiteSettings& aSettings,
                         SiteHttpInterface aHttpInterface,
                         SiteServiceHooks aHooks)
  : httpInterface(std::move(aHttpInterface))
  , hooks(std::move(aHooks))
  , readiness(ServerConfig(aSettings.readiness),
              { [this](RequestId aId, const HttpRequest& aRequest) {
                 this->readiness.Answer(aId, this->AnswerReadiness(aRequest));
               },
                [](RequestId) {} })
  , reports(ServerConfig(aSettings.announcements),
            { [this](RequestId aId, const HttpRequest& aRequest) {
               this->HandleReport(aId, aRequest);
             },
              [](RequestId) {} })
{
}

bool
SiteService::Start()
{
  return this->readiness.Start() && this->reports.Start();
}

void
SiteService::SetLeaving()
{
  this->isLeaving = true;
}

void
SiteService::Stop()
{
  this->readiness.Stop();
  this->reports.Stop();
}

HttpAnswer
SiteService::AnswerReadiness(const HttpRequest& aRequest) const
{
  if (aRequest.path != this->httpInterface.readinessPath) {
    return JsonAnswer(kNotFound, { { "error", "not found" } });
  }
  const bool isReady = !this->isLeaving && this->hooks.isReady();
  return JsonAnswer(isReady ? kOk : kUnavailable, { { "ready", isReady } });
}

void
SiteService::HandleReport(RequestId aId, const HttpRequest& aRequest)
{
  auto report = this->httpInterface.parseReport(aRequest);
  if (!report) {
    const ReportRefusal& refusal = report.error();
    kLog.Warning("refused report {}: {}", aRequest.target, refusal.detail);
    this->reports.Answer(
      aId, JsonAnswer(refusal.status, { { "error", refusal.detail } }));
    return;
  }
  this->hooks.handleServerReport(
    std::move(report).value(), [this, aId](ReportDecision aDecision) {
      // Old and foreign reports are acknowledged, too: their sender cannot
      // correct them, and no other daemon has more information to judge them.
      const bool isStored = aDecision != ReportDecision::NotStored;
      this->reports.Answer(
        aId,
        isStored ? JsonAnswer(kOk, nlohmann::json::object())
                 : JsonAnswer(kUnavailable, { { "error", "not stored yet" } }));
    });
}

} // namespace lacewingwharf
