#pragma once

#include "proxy/httptypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lacewingwharf {

/** Names one request within a server; never reused. */
using RequestId = std::uint64_t;

struct HttpServerConfig
{
  std::string address;
  int port = 0;
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 4U << 20U;
  Millis idleLimit = 30000;
  unsigned int maxConnections = 2000;
  unsigned int threads = 1;
};

/**
 * Takes requests with libmicrohttpd. A request is handed over whole; its
 * connection is suspended until Answer() is called from any thread.
 */
class HttpServer
{
public:
  struct Handlers
  {
    /** Called on a server thread with a whole request. */
    std::function<void(RequestId, HttpRequest)> onRequest;

    /**
     * The caller of an unanswered request has closed its connection.
     * libmicrohttpd does not see this while a connection is suspended, so
     * the server watches the sockets itself.
     */
    std::function<void(RequestId)> onCallerLeft;
  };

  HttpServer(HttpServerConfig aConfig, Handlers aHandlers);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  bool Start();

  /**
   * Answers from now on ask callers to close their connection; new requests and
   * connections are taken yet.
   */
  void AnnounceClose();

  /** No new connections; those with a request in flight go on. */
  void StopIntake();
  void Stop();

  /** Answers once; later answers to the same request are dropped. */
  void Answer(RequestId aRequest, HttpAnswer aAnswer);

  /** Breaks the connection, so that nothing partial looks complete. */
  void Abort(RequestId aRequest);

  /** Requests that were taken and whose answer has not been sent whole. */
  std::size_t InFlight() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
