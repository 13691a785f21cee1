#pragma once

#include "proxy/callermemory.h"
#include "proxy/connectionlimits.h"
#include "proxy/httptypes.h"
#include "proxy/pipelinebudget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lacewingwharf {

struct HttpServerConfig
{
  std::string address;
  int port = 0;
  ConnectionLimits limits;
  std::size_t maxConnections = 2000;
  PipelineLimits pipeline;
  CallerMemoryLimits memory;

  /** Closes idle connections when all are in use and others wait. */
  bool makesRoom = false;

  /** Names the request in the log; empty if requests have no ids. */
  std::string requestIdHeader;
};

/**
 * Receives HTTP requests on a thread of its own. Each request is passed to a
 * handler once it is complete and may run. Any thread ends it with Answer() or
 * Abort(). Answers are sent in the order of the requests of their connection.
 *
 * An answer needs no memory that the request could have used up: whatever the
 * shape of a head within the limits, its request can be answered.
 */
class HttpServer
{
public:
  struct Handlers
  {
    /** Called on the server thread with a complete request. */
    std::function<void(RequestId, HttpRequest)> onRequest;

    /**
     * Called on the server thread when the caller of an unanswered request
     * closes its connection. The request must still be ended with Answer() or
     * Abort() once its memory is free: until then it counts for the limits.
     */
    std::function<void(RequestId)> onCallerDisconnected;

    /**
     * Called on the server thread. Whether a request may run beside others of
     * its connection. Without it, requests are neither read ahead nor run
     * beside one another.
     */
    std::function<bool(const HttpRequest&)> mayRunBeside = {};
  };

  HttpServer(HttpServerConfig aConfig, Handlers aHandlers);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  bool Start();

  /**
   * Sends "Connection: close" with all further answers. New requests and
   * connections are still accepted.
   */
  void AnnounceClose();

  /** Holds for all connections, from the next request on. */
  void SetLimits(const ConnectionLimits& aLimits);

  /** Accepts no new connections. Requests in flight continue. */
  void StopAccepting();
  void Stop();

  /** Answers a request. Later answers to the same request are dropped. */
  void Answer(RequestId aRequest, HttpAnswer aAnswer);

  /**
   * Closes the connection without an answer, so that the caller cannot take an
   * incomplete answer for a complete one.
   */
  void Abort(RequestId aRequest);

  /** Number of accepted requests whose answer was not completely sent. */
  std::size_t InFlight() const;

  /**
   * Number of requests whose connection this server closed before their answer
   * was completely sent: a stop, or a caller that did not read its answer.
   */
  std::uint64_t AnswersLost() const;

  PipelineCounts Pipelining() const;
  CallerMemoryCounts Memory() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
