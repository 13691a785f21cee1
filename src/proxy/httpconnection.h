#pragma once

#include "common/clock.h"
#include "proxy/connectiontimer.h"
#include "proxy/requestparser.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

class HttpConnection;

/** What all connections of one server share. It outlives them. */
struct HttpConnectionContext
{
  ConnectionLimits limits; // Of requests that begin from now on.
  Clock clock = Clock::Steady();
  std::vector<char> readBuffer; // Holds no data between reads.
  std::function<void(HttpConnection&, HttpRequest)> onRequest;

  /** The answer to the current request was completely sent. */
  std::function<void(HttpConnection&)> onAnswered;

  /** The socket accepts no more bytes: EPOLLOUT events are needed from now. */
  std::function<void(HttpConnection&)> onWriteBlocked;

  /** The connection closed, whatever its current request was waiting for. */
  std::function<void(HttpConnection&)> onClosed;

  /** Whether answers announce that their connection is closed after them. */
  std::function<bool()> announcesClose;
};

/**
 * A caller's connection. It reads one request, waits for its answer, sends it
 * and goes on with the next request. Only the server's thread may use it.
 *
 * The socket is registered for edge-triggered events, so that no event has to
 * be enabled or disabled between the steps of a request.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  using Ptr = std::shared_ptr<HttpConnection>;

  enum class State
  {
    Reading,
    Suspended, // The request was passed on and is not answered yet.
    Answering,
    Lingering, // Discards what arrives until the caller closes.
    Closed
  };

  /** Takes ownership of aSocket. */
  HttpConnection(HttpConnectionContext& aContext,
                 std::uint64_t aId,
                 int aSocket,
                 std::string aCallerAddress);
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** aEvents are those of epoll. */
  void HandleEvents(std::uint32_t aEvents);

  /** Answers the request of a suspended connection. */
  void Answer(HttpAnswer aAnswer);

  /** Ends the connection if its caller has taken longer than allowed. */
  void CheckTimeout();
  void Close();

  std::uint64_t Id() const;
  int Socket() const;

  /** Whether the caller has closed the connection. */
  bool HasHungUp() const;

private:
  void Run();
  bool Step();
  bool ReadOnce();
  bool Discard();
  bool Flush();
  long Receive();
  void Parse(std::string_view aBytes);
  void HandleParsed();
  void Refuse(const RequestRefusal& aRefusal);
  void StartAnswer(HttpAnswer aAnswer, bool aCloses);
  bool FinishAnswer();
  void SetState(State aState);
  CallerWait CurrentWait() const;
  void UpdateTimer();
  bool IsExpired() const;

  HttpConnectionContext& context;
  std::uint64_t id;
  int socket;
  std::string callerAddress;
  State state = State::Reading;
  bool mayRead = false;
  bool mayWrite = true;
  bool hasHungUp = false;
  bool wasContinueSent = false;
  bool isAnswerToHead = false;
  bool keepsConnection = true;
  bool closesAfterAnswer = false;
  bool isEndOfBodyTheClose = false;
  ConnectionTimer timer;
  std::size_t discardedBytes = 0;
  std::string unparsed;
  std::unique_ptr<RequestParser> parser; // Null between two requests.
  std::string outgoingHead;
  std::string outgoingBody;
  std::size_t sentBytes = 0;
};

inline std::uint64_t
HttpConnection::Id() const
{
  return this->id;
}

inline int
HttpConnection::Socket() const
{
  return this->socket;
}

inline bool
HttpConnection::HasHungUp() const
{
  return this->hasHungUp;
}

} // namespace lacewingwharf
