#pragma once

#include "proxy/answerhead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace lacewingwharf {

/** How an exchange with a backend server ended. */
enum class ExchangeEnd
{
  Answered,     // The complete answer was received.
  NotConnected, // Nothing was sent, so the request was not run.
  Incomplete,   // The request may have arrived; no valid answer did.
  TimedOut,     // The request may have arrived; the time limit passed.
  Cancelled
};

/** How to treat an answer whose end is marked only by the connection's end. */
enum class UnframedBody
{
  Incomplete, // It may be truncated, so it is not returned.
  Complete    // It is returned if the connection was closed without a reset.
};

struct HttpExchange
{
  std::string id;
  std::string url; // http://ADDRESS:PORT/TARGET
  HttpRequest request;
  Millis timeout = 0;

  /**
   * libcurl resends a request when a reused connection closes before the first
   * byte of the answer arrives. A request that must not run twice therefore
   * needs a new connection.
   */
  bool needsNewConnection = false;

  /**
   * Name of a header that the server copies from the request to the answer. An
   * answer without it, or with a different value, is not known to belong to the
   * request and is rejected. If the name is empty, nothing is compared.
   */
  std::string echoedHeader;

  UnframedBody unframedBody = UnframedBody::Incomplete;
};

struct ExchangeResult
{
  std::string id;
  ExchangeEnd end = ExchangeEnd::NotConnected;
  HttpAnswer answer; // Set only if the exchange ended as Answered.
  std::string detail;

  // Of the part of the answer that was received, also if it was rejected.
  AnswerFraming framing = AnswerFraming::Connection;
  std::int64_t announcedBytes = -1; // Content-Length; -1 if there is none.
  std::int64_t receivedBytes = 0;   // Of the body.
  double durationMillis = 0;
};

/**
 * Sends HTTP requests to all backend servers through one libcurl multi handle.
 * Start() runs the client on a thread of its own. Alternatively, an event loop
 * calls RunOnce(), Wait() and Wake() instead of Start(); Submit(), Cancel() and
 * Stop() must then be called on the thread of that loop.
 */
class HttpClient
{
public:
  using OnResult = std::function<void(ExchangeResult)>;

  /**
   * aOnResult is called on the thread that runs the client. It must only push
   * the result to a ring buffer.
   */
  explicit HttpClient(OnResult aOnResult, std::size_t aMaxAnswerBytes);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Start();
  void Stop();

  /** Starts submitted exchanges and does all pending I/O without waiting. */
  void RunOnce();

  /** Waits for activity on any exchange, for at most aLimit. */
  void Wait(Millis aLimit);

  /** Ends the current or the next Wait(). May be called from any thread. */
  void Wake();

  /** Returns false, without starting the exchange, if the ring buffer is full.
   */
  bool Submit(HttpExchange aExchange);

  /** Closes the connection of an exchange, which then ends as Cancelled. */
  void Cancel(const std::string& aId);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
