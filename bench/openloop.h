#pragma once

#include <curl/curl.h>

#include <sys/prctl.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf::bench {

struct LoadStep
{
  std::string method;
  std::string url;
  double callsPerSecond = 0;
  double warmUpSeconds = 0; // Calls in it are not measured.
  double seconds = 0;
};

struct LoadResult
{
  std::vector<double> latencies;   // Milliseconds since the actual start.
  std::vector<double> startDelays; // Milliseconds from planned to actual start.
  std::uint64_t failed = 0;        // Calls that did not return status 200.
};

/**
 * Open-loop load generator: sends calls at evenly spaced times on reused
 * connections, from the thread that calls Run(). A slow call does not delay the
 * next one. The delay between planned and actual start comes only from the
 * scheduling of the load generator, so it is recorded separately from the
 * latency.
 */
class OpenLoopCaller
{
public:
  OpenLoopCaller();
  ~OpenLoopCaller();

  OpenLoopCaller(const OpenLoopCaller&) = delete;
  OpenLoopCaller& operator=(const OpenLoopCaller&) = delete;

  LoadResult Run(const LoadStep& aStep);

private:
  struct Call
  {
    CURL* handle = nullptr;
    double startedAt = 0;
    bool isMeasured = false;
  };

  static double NowMillis();
  static std::size_t Discard(char*, std::size_t, std::size_t aCount, void*);
  void ConfigureHandle(const LoadStep& aStep, CURL* aHandle);
  void StartCall(const LoadStep& aStep, double aPlannedAt, bool aIsMeasured);
  void CollectFinishedCalls(LoadResult& aResults);
  void WaitUntil(double aMillis);

  CURLM* multi;
  int timer;
  std::vector<std::unique_ptr<Call>> calls; // Owns all calls, active and idle.
  std::vector<Call*> idleCalls;
  std::size_t running = 0;
  LoadResult* results = nullptr;
};

inline OpenLoopCaller::OpenLoopCaller()
  : multi((curl_global_init(CURL_GLOBAL_DEFAULT), curl_multi_init()))
  , timer(timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK))
{
  constexpr long kMaxConnections = 256;
  // The default timer slack of 50 us would delay every planned start.
  prctl(PR_SET_TIMERSLACK, 1);
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxConnections);
}

inline OpenLoopCaller::~OpenLoopCaller()
{
  std::ranges::for_each(this->calls, [this](const auto& aCall) {
    curl_multi_remove_handle(this->multi, aCall->handle);
    curl_easy_cleanup(aCall->handle);
  });
  curl_multi_cleanup(this->multi);
  close(this->timer);
}

inline double
OpenLoopCaller::NowMillis()
{
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) * 1e3 +
         static_cast<double>(now.tv_nsec) / 1e6;
}

inline std::size_t
OpenLoopCaller::Discard(char*, std::size_t, std::size_t aCount, void*)
{
  return aCount;
}

inline void
OpenLoopCaller::ConfigureHandle(const LoadStep& aStep, CURL* aHandle)
{
  constexpr long kTimeLimitMillis = 5000;
  static curl_slist* sHeaders = curl_slist_append(nullptr, "Expect:");
  curl_easy_reset(aHandle);
  curl_easy_setopt(aHandle, CURLOPT_URL, aStep.url.c_str());
  curl_easy_setopt(aHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(aHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aHandle, CURLOPT_TIMEOUT_MS, kTimeLimitMillis);
  curl_easy_setopt(aHandle, CURLOPT_HTTPHEADER, sHeaders);
  curl_easy_setopt(aHandle, CURLOPT_WRITEFUNCTION, &OpenLoopCaller::Discard);
  if (aStep.method == "POST") {
    curl_easy_setopt(aHandle, CURLOPT_POST, 1L);
    curl_easy_setopt(aHandle, CURLOPT_POSTFIELDS, "tag=Bramble");
  }
}

inline void
OpenLoopCaller::StartCall(const LoadStep& aStep,
                          double aPlannedAt,
                          bool aIsMeasured)
{
  if (this->idleCalls.empty()) {
    this->calls.push_back(std::make_unique<Call>());
    this->calls.back()->handle = curl_easy_init();
    this->idleCalls.push_back(this->calls.back().get());
  }
  Call* call = this->idleCalls.back();
  this->idleCalls.pop_back();
  call->isMeasured = aIsMeasured;
  this->ConfigureHandle(aStep, call->handle);
  curl_easy_setopt(call->handle, CURLOPT_PRIVATE, call);
  call->startedAt = NowMillis();
  if (aIsMeasured) {
    this->results->startDelays.push_back(call->startedAt - aPlannedAt);
  }
  curl_multi_add_handle(this->multi, call->handle);
  ++this->running;
}

inline void
OpenLoopCaller::CollectFinishedCalls(LoadResult& aResults)
{
  constexpr long kOk = 200;
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
    const CURLcode result = message->data.result;
    CURL* handle = message->easy_handle;
    Call* call = nullptr;
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &call);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(this->multi, handle);
    --this->running;
    this->idleCalls.push_back(call);
    if (result != CURLE_OK || status != kOk) {
      ++aResults.failed;
    } else if (call->isMeasured) {
      aResults.latencies.push_back(NowMillis() - call->startedAt);
    }
  }
}

/**
 * Waits for network activity or until aMillis. The timeout of curl_multi_poll()
 * has a resolution of 1 ms, so a timer descriptor ends the wait.
 */
inline void
OpenLoopCaller::WaitUntil(double aMillis)
{
  constexpr int kMaxWaitMillis = 100;
  constexpr double kMillisPerSecond = 1000;
  constexpr double kNanosPerMilli = 1e6;
  itimerspec spec{};
  spec.it_value.tv_sec = static_cast<time_t>(aMillis / kMillisPerSecond);
  const double rest =
    aMillis - static_cast<double>(spec.it_value.tv_sec) * kMillisPerSecond;
  spec.it_value.tv_nsec = static_cast<long>(rest * kNanosPerMilli);
  timerfd_settime(this->timer, TFD_TIMER_ABSTIME, &spec, nullptr);
  curl_waitfd wait{ this->timer, CURL_WAIT_POLLIN, 0 };
  curl_multi_poll(this->multi, &wait, 1, kMaxWaitMillis, nullptr);
}

inline LoadResult
OpenLoopCaller::Run(const LoadStep& aStep)
{
  constexpr double kMillisPerSecond = 1000;
  LoadResult result;
  this->results = &result;
  const double interval = kMillisPerSecond / aStep.callsPerSecond;
  const double start = NowMillis() + interval;
  const double measuredFrom = start + aStep.warmUpSeconds * kMillisPerSecond;
  const double end = measuredFrom + aStep.seconds * kMillisPerSecond;
  std::uint64_t startedCount = 0;
  double next = start;
  while (next < end || this->running > 0) {
    while (next < end && next <= NowMillis()) {
      this->StartCall(aStep, next, next >= measuredFrom);
      next = start + static_cast<double>(++startedCount) * interval;
    }
    int active = 0;
    curl_multi_perform(this->multi, &active);
    this->CollectFinishedCalls(result);
    const double now = NowMillis();
    if (next >= end || next > now) {
      this->WaitUntil(next < end ? next : now + kMillisPerSecond);
    }
  }
  this->results = nullptr;
  return result;
}

} // namespace lacewingwharf::bench
