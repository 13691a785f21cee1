#pragma once

#include "httpserver/standinserver.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace lacewingwharf {

/**
 * A backend server that holds each request for the time in milliseconds that
 * the query gives (hold=TIME).
 */
class SlowServer
{
public:
  using OnRun = std::function<void(const StandinRequest&)>;

  /** aOnRun, if set, is called with each request that runs. */
  SlowServer(const std::string& aAddress, std::string aId, OnRun aOnRun = {});

  bool IsStarted() const { return this->isStarted; }
  bool HasRun(const std::string& aRequestId);
  std::size_t Runs(const std::string& aRequestId);

  /** The most requests that were held at the same time. */
  std::size_t MostAtOnce();

private:
  void Run(const std::shared_ptr<StandinExchange>& aExchange);
  void Finish(const std::shared_ptr<StandinExchange>& aExchange,
              const std::string& aRequestId);

  std::string id;
  OnRun onRun;
  std::mutex mutex;
  std::map<std::string, std::size_t> runs; // By id of the request.
  std::size_t held = 0;
  std::size_t mostHeld = 0;
  bool isStarted = false;
  StandinServer server;
};

} // namespace lacewingwharf
