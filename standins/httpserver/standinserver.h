#pragma once

#include "httpserver/standinexchange.h"
#include "httpserver/timerthread.h"

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
  std::size_t maxBodyBytes = 16U << 20U; // Bytes beyond it are dropped.
};

/**
 * The HTTP server of the stand-ins, on libmicrohttpd with one thread. Requests
 * are handed over whole; waiting ones cost a suspended connection, not a
 * thread.
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

  /** Runs aTask on the timer thread after aDelay; false after Stop(). */
  bool After(Millis aDelay, std::function<void()> aTask);

private:
  struct Callbacks;

  int OnRequest(MHD_Connection* aConnection, void** aContext);
  int SendAnswer(StandinExchange& aExchange);
  MHD_Response* MakeResponse(StandinExchange& aExchange);
  void HandOver(const std::shared_ptr<StandinExchange>& aExchange);
  void FindCallersThatLeft();

  StandinServerConfig config;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  TimerThread timer;
  std::mutex mutex;
  std::list<std::weak_ptr<StandinExchange>> pending;
  bool isStopping = false;
};

} // namespace lacewingwharf
