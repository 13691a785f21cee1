#pragma once

#include "common/testsocket.h"
#include "proxy/httpserver.h"

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/** A server and requests for tests of pipelining. */
namespace lacewingwharf::pipelineharness {

inline const std::string kAddress = "127.72.0.5";

inline std::string
Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

inline std::string
Post(const std::string& aPath)
{
  return "POST " + aPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n" +
         "data";
}

inline std::size_t
Count(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

/** A server whose requests may run beside others unless they are POSTs. */
struct PipelineFixture
{
  explicit PipelineFixture(const PipelineLimits& aPipeline = {},
                           const ConnectionLimits& aLimits = {})
    : PipelineFixture([&] {
      HttpServerConfig config;
      config.pipeline = aPipeline;
      config.limits = aLimits;
      return config;
    }())
  {
  }

  explicit PipelineFixture(HttpServerConfig aConfig)
  {
    aConfig.address = kAddress;
    aConfig.port = loopback::FreePort(kAddress);
    this->port = aConfig.port;
    this->server = std::make_unique<HttpServer>(
      std::move(aConfig),
      HttpServer::Handlers{ [this](RequestId aId, const HttpRequest& aRequest) {
                             const std::lock_guard lock(this->mutex);
                             this->ids.emplace(aRequest.path, aId);
                             this->waited[aRequest.path] = aRequest.waited;
                           },
                            [this](RequestId aId) {
                              const std::lock_guard lock(this->mutex);
                              this->disconnected.push_back(aId);
                            },
                            [](const HttpRequest& aRequest) {
                              return aRequest.method != "POST";
                            } });
    cr_assert(this->server->Start());
  }

  loopback::Socket Send(const std::string& aBytes) const
  {
    loopback::Socket socket;
    cr_assert(socket.Connect(kAddress, this->port));
    cr_assert(socket.Send(aBytes));
    return socket;
  }

  std::size_t Requests()
  {
    const std::lock_guard lock(this->mutex);
    return this->ids.size();
  }

  /** Waits for aCount requests in all, and a while for further ones. */
  void ExpectRequests(std::size_t aCount)
  {
    cr_assert(loopback::Eventually(
      [this, aCount] { return this->Requests() >= aCount; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cr_assert_eq(this->Requests(), aCount);
  }

  std::size_t Disconnects()
  {
    const std::lock_guard lock(this->mutex);
    return this->disconnected.size();
  }

  /** The body of the answer is the path in brackets. */
  void Answer(const std::string& aPath, HttpAnswer aAnswer = {})
  {
    RequestId id = 0;
    {
      const std::lock_guard lock(this->mutex);
      cr_assert_eq(
        this->ids.count(aPath), 1U, "%s was passed on", aPath.c_str());
      id = this->ids.find(aPath)->second;
    }
    if (aAnswer.body.empty()) {
      aAnswer.body = "[" + aPath + "]";
    }
    this->server->Answer(id, std::move(aAnswer));
  }

  int port = 0;
  std::mutex mutex;
  std::multimap<std::string, RequestId> ids; // By path.
  std::map<std::string, Millis> waited;
  std::vector<RequestId> disconnected;
  std::unique_ptr<HttpServer> server;
};

} // namespace lacewingwharf::pipelineharness
