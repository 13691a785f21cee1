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
  double perSecond = 0;
  double warmUpSeconds = 0; // Not counted.
  double seconds = 0;
};

struct LoadFigures
{
  std::vector<double> latencies; // Milliseconds from the real start.
  std::vector<double> lags;      // Milliseconds from planned to real start.
  std::uint64_t failed = 0;      // Calls without a 200.
};

/**
 * Sends calls at evenly spaced times on reused connections, from the thread
 * that calls Run(). A call that is slow does not delay the next one. The delay
 * between planned and real start is only the caller's own scheduling, so it is
 * kept apart from the latency.
 */
class OpenLoopCaller
{
public:
  OpenLoopCaller();
  ~OpenLoopCaller();

  OpenLoopCaller(const OpenLoopCaller&) = delete;
  OpenLoopCaller& operator=(const OpenLoopCaller&) = delete;

  LoadFigures Run(const LoadStep& aStep);

private:
  struct Call
  {
    CURL* handle = nullptr;
    double startedAt = 0;
    bool counts = false;
  };

  static double NowMillis();
  static std::size_t Discard(char*, std::size_t, std::size_t aCount, void*);
  void Prepare(const LoadStep& aStep, CURL* aHandle);
  void Begin(const LoadStep& aStep, double aPlannedAt, bool aCounts);
  void Collect(LoadFigures& aFigures);
  void WaitUntil(double aMillis);

  CURLM* multi;
  int timer;
  std::vector<std::unique_ptr<Call>> calls; // All that were ever needed.
  std::vector<Call*> spareCalls;
  std::size_t running = 0;
  LoadFigures* figures = nullptr;
};

inline OpenLoopCaller::OpenLoopCaller()
  : multi((curl_global_init(CURL_GLOBAL_DEFAULT), curl_multi_init()))
  , timer(timerfd_create(CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK))
{
  constexpr long kMaxConnections = 256;
  // The default slack of 50 us would be part of each planned start.
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
OpenLoopCaller::Prepare(const LoadStep& aStep, CURL* aHandle)
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
OpenLoopCaller::Begin(const LoadStep& aStep, double aPlannedAt, bool aCounts)
{
  if (this->spareCalls.empty()) {
    this->calls.push_back(std::make_unique<Call>());
    this->calls.back()->handle = curl_easy_init();
    this->spareCalls.push_back(this->calls.back().get());
  }
  Call* call = this->spareCalls.back();
  this->spareCalls.pop_back();
  call->counts = aCounts;
  this->Prepare(aStep, call->handle);
  curl_easy_setopt(call->handle, CURLOPT_PRIVATE, call);
  call->startedAt = NowMillis();
  if (aCounts) {
    this->figures->lags.push_back(call->startedAt - aPlannedAt);
  }
  curl_multi_add_handle(this->multi, call->handle);
  ++this->running;
}

inline void
OpenLoopCaller::Collect(LoadFigures& aFigures)
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
    this->spareCalls.push_back(call);
    if (result != CURLE_OK || status != kOk) {
      ++aFigures.failed;
    } else if (call->counts) {
      aFigures.latencies.push_back(NowMillis() - call->startedAt);
    }
  }
}

/** curl_multi_poll() counts in milliseconds, so a timer ends the wait. */
inline void
OpenLoopCaller::WaitUntil(double aMillis)
{
  constexpr int kLongestWait = 100;
  constexpr double kMillisPerSecond = 1000;
  constexpr double kNanosPerMilli = 1e6;
  itimerspec spec{};
  spec.it_value.tv_sec = static_cast<time_t>(aMillis / kMillisPerSecond);
  const double rest =
    aMillis - static_cast<double>(spec.it_value.tv_sec) * kMillisPerSecond;
  spec.it_value.tv_nsec = static_cast<long>(rest * kNanosPerMilli);
  timerfd_settime(this->timer, TFD_TIMER_ABSTIME, &spec, nullptr);
  curl_waitfd wait{ this->timer, CURL_WAIT_POLLIN, 0 };
  curl_multi_poll(this->multi, &wait, 1, kLongestWait, nullptr);
}

inline LoadFigures
OpenLoopCaller::Run(const LoadStep& aStep)
{
  constexpr double kMillisPerSecond = 1000;
  LoadFigures result;
  this->figures = &result;
  const double interval = kMillisPerSecond / aStep.perSecond;
  const double start = NowMillis() + interval;
  const double countedFrom = start + aStep.warmUpSeconds * kMillisPerSecond;
  const double end = countedFrom + aStep.seconds * kMillisPerSecond;
  std::uint64_t begun = 0;
  double next = start;
  while (next < end || this->running > 0) {
    while (next < end && next <= NowMillis()) {
      this->Begin(aStep, next, next >= countedFrom);
      next = start + static_cast<double>(++begun) * interval;
    }
    int active = 0;
    curl_multi_perform(this->multi, &active);
    this->Collect(result);
    const double now = NowMillis();
    if (next >= end || next > now) {
      this->WaitUntil(next < end ? next : now + kMillisPerSecond);
    }
  }
  this->figures = nullptr;
  return result;
}

} // namespace lacewingwharf::bench
