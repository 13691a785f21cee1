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

/** What may be believed of an answer that ends where its connection ends. */
enum class UnframedBody
{
  Cut,     // It may have been cut short.
  Complete // It is whole when the connection was closed in order.
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

  /**
   * A header that the answer repeats from the request. An answer with another
   * value belongs to another request and is not taken. Empty: none.
   */
  std::string echoedHeader;

  UnframedBody unframedBody = UnframedBody::Cut;
};

struct ExchangeResult
{
  std::string id;
  ExchangeEnd end = ExchangeEnd::NotConnected;
  HttpAnswer answer;
  std::string detail;
  double millis = 0;
};

/**
 * One libcurl multi handle for all backend servers. It runs on a thread of its
 * own, or on that of an event loop that calls Turn(), Wait() and Wake() in
 * place of Start(); Submit(), Cancel() and Stop() are then called there, too.
 */
class HttpClient
{
public:
  using OnResult = std::function<void(ExchangeResult)>;

  /** aOnResult is called on the thread that runs the client; it only pushes to
      a ring. */
  explicit HttpClient(OnResult aOnResult, std::size_t aMaxAnswerBytes);
  ~HttpClient();

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Start();
  void Stop();

  /** Begins what was submitted and moves all exchanges on, without waiting. */
  void Turn();

  /** Waits until an exchange can move on, for at most aLimit. */
  void Wait(Millis aLimit);

  /** Ends the present wait or the next one; may be called from any thread. */
  void Wake();

  /** False when the ring is full; the exchange was then not begun. */
  bool Submit(HttpExchange aExchange);

  /** Closes the connection of an exchange; the result is Cancelled. */
  void Cancel(const std::string& aId);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
