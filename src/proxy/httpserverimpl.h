#pragma once

#include "proxy/hangupwatcher.h"
#include "proxy/httpserver.h"
#include "proxy/serverexchange.h"

#include <microhttpd.h>

#include <netinet/in.h>

#include <atomic>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewingwharf {

/** Implements HttpServer, so that its header needs no libmicrohttpd types. */
class HttpServer::Impl
{
public:
  Impl(HttpServerConfig aConfig, Handlers aHandlers);
  ~Impl();

  bool Start();
  void AnnounceClose();
  void StopAccepting();
  void Stop();
  void Answer(RequestId aRequest, HttpAnswer aAnswer);
  void Abort(RequestId aRequest);
  std::size_t InFlight() const;

private:
  static void* OnTarget(void* aServer, const char* aTarget, MHD_Connection*);
  static MHD_Result OnAccess(void* aServer,
                             MHD_Connection* aConnection,
                             const char* aUrl,
                             const char* aMethod,
                             const char* aVersion,
                             const char* aBytes,
                             std::size_t* aSize,
                             void** aExchange);
  static void OnCompleted(void* aServer,
                          MHD_Connection* aConnection,
                          void** aExchange,
                          MHD_RequestTerminationCode aCode);

  std::vector<MHD_OptionItem> Options(sockaddr_in& aAddress);
  MHD_Result ReadRequest(ServerExchange& aExchange,
                         MHD_Connection* aConnection,
                         const char* aMethod,
                         std::string_view aBytes,
                         std::size_t& aUnread);
  MHD_Result ReadBody(ServerExchange& aExchange, std::string_view aBytes);
  void DispatchRequest(ServerExchange& aExchange, MHD_Connection* aConnection);
  MHD_Result QueueAnswer(ServerExchange& aExchange,
                         MHD_Connection* aConnection);
  bool Resume(RequestId aRequest,
              ServerExchange::State aState,
              std::optional<HttpAnswer> aAnswer);
  void HandleCallerDisconnect(RequestId aRequest);
  void AcceptPendingConnections(int aListener);

  HttpServerConfig config;
  Handlers handlers;
  MHD_Daemon* daemon = nullptr;
  HangupWatcher watcher;
  std::atomic<bool> isStopping{ false };
  std::atomic<bool> isCloseAnnounced{ false };
  std::atomic<std::size_t> inFlight{ 0 };
  std::mutex mutex; // Protects the members below and the exchanges.
  RequestId lastRequestId = 0;
  std::unordered_map<RequestId, ServerExchange*> suspended;
};

} // namespace lacewingwharf
