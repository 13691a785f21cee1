#include "store/platformworker.h"

#include "common/log.h"

namespace lacewingwharf {

namespace {

constexpr Log kLog("platform");
constexpr Millis kPopTimeout = 1000;

// A throttled call has no effect, so it is retried after the backoff. A job
// that fails is repeated from its first call. Without this retry, a job of
// several calls could therefore never finish on a platform that accepts fewer
// calls in a row.
constexpr int kMaxThrottledAttempts = 4;
constexpr Millis kMaxThrottledWait = 1000;

} // namespace

PlatformWorker::PlatformWorker(ObjectStore aStore,
                               std::size_t aCapacity,
                               Post aPost,
                               CallBudgetConfig aBudget,
                               Random aRandom)
  : counts(std::make_shared<CallCounts>())
  , store(WrapStore(CountCalls(std::move(aStore), this->counts),
                    [this](CallKind, const auto& aCall) {
                      return this->RunWithinBudget(aCall);
                    }))
  , post(std::move(aPost))
  , budget(aBudget, Clock::Steady(), std::move(aRandom))
  , jobs(aCapacity)
{
}

PlatformWorker::~PlatformWorker()
{
  this->Stop();
}

void
PlatformWorker::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void
PlatformWorker::Stop()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isStopping = true;
  }
  this->stopped.notify_all();
  this->jobs.Close();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

bool
PlatformWorker::Submit(PlatformJob aJob)
{
  return this->jobs.Push(std::move(aJob));
}

void
PlatformWorker::Run()
{
  while (!this->jobs.IsClosed()) {
    const auto job = this->jobs.Pop(kPopTimeout);
    if (!job) {
      continue;
    }
    Completion completion = (*job)(this->store);
    if (completion) {
      this->post(std::move(completion));
    }
  }
}

std::optional<PlatformError>
PlatformWorker::RunWithinBudget(
  const std::function<std::optional<PlatformError>()>& aCall)
{
  if (this->mustEndBackoff.exchange(false)) {
    this->budget.RecordResult(std::nullopt);
  }
  if (auto backoffError = this->budget.BackoffError()) {
    return backoffError;
  }
  std::optional<PlatformError> error;
  for (int attempt = 0; attempt < kMaxThrottledAttempts; ++attempt) {
    if (!this->WaitForToken()) {
      return PlatformError{ PlatformErrorCode::Unreachable,
                            "not sent: shutting down" };
    }
    error = this->RunOnce(aCall);
    const bool isThrottled =
      error && error->code == PlatformErrorCode::Throttled;
    if (!isThrottled || !this->WaitForBackoff()) {
      return error;
    }
  }
  return error;
}

std::optional<PlatformError>
PlatformWorker::RunOnce(
  const std::function<std::optional<PlatformError>()>& aCall)
{
  auto error = aCall();
  if (!error || !IsPlatformFailure(error->code)) {
    this->budget.RecordResult(std::nullopt);
    return error;
  }
  kLog.Warning("call failed: {} ({})",
               kPlatformErrorNames.NameOf(error->code),
               error->detail);
  this->budget.RecordResult(error->code);
  return error;
}

bool
PlatformWorker::WaitForBackoff()
{
  const Millis wait = this->budget.RemainingBackoff();
  if (wait > kMaxThrottledWait) {
    return false;
  }
  std::unique_lock lock(this->mutex);
  this->stopped.wait_for(
    lock, std::chrono::milliseconds(wait), [this] { return this->isStopping; });
  return true;
}

bool
PlatformWorker::WaitForToken()
{
  std::unique_lock lock(this->mutex);
  while (!this->isStopping) {
    const Millis wait = this->budget.TakeTokenOrGetDelay();
    if (wait == 0) {
      return true;
    }
    this->stopped.wait_for(lock, std::chrono::milliseconds(wait));
  }
  return false;
}

} // namespace lacewingwharf
