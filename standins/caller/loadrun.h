#pragma once

#include "loadresult.h"

#include "common/clock.h"
#include "common/random.h"

#include <curl/curl.h>

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

struct LoadConfig
{
  std::vector<std::string> daemons; // ADDRESS:PORT
  std::vector<std::string> paths;
  std::vector<std::string> headers;
  std::string method = "GET";
  double rate = 100; // Calls per second.
  Millis duration = 1000;
  Millis callTimeout = 10000;
  std::uint64_t seed = 1;
  std::size_t bodyBytes = 0;
  std::size_t answerBytes = 200;
  std::size_t maxInFlight = 2000;
  bool hasIdempotencyKeys = false;
};

/**
 * Generates an open load: sends calls at random times with a given mean rate,
 * whether or not earlier calls have been answered, and checks each answer.
 */
class LoadRun
{
public:
  explicit LoadRun(LoadConfig aConfig);
  ~LoadRun();

  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /** Sends the calls, waits until all have ended and returns the results. */
  std::string Run();

private:
  struct Call
  {
    CURL* handle = nullptr;
    curl_slist* headers = nullptr;
    std::string pattern;
    std::string body;
    std::string answer;
    std::string answerHeaders; // In lower case.
    double scheduledAt = 0;
  };

  double NextInterval();
  void StartCall(double aScheduledAt);
  void SetHeaders(Call& aCall, std::uint64_t aNumber);
  void CollectFinishedCalls();
  void FinishCall(Call& aCall, CURLcode aCode);
  void CheckAnswer(const Call& aCall, long aStatus);

  LoadConfig config;
  Clock clock;
  Random random;
  CURLM* multi;
  LoadResult result;
  std::uint64_t sent = 0;
  std::list<std::unique_ptr<Call>> calls;
};

} // namespace lacewingwharf
