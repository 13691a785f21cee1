// The part of HttpConnection that ends what exceeds the limits on callers.

#include "common/log.h"
#include "proxy/httpconnection.h"

#include <sys/ioctl.h>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr int kServiceUnavailable = 503;

} // namespace

bool
HttpConnection::HasUnreadBytes() const
{
  int bytes = 0;
  return ioctl(this->socket, FIONREAD, &bytes) == 0 && bytes > 0;
}

void
HttpConnection::End(const CallerToEnd& aEnd)
{
  const Ptr keepAlive = this->shared_from_this();
  CallerMemory& memory = this->context.memory;
  const bool mayStay =
    this->state == State::Open && aEnd.limit != CallerLimit::Connections;
  if (mayStay && aEnd.held.reading > 0) {
    this->LogEnd(aEnd,
                 this->pipeline.IsReadingOver() ? "discarded" : "refused");
    this->EndUnread(aEnd.limit);
    this->Run();
    return;
  }
  if (mayStay && this->pipeline.DropAnswers(aEnd.seen - aEnd.bound) > 0) {
    this->LogEnd(aEnd, "dropped");
    memory.CountDropped(aEnd.limit);
    this->Run();
    return;
  }
  this->LogEnd(aEnd, "closed");
  memory.CountClosed(aEnd.limit);
  this->Close();
}

/** Behind the last request of a connection there is nothing to refuse. */
void
HttpConnection::EndUnread(CallerLimit aLimit)
{
  if (this->pipeline.IsReadingOver()) {
    this->DiscardUnread();
    return;
  }
  this->context.memory.CountRefused(aLimit);
  this->Refuse({ kServiceUnavailable, "no memory for the request" });
}

void
HttpConnection::LogEnd(const CallerToEnd& aEnd, std::string_view aOutcome) const
{
  const auto& requests = this->pipeline.Requests();
  const bool hasName = !requests.empty() && !requests.front().name.empty();
  kLog.Decision(
    "caller-ended",
    "request={} caller={} limit={} bound={} seen={} outcome={} reading={} "
    "requests={} answers={} late_ms={}",
    hasName ? requests.front().name : "-",
    this->callerAddress,
    kCallerLimitNames.NameOf(aEnd.limit),
    aEnd.bound,
    aEnd.seen,
    aOutcome,
    aEnd.held.reading,
    aEnd.held.requests,
    aEnd.held.answers,
    aEnd.late);
}

} // namespace lacewingwharf
