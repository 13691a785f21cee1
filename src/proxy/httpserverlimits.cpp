// The part of HttpServer that holds the limits on what callers may use.

#include "common/log.h"
#include "proxy/httpserverimpl.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

} // namespace

/** A body that could never be passed on is refused as too large. */
ConnectionLimits
HttpServer::Impl::BoundedLimits(const ConnectionLimits& aLimits) const
{
  const std::size_t most = this->context.memory.MaxRequestBytes();
  ConnectionLimits bounded = aLimits;
  if (most > 0) {
    bounded.request.bodyBytes = std::min(aLimits.request.bodyBytes, most);
  }
  if (bounded.request.bodyBytes < aLimits.request.bodyBytes) {
    kLog.Warning("bodies above {} bytes are refused: the limits on the memory "
                 "for callers are too low for {} bytes",
                 most,
                 aLimits.request.bodyBytes);
  }
  return bounded;
}

/** Ends connections until the bytes held for callers are within the limits. */
void
HttpServer::Impl::EndOverLimits()
{
  while (const auto end = this->context.memory.ChooseOver()) {
    this->End(*end);
  }
}

/**
 * Closes an idle connection when all are in use and another one waits. It is
 * accepted before the next is closed, so that no more are closed than needed.
 */
void
HttpServer::Impl::MakeRoom()
{
  if (!this->config.makesRoom ||
      this->connections.size() < this->config.maxConnections ||
      this->hasNoDescriptors || !this->listener.HasPending()) {
    return;
  }
  const auto mayEnd = [this](std::uint64_t aConnection) {
    const auto found = this->connections.find(aConnection);
    return found != this->connections.end() && !found->second->HasUnreadBytes();
  };
  if (const auto end =
        this->context.memory.ChooseIdle(this->config.maxConnections, mayEnd)) {
    this->End(*end);
  }
}

void
HttpServer::Impl::End(const CallerToEnd& aEnd)
{
  const auto found = this->connections.find(aEnd.connection);
  if (found != this->connections.end()) {
    const HttpConnection::Ptr connection = found->second;
    connection->End(aEnd);
  }
}

CallerMemoryCounts
HttpServer::Impl::Memory() const
{
  return this->context.memory.Counts();
}

} // namespace lacewingwharf
