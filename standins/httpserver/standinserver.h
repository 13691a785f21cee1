#pragma once

#include "httpserver/standinexchange.h"
#include "httpserver/timerthread.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

struct MHD_Daemon;
struct MHD_Response;

namespace lacewingwharf {

struct StandinServerConfig
{
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  unsigned int maxConnections = 4000;
  std::size_t maxBodyBytes = 16U << 20U; // Further bytes are dropped.
};

/**
 * The HTTP server of the stand-ins, based on libmicrohttpd with one thread. The
 * handler receives a request with its complete body. A request that waits for
 * its answer occupies a suspended connection, but no thread.
 */
class StandinServer
{
public:
  using Handler = std::function<void(std::shared_ptr<StandinExchange>)>;

  StandinServer(StandinServerConfig aConfig, Handler aHandler);
  ~StandinServer();

  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  bool Start();
  void Stop();

  /** Runs aTask on the timer thread after aDelay; returns false if stopped. */
  bool RunAfter(Millis aDelay, std::function<void()> aTask);

private:
  struct Callbacks;

  int OnRequest(MHD_Connection* aConnection, void** aContext);
  int SendAnswer(StandinExchange& aExchange);
  MHD_Response* MakeResponse(StandinExchange& aExchange);
  void DispatchRequest(const std::shared_ptr<StandinExchange>& aExchange);
  void FindDisconnectedCallers();
  void WaitForOpenExchanges() const;

  StandinServerConfig config;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  TimerThread timer;
  std::mutex mutex;
  std::list<std::weak_ptr<StandinExchange>> pending;
  bool isStopping = false;

  /** Exchanges that the handler has received and that have not ended. */
  std::atomic<int> openExchanges{ 0 };
};

} // namespace lacewingwharf
