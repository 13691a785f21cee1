#pragma once

#include "proxy/httpconnection.h"
#include "proxy/httpserver.h"
#include "proxy/listener.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace lacewingwharf {

/** Implements HttpServer: its thread and its table of connections. */
class HttpServer::Impl
{
public:
  Impl(HttpServerConfig aConfig, Handlers aHandlers);
  ~Impl();

  bool Start();
  void AnnounceClose();
  void SetLimits(const ConnectionLimits& aLimits);
  void StopAccepting();
  void Stop();
  void Answer(RequestId aRequest, HttpAnswer aAnswer);
  void Abort(RequestId aRequest);
  std::size_t InFlight() const;
  std::uint64_t AnswersLost() const;
  PipelineCounts Pipelining() const;
  CallerMemoryCounts Memory() const;

private:
  struct AcceptedSocket
  {
    int socket = -1;
    std::string callerAddress;
  };

  /** A request that a handler has answered, or aborted if it has no answer. */
  struct FinishedRequest
  {
    std::uint64_t connection = 0;
    RequestId request = 0;
    std::optional<HttpAnswer> answer;
  };

  bool OpenDescriptors();
  void CloseDescriptors();
  void Run();
  void HandleEvent(std::uint64_t aToken, std::uint32_t aEvents);
  void HandleQueued();
  void ApplyNewLimits();
  void AddConnection(const AcceptedSocket& aAccepted);
  void LimitAccepting();
  void MakeRoom();
  void EndOverLimits();
  void End(const CallerToEnd& aEnd);
  ConnectionLimits BoundedLimits(const ConnectionLimits& aLimits) const;
  void CheckTimeouts();
  std::vector<HttpConnection::Ptr> OpenConnections() const;
  int WaitMillis() const;
  void HandleRequest(HttpConnection& aConnection,
                     RequestId aId,
                     HttpRequest aRequest);
  void HandleAnswered(HttpConnection& aConnection);
  void HandleClosed(HttpConnection& aConnection);
  void HandleUnfinished(const HttpConnection& aConnection,
                        const PipelinedRequest& aRequest);
  void Finish(RequestId aRequest, std::optional<HttpAnswer> aAnswer);
  void Wake();

  HttpServerConfig config;
  Handlers handlers;
  Listener listener;
  Clock clock = Clock::Steady();
  int epollDescriptor = -1;
  int wakeEvent = -1;
  std::thread thread;
  std::atomic<std::thread::id> serverThread;
  std::atomic<bool> isStopping{ false };
  std::atomic<bool> hasStoppedAccepting{ false };
  std::atomic<bool> isCloseAnnounced{ false };
  std::atomic<bool> hasNewLimits{ false };
  std::atomic<std::size_t> inFlight{ 0 };
  std::atomic<std::uint64_t> answersLost{ 0 };

  // Used by the server thread only.
  HttpConnectionContext context;
  std::unordered_map<std::uint64_t, HttpConnection::Ptr> connections;
  std::uint64_t lastConnectionId;
  bool isAccepting = true;
  bool hasNoDescriptors = false;
  bool hasOwnWork = false; // Queued by handlers that run on this thread.
  Millis timeoutsDueAt = 0;

  std::mutex mutex; // Protects the members below.
  bool isWakePending = false;
  std::unordered_map<RequestId, std::uint64_t> unanswered; // To connections.
  std::optional<ConnectionLimits> newLimits;
  std::vector<FinishedRequest> finished;
  std::vector<AcceptedSocket> accepted;
};

} // namespace lacewingwharf
