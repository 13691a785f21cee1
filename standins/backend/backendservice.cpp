#include "backendservice.h"

#include "common/log.h"
#include "httpserver/pattern.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Log kLog("lww-backend");
constexpr unsigned int kBadRequest = 400;
constexpr unsigned int kNotFound = 404;
constexpr unsigned int kUnavailable = 503;
constexpr unsigned int kGatewayTimeout = 504;
constexpr int kCrashExitCode = 70;
constexpr const char* kCallIdHeader = "lacewingwharf-call-id";
constexpr const char* kDeadlineHeader = "lacewingwharf-deadline-ms";

StandinAnswer
TextAnswer(unsigned int aStatus, std::string aText)
{
  StandinAnswer answer;
  answer.status = aStatus;
  answer.body = std::move(aText);
  return answer;
}

StandinAnswer
BusyAnswer()
{
  StandinAnswer answer = TextAnswer(kUnavailable, "no free slot\n");
  answer.headers.emplace_back("Retry-After", "1");
  return answer;
}

} // namespace

BackendService::BackendService(BackendConfig aConfig,
                               Scheduler aScheduler,
                               std::function<void()> aOnStateChange)
  : config(aConfig)
  , schedule(std::move(aScheduler))
  , onStateChange(std::move(aOnStateChange))
{
  this->behaviour.serviceTime = aConfig.serviceTime;
}

void
BackendService::Handle(const Exchange& aExchange)
{
  if (this->HandleTestRequest(aExchange)) {
    return;
  }
  const StandinRequest& request = aExchange->Request();
  const std::lock_guard lock(this->mutex);
  const std::string& crash = this->behaviour.crashText;
  if (!crash.empty() && (request.path.find(crash) != std::string::npos ||
                         request.body.find(crash) != std::string::npos)) {
    kLog.Warning("exiting: a request contains the crash text {}", crash);
    std::_Exit(kCrashExitCode);
  }
  if (this->behaviour.reusedConnectionsToClose > 0 &&
      request.indexOnConnection > 0) {
    --this->behaviour.reusedConnectionsToClose;
    this->CountRun(request);
    aExchange->Abort();
    return;
  }
  const std::string deadline = request.Header(kDeadlineHeader);
  if (!deadline.empty() && std::atoll(deadline.c_str()) <= 0) {
    ++this->late;
    aExchange->Answer(TextAnswer(kGatewayTimeout, "the deadline passed\n"));
    return;
  }
  if (!this->isReady || this->running >= this->config.slots) {
    ++this->shed;
    aExchange->Answer(BusyAnswer());
    return;
  }
  this->StartRun(aExchange);
}

bool
BackendService::HandleTestRequest(const Exchange& aExchange)
{
  const StandinRequest& request = aExchange->Request();
  if (!request.path.starts_with("/test/")) {
    return false;
  }
  if (request.path == "/test/behaviour" && request.method == "POST") {
    this->HandleBehaviour(aExchange);
  } else if (request.path == "/test/runs") {
    aExchange->Answer(TextAnswer(200, this->RunsAsJson()));
  } else {
    aExchange->Answer(TextAnswer(kNotFound, "no such test path"));
  }
  return true;
}

void
BackendService::HandleBehaviour(const Exchange& aExchange)
{
  std::optional<std::string> problem;
  bool mustDrain = false;
  {
    const std::lock_guard lock(this->mutex);
    problem = ApplyBehaviourJson(aExchange->Request().body, this->behaviour);
    mustDrain = this->behaviour.mustDrain;
  }
  if (problem) {
    aExchange->Answer(TextAnswer(kBadRequest, *problem));
    return;
  }
  if (mustDrain) {
    this->StartDraining();
  }
  this->onStateChange();
  aExchange->Answer(TextAnswer(200, "{}"));
}

