#pragma once

#include "proxy/httptypes.h"

#include <functional>
#include <memory>
#include <string>

namespace lacewingwharf {

/** How an exchange with a backend server ended. */
enum class ExchangeEnd
{
  Answered,     // The whole answer is there.
  NotConnected, // No connection was made: the request was not run.
  Cut,          // The connection ended after the request may have arrived.
  TimedOut,     // The deadline passed after the request may have arrived.
  Cancelled
};

struct HttpExchange
{
  std::string id;
  std::string url; // http://ADDRESS:PORT/TARGET
  HttpRequest request;
  Millis timeLimit = 0;

  /**
   * libcurl repeats a request by itself when a reused connection closes before
   * the first byte of the answer. A request that must not run twice therefore
   * needs a connection that was never used.
   */
  bool needsNewConnection = false;
};

struct ExchangeResult
{
  std::string id;
  ExchangeEnd end = ExchangeEnd::NotConnected;
  HttpAnswer answer;
  std::string detail;
  double millis = 0;
};

/** The http-out thread: one libcurl multi handle for all backend servers. */
class HttpClient
{
public:
  using OnResult = std::function<void(ExchangeResult)>;

  /** aOnResult is called on the client's thread; it only pushes to a ring. */
  explicit HttpClient(OnResult aOnResult, std::size_t aMaxAnswerBytes);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Start();
  void Stop();

  /** False when the ring is full; the exchange was then not begun. */
  bool Submit(HttpExchange aExchange);

  /** Closes the connection of an exchange; the result is Cancelled. */
  void Cancel(const std::string& aId);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
