#pragma once

#include "common/clock.h"
#include "proxy/callermemory.h"
#include "proxy/connectiontimer.h"
#include "proxy/pipelinebudget.h"
#include "proxy/requestparser.h"
#include "proxy/requestpipeline.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingwharf {

class HttpConnection;

/** What all connections of one server share. It outlives them. */
struct HttpConnectionContext
{
  HttpConnectionContext(const PipelineLimits& aLimits,
                        const CallerMemoryLimits& aMemoryLimits)
    : pipelineBudget(aLimits)
    , memory(aMemoryLimits, this->clock)
  {
  }

  ConnectionLimits limits; // Of requests that begin from now on.

  /** Applies limits that another thread has set since the last call. */
  std::function<void()> refreshLimits;
  Clock clock = Clock::Steady();
  std::vector<char> readBuffer; // Holds no data between reads.
  PipelineBudget pipelineBudget;
  CallerMemory memory;
  RequestId lastRequestId = 0;
  std::string requestIdHeader; // Names requests in the log; may be empty.

  /** Whether a request may run beside others of its connection; may be null. */
  std::function<bool(const HttpRequest&)> mayRunBeside;
  std::function<void(HttpConnection&, RequestId, HttpRequest)> onRequest;

  /** The answer to the first request was completely sent. */
  std::function<void(HttpConnection&)> onAnswered;

  /** The socket accepts no more bytes: EPOLLOUT events are needed from now. */
  std::function<void(HttpConnection&)> onWriteBlocked;

  /** The connection closed, whatever its requests were waiting for. */
  std::function<void(HttpConnection&)> onClosed;

  /** Whether answers announce that their connection is closed after them. */
  std::function<bool()> announcesClose;
};

/**
 * A caller's connection. It reads requests, passes them on and sends their
 * answers in order, as its RequestPipeline decides. Only the server's thread
 * may use it.
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
    Open,
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

  /** Answers a request once those before it are answered. */
  void Answer(RequestId aRequest, HttpAnswer aAnswer);

  /** Closes the connection once the requests before this one are answered. */
  void Abort(RequestId aRequest);

  /** Ends the connection if its caller has taken longer than allowed. */
  void CheckTimeout();

  /**
   * Ends what the connection holds above a limit: the request that is being
   * read, which did not run and is refused; if there is none, answers that wait
   * behind others; and only without such answers, the connection.
   */
  void End(const CallerToEnd& aEnd);
  void Close();

  std::uint64_t Id() const;
  const std::string& CallerAddress() const;
  int Socket() const;

  /** Whether bytes have arrived that were not read yet. */
  bool HasUnreadBytes() const;

  /** Whether the caller has closed the connection. */
  bool HasHungUp() const;

  /** The requests that are not answered yet or whose answer is being sent. */
  const std::vector<PipelinedRequest>& Requests() const;

private:
  void Run();
  bool Step();
  bool ReadOnce();
  bool Discard();
  bool Flush();
  long Receive();
  void Parse(std::string_view aBytes);
  void ParseStored();
  std::size_t Feed(std::string_view aBytes);
  void HandleParsed();
  void AddRequest();
  bool PassOn();
  bool SendContinue();
  void Refuse(const RequestRefusal& aRefusal);
  void EndUnread(CallerLimit aLimit);
  void LogEnd(const CallerToEnd& aEnd, std::string_view aOutcome) const;
  void DiscardUnread();
  bool StartAnswer();
  void RecordWait(const PipelinedRequest& aRequest);
  bool FinishAnswer();
  CallerWait CurrentWait() const;
  void UpdateTimers();
  void CountMemory();
  bool IsExpired() const;

  HttpConnectionContext& context;
  std::uint64_t id;
  int socket;
  std::string callerAddress;
  State state = State::Open;
  bool mayRead = false;
  bool mayWrite = true;
  bool hasHungUp = false;
  bool wasContinueSent = false;
  bool isSending = false; // The first answer of the pipeline.
  bool closesAfterAnswer = false;
  bool isEndOfBodyTheClose = false;
  CallerMemory::Share memoryShare;
  RequestPipeline pipeline;
  ConnectionTimer timer; // What is read.
  ConnectionTimer sendTimer;
  std::size_t discardedBytes = 0;
  std::string unparsed;
  std::size_t parsedBytes = 0;           // Of the above; not removed yet.
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

inline const std::string&
HttpConnection::CallerAddress() const
{
  return this->callerAddress;
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

inline const std::vector<PipelinedRequest>&
HttpConnection::Requests() const
{
  return this->pipeline.Requests();
}

} // namespace lacewingwharf