void
BackendService::StartRun(const Exchange& aExchange)
{
  const StandinRequest& request = aExchange->Request();
  this->CountRun(request);
  ++this->running;
  this->maxRunning = std::max(this->maxRunning, this->running);
  const auto run = std::make_shared<RunState>();
  aExchange->SetOnDisconnect([this, run] { this->EndRun(run, true); });
  if (this->behaviour.isStalled) {
    return;
  }
  Millis time = this->behaviour.serviceTime;
  const std::string deadline = request.Header(kDeadlineHeader);
  if (!deadline.empty()) {
    time = std::min<Millis>(time, std::atoll(deadline.c_str()));
  }
  this->schedule(time,
                 [this, aExchange, run] { this->Finish(aExchange, run); });
}

void
BackendService::CountRun(const StandinRequest& aRequest)
{
  ++this->total;
  const std::string callId = aRequest.Header(kCallIdHeader);
  if (!callId.empty()) {
    ++this->runsByCall[callId];
  }
  const std::string key = aRequest.Header("idempotency-key");
  if (!key.empty()) {
    ++this->runsByKey[key];
  }
}

void
BackendService::Finish(const Exchange& aExchange, const RunPointer& aRun)
{
  StandinAnswer answer;
  {
    const std::lock_guard lock(this->mutex);
    answer = this->MakeAnswer(aExchange->Request());
    ++this->answering;
  }
  // Before the answer: whoever gets it may use the slot at once.
  this->EndRun(aRun, false);
  aExchange->Answer(std::move(answer));
  const std::lock_guard lock(this->mutex);
  --this->answering;
}

/** Frees the slot of a run once, also if its caller disconnects as it ends. */
void
BackendService::EndRun(const RunPointer& aRun, bool aIsCancelled)
{
  const std::lock_guard lock(this->mutex);
  if (std::exchange(aRun->hasEnded, true)) {
    return;
  }
  --this->running;
  this->cancelled += aIsCancelled ? 1 : 0;
}

StandinAnswer
BackendService::MakeAnswer(const StandinRequest& aRequest)
{
  StandinAnswer answer;
  const std::string deadline = aRequest.Header(kDeadlineHeader);
  if (!deadline.empty() &&
      std::atoll(deadline.c_str()) < this->behaviour.serviceTime) {
    return TextAnswer(kGatewayTimeout, "stopped at the deadline\n");
  }
  const std::string pattern = aRequest.Header("x-pattern");
  answer.body = pattern.empty() ? aRequest.method + " " + aRequest.path + "\n"
                                : MakeBodyForPatternHeader(pattern);
  answer.headers.emplace_back("X-Pattern", pattern);
  answer.headers.emplace_back("Lacewingwharf-Call-Id",
                              aRequest.Header(kCallIdHeader));
  answer.pieceBytes = this->behaviour.pieceBytes;
  answer.pieceDelay = this->behaviour.pieceDelay;
  if (this->behaviour.answersToCut > 0) {
    --this->behaviour.answersToCut;
    answer.cutAfterBytes = answer.body.size() / 2;
  }
  return answer;
}

void
BackendService::SetReady()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isReady = true;
  }
  this->onStateChange();
}

void
BackendService::StartDraining()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isDraining = true;
  }
  this->onStateChange();
}

std::string
BackendService::Announcement() const
{
  const std::lock_guard lock(this->mutex);
  if (this->behaviour.isSilent) {
    return {};
  }
  std::string state = this->isReady ? "ready" : "starting";
  if (this->isDraining) {
    state = "draining";
  }
  if (!this->behaviour.announcedState.empty()) {
    state = this->behaviour.announcedState;
  }
  return Json{
    { "port", this->config.port },
    { "slots", this->behaviour.announcedSlots.value_or(this->config.slots) },
    { "connections", this->config.connections },
    { "state", state }
  }.dump();
}

bool
BackendService::IsIdle() const
{
  const std::lock_guard lock(this->mutex);
  return this->running == 0 && this->answering == 0;
}

std::string
BackendService::RunsAsJson() const
{
  const std::lock_guard lock(this->mutex);
  return Json{
    { "total", this->total },         { "max_concurrent", this->maxRunning },
    { "running", this->running },     { "shed", this->shed },
    { "cancelled", this->cancelled }, { "late", this->late },
    { "calls", this->runsByCall },    { "keys", this->runsByKey }
  }.dump();
}

} // namespace lacewingwharf
