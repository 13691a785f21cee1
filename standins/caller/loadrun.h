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
  Millis time = 1000;
  Millis callBound = 10000;
  std::uint64_t seed = 1;
  std::size_t bodyBytes = 0;
  std::size_t answerBytes = 200;
  std::size_t maxInFlight = 2000;
  bool hasKeys = false;
};

/**
 * Sends calls at random times with a given rate, whether or not earlier ones
 * were answered, and checks each answer.
 */
class LoadRun
{
public:
  explicit LoadRun(LoadConfig aConfig);
  ~LoadRun();

  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /** Returns when every call has ended. */
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

  double NextGap();
  void Begin(double aScheduledAt);
  void SetHeaders(Call& aCall, std::uint64_t aNumber);
  void Collect();
  void Finish(Call& aCall, CURLcode aCode);
  void Check(const Call& aCall, long aStatus);

  LoadConfig config;
  Clock clock;
  Random random;
  CURLM* multi;
  LoadResult result;
  std::uint64_t sent = 0;
  std::list<std::unique_ptr<Call>> calls;
};

} // namespace lacewingwharf
