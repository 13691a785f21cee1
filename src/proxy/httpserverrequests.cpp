#include "common/log.h"
#include "proxy/httpserverimpl.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

} // namespace

void
HttpServer::Impl::HandleRequest(HttpConnection& aConnection,
                                RequestId aId,
                                HttpRequest aRequest)
{
  ++this->inFlight;
  {
    const std::lock_guard lock(this->mutex);
    this->unanswered.emplace(aId, aConnection.Id());
  }
  this->handlers.onRequest(aId, std::move(aRequest));
}

void
HttpServer::Impl::HandleAnswered(HttpConnection& aConnection)
{
  // Requests that the parser has refused were never passed on.
  if (aConnection.Requests().front().id != 0) {
    --this->inFlight;
  }
}

void
HttpServer::Impl::HandleClosed(HttpConnection& aConnection)
{
  if (this->connections.erase(aConnection.Id()) == 0) {
    return;
  }
  std::ranges::for_each(aConnection.Requests(),
                        [this, &aConnection](const PipelinedRequest& aRequest) {
                          if (aRequest.id != 0) {
                            this->HandleUnfinished(aConnection, aRequest);
                          }
                        });
}

/** Handles a request whose connection has closed before its answer was sent. */
void
HttpServer::Impl::HandleUnfinished(const HttpConnection& aConnection,
                                   const PipelinedRequest& aRequest)
{
  const bool hasHungUp = aConnection.HasHungUp();
  --this->inFlight;
  bool wasUnanswered = false;
  {
    const std::lock_guard lock(this->mutex);
    wasUnanswered = this->unanswered.contains(aRequest.id);
  }
  if (wasUnanswered) {
    this->context.memory.Abandon(aRequest.id,
                                 kRequestCopies * aRequest.heldBytes,
                                 aConnection.CallerAddress());
  }
  if (!hasHungUp) {
    ++this->answersLost;
    kLog.Warning("request {} ended without its whole answer: {}",
                 aRequest.name.empty() ? "-" : aRequest.name,
                 this->isStopping ? "the server stops"
                                  : "its connection was closed");
  }
  if (!wasUnanswered || (this->isStopping && !hasHungUp)) {
    return;
  }
  kLog.Debug("the caller of request {} has disconnected", aRequest.id);
  if (this->handlers.onCallerDisconnected) {
    this->handlers.onCallerDisconnected(aRequest.id);
  }
}

/** Only the first answer of a request finds it in the table. */
void
HttpServer::Impl::Finish(RequestId aRequest, std::optional<HttpAnswer> aAnswer)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->unanswered.find(aRequest);
  if (found == this->unanswered.end()) {
    kLog.Debug("dropped an answer: request {} has ended already", aRequest);
    return;
  }
  // That of a caller that has disconnected still releases its memory.
  this->finished.push_back({ found->second, aRequest, std::move(aAnswer) });
  this->unanswered.erase(found);
  this->Wake();
}

void
HttpServer::Impl::Answer(RequestId aRequest, HttpAnswer aAnswer)
{
  this->Finish(aRequest, std::move(aAnswer));
}

void
HttpServer::Impl::Abort(RequestId aRequest)
{
  this->Finish(aRequest, std::nullopt);
}

} // namespace lacewingwharf
