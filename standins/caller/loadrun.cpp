#include "loadrun.h"

#include "httpserver/pattern.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <cmath>

namespace lacewingwharf {

namespace {

constexpr long kOk = 200;
constexpr double kMicrosPerMilli = 1000;

std::size_t
Append(char* aData, std::size_t aSize, std::size_t aCount, void* aText)
{
  static_cast<std::string*>(aText)->append(aData, aSize * aCount);
  return aSize * aCount;
}

std::size_t
AppendLowerCase(char* aData, std::size_t aSize, std::size_t aCount, void* aText)
{
  auto& text = *static_cast<std::string*>(aText);
  for (std::size_t i = 0; i < aSize * aCount; ++i) {
    text +=
      static_cast<char>(std::tolower(static_cast<unsigned char>(aData[i])));
  }
  return aSize * aCount;
}

/** The value of a header in aHeaders, which is in lower case, or "". */
std::string
FindHeader(const std::string& aHeaders, const std::string& aName)
{
  const auto start = aHeaders.find("\n" + aName + ":");
  if (start == std::string::npos) {
    return {};
  }
  const auto begin = aHeaders.find_first_not_of(' ', start + aName.size() + 2);
  const auto end = aHeaders.find('\r', start + 1);
  return begin < end ? aHeaders.substr(begin, end - begin) : std::string();
}

} // namespace

LoadRun::LoadRun(LoadConfig aConfig)
  : config(std::move(aConfig))
  , clock(Clock::Steady())
  , random(SeededRandom(this->config.seed))
{
  curl_global_init(CURL_GLOBAL_ALL);
  this->multi = curl_multi_init();
}

LoadRun::~LoadRun()
{
  curl_multi_cleanup(this->multi);
}

std::string
LoadRun::Run()
{
  const double end =
    this->clock.PreciseNow() + static_cast<double>(this->config.duration);
  double next = this->clock.PreciseNow() + this->NextInterval();
  while (next < end || !this->calls.empty()) {
    while (next < end && next <= this->clock.PreciseNow()) {
      this->StartCall(next);
      next += this->NextInterval();
    }
    int running = 0;
    curl_multi_perform(this->multi, &running);
    this->CollectFinishedCalls();
    curl_multi_poll(this->multi, nullptr, 0, 1, nullptr);
  }
  return this->result.AsJson(this->sent);
}

double
LoadRun::NextInterval()
{
  constexpr std::uint64_t kSteps = 1U << 30U;
  constexpr double kMillisPerSecond = 1000;
  const auto step = static_cast<double>(1 + RandomBelow(this->random, kSteps));
  const double uniform = step / static_cast<double>(kSteps);
  return -std::log(uniform) * kMillisPerSecond / this->config.rate;
}

void
LoadRun::StartCall(double aScheduledAt)
{
  const std::uint64_t number = this->sent++;
  if (this->calls.size() >= this->config.maxInFlight) {
    this->result.AddError("not-sent");
    return;
  }
  Call& call = *this->calls.emplace_back(std::make_unique<Call>());
  call.scheduledAt = aScheduledAt;
  call.handle = curl_easy_init();
  const auto& daemons = this->config.daemons;
  const auto& paths = this->config.paths;
  const std::string url =
    fmt::format("http://{}{}",
                daemons[RandomBelow(this->random, daemons.size())],
                paths[RandomBelow(this->random, paths.size())]);
  this->SetHeaders(call, number);
  curl_easy_setopt(call.handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(call.handle, CURLOPT_PROXY, "");
  curl_easy_setopt(call.handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(call.handle, CURLOPT_PRIVATE, &call);
  curl_easy_setopt(call.handle,
                   CURLOPT_TIMEOUT_MS,
                   static_cast<long>(this->config.callTimeout));
  curl_easy_setopt(call.handle, CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(call.handle, CURLOPT_WRITEDATA, &call.answer);
  curl_easy_setopt(call.handle, CURLOPT_HEADERFUNCTION, AppendLowerCase);
  curl_easy_setopt(call.handle, CURLOPT_HEADERDATA, &call.answerHeaders);
  if (this->config.method != "GET") {
    call.body = MakePatternBody(call.pattern, this->config.bodyBytes);
    curl_easy_setopt(
      call.handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    curl_easy_setopt(call.handle, CURLOPT_POSTFIELDS, call.body.c_str());
    // libcurl repeats a request on its own when a reused connection closes.
    // Fresh connections ensure that each call is sent once.
    curl_easy_setopt(call.handle, CURLOPT_FRESH_CONNECT, 1L);
  }
  curl_easy_setopt(
    call.handle, CURLOPT_CUSTOMREQUEST, this->config.method.c_str());
  curl_multi_add_handle(this->multi, call.handle);
}

void
LoadRun::SetHeaders(Call& aCall, std::uint64_t aNumber)
{
  aCall.pattern = fmt::format(
    "call-{}-{}:{}", this->config.seed, aNumber, this->config.answerBytes);
  const std::string pattern = "X-Pattern: " + aCall.pattern;
  aCall.headers = curl_slist_append(nullptr, "Expect:");
  aCall.headers = curl_slist_append(aCall.headers, pattern.c_str());
  if (this->config.hasIdempotencyKeys) {
    const std::string key =
      fmt::format("Idempotency-Key: key-{}-{}", this->config.seed, aNumber);
    aCall.headers = curl_slist_append(aCall.headers, key.c_str());
  }
  for (const std::string& header : this->config.headers) {
    aCall.headers = curl_slist_append(aCall.headers, header.c_str());
  }
  curl_easy_setopt(aCall.handle, CURLOPT_HTTPHEADER, aCall.headers);
}

void
LoadRun::CollectFinishedCalls()
{
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    Call* call = nullptr;
    const CURLcode code = message->data.result;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
    this->FinishCall(*call, code);
    std::erase_if(this->calls,
                  [call](const auto& aCall) { return aCall.get() == call; });
  }
}

void
LoadRun::FinishCall(Call& aCall, CURLcode aCode)
{
  if (aCode == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(aCall.handle, CURLINFO_RESPONSE_CODE, &status);
    // Measured from the scheduled time, so that a late start counts as latency.
    const double micros =
      (this->clock.PreciseNow() - aCall.scheduledAt) * kMicrosPerMilli;
    this->result.AddAnswer(
      status, FindHeader(aCall.answerHeaders, "lacewingwharf-outcome"), micros);
    this->CheckAnswer(aCall, status);
  } else {
    this->result.AddError(curl_easy_strerror(aCode));
  }
  curl_multi_remove_handle(this->multi, aCall.handle);
  curl_easy_cleanup(aCall.handle);
  curl_slist_free_all(aCall.headers);
}

void
LoadRun::CheckAnswer(const Call& aCall, long aStatus)
{
  if (aStatus != kOk || this->config.method == "HEAD") {
    return;
  }
  if (aCall.answer != MakeBodyForPatternHeader(aCall.pattern)) {
    this->result.AddError("wrong-body");
  }
}

} // namespace lacewingwharf
