#include "common/log.h"
#include "proxy/answerwriter.h"
#include "proxy/httpconnection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr int kServiceUnavailable = 503;

// Seconds. About the time in which a large body arrives over a link of 10
// Mbit/s, after which its memory is free.
constexpr const char* kRetryAfter = "1";

} // namespace

/** Returns the number of bytes received, or -1 if there are none yet. */
long
HttpConnection::Receive()
{
  auto& buffer = this->context.readBuffer;
  const ssize_t count = recv(this->socket, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    if (this->state != State::Lingering) {
      const Millis now = this->context.clock.Now();
      this->timer.RecordActivity(now);
      this->memoryShare.RecordProgress(static_cast<std::size_t>(count), now);
    }
    // A short read has emptied the socket. The next bytes raise a new event,
    // but the end of the stream, if it was reported already, does not.
    this->mayRead =
      this->hasHungUp || static_cast<std::size_t>(count) == buffer.size();
    return count;
  }
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    this->mayRead = errno == EINTR;
    return -1;
  }
  this->hasHungUp = true;
  this->Close();
  return 0;
}

bool
HttpConnection::ReadOnce()
{
  if (!this->parser && !this->unparsed.empty()) {
    this->ParseStored();
    return true;
  }
  if (!this->mayRead) {
    return false;
  }
  const long count = this->Receive();
  if (count <= 0) {
    return this->mayRead && this->state != State::Closed;
  }
  this->Parse(
    { this->context.readBuffer.data(), static_cast<std::size_t>(count) });
  return true;
}

/** Parses bytes that were just received. */
void
HttpConnection::Parse(std::string_view aBytes)
{
  if (!this->unparsed.empty()) {
    this->unparsed.erase(0, std::exchange(this->parsedBytes, 0));
    this->unparsed.append(aBytes);
    this->ParseStored();
    return;
  }
  this->unparsed = aBytes.substr(this->Feed(aBytes));
  this->HandleParsed();
}

/** Parses the bytes that earlier requests have left. */
void
HttpConnection::ParseStored()
{
  this->parsedBytes +=
    this->Feed(std::string_view(this->unparsed).substr(this->parsedBytes));
  if (this->parsedBytes == this->unparsed.size()) {
    std::string().swap(this->unparsed);
    this->parsedBytes = 0;
  }
  this->HandleParsed();
}

/** Returns the number of bytes that were parsed. */
std::size_t
HttpConnection::Feed(std::string_view aBytes)
{
  if (!this->parser) {
    // The bytes can have been sent after limits were set that the event loop
    // has not applied yet.
    this->context.refreshLimits();
    this->parser =
      std::make_unique<RequestParser>(this->context.limits.request);
    this->wasContinueSent = false;
  }
  return this->parser->Feed(aBytes);
}

void
HttpConnection::HandleParsed()
{
  if (this->parser->State() == RequestState::Refused) {
    this->Refuse(this->parser->Refusal());
    return;
  }
  if (this->parser->State() == RequestState::Complete) {
    if (!this->context.memory.MayPassOn(this->parser->HeldBytes())) {
      this->context.memory.CountRefused(CallerLimit::RequestBytes);
      this->Refuse({ kServiceUnavailable, "no memory for the request" });
      return;
    }
    this->AddRequest();
    this->PassOn();
    return;
  }
  this->pipeline.SetPartialBytes(this->parser->StoredBytes() +
                                 this->unparsed.size() - this->parsedBytes);
}

void
HttpConnection::AddRequest()
{
  PipelinedRequest added;
  added.keepsConnection = this->parser->KeepsConnection();
  added.heldBytes = this->parser->HeldBytes();
  added.request = this->parser->TakeRequest();
  added.request.callerAddress = this->callerAddress;
  added.isHead = added.request.method == "HEAD";
  added.mayRunBeside =
    this->context.mayRunBeside && this->context.mayRunBeside(added.request);
  if (const auto name =
        added.request.headers.find(this->context.requestIdHeader);
      name != added.request.headers.end()) {
    added.name = name->second;
  }
  this->parser.reset();
  this->timer.Start(CallerWait::None, this->context.limits, 0);
  this->pipeline.Add(std::move(added));
  this->pipeline.SetPartialBytes(this->unparsed.size() - this->parsedBytes);
}

/** Returns whether a request was passed on. */
bool
HttpConnection::PassOn()
{
  const RequestId next = this->context.lastRequestId + 1;
  auto request = this->pipeline.PassOn(next);
  if (!request) {
    return false;
  }
  this->context.lastRequestId = next;
  this->context.onRequest(*this, next, std::move(*request));
  return true;
}

/**
 * Tells a caller to send the body that it holds back. It would take an interim
 * answer for one to an earlier request that is outstanding. Returns whether it
 * was sent.
 */
bool
HttpConnection::SendContinue()
{
  if (!this->parser || this->wasContinueSent || !this->mayWrite ||
      !this->pipeline.IsEmpty() || !this->parser->ExpectsContinue()) {
    return false;
  }
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  if (send(this->socket, kContinue.data(), kContinue.size(), MSG_NOSIGNAL) >=
      0) {
    this->wasContinueSent = true;
    return true;
  }
  if (errno == EAGAIN) {
    this->mayWrite = false;
    this->context.onWriteBlocked(*this);
    return false;
  }
  this->Close();
  return true;
}

void
HttpConnection::Refuse(const RequestRefusal& aRefusal)
{
  kLog.Info("request from {} refused with status {}: {}",
            this->callerAddress,
            aRefusal.status,
            aRefusal.reason);
  HttpAnswer answer;
  answer.status = aRefusal.status;
  answer.body.assign(ReasonOf(aRefusal.status)).append("\n");
  if (aRefusal.status == kServiceUnavailable) {
    answer.headers["Retry-After"] = kRetryAfter;
  }
  this->DiscardUnread();
  this->pipeline.AddRefusal(std::move(answer));
}

/** Discards what was received and is not a complete request. */
void
HttpConnection::DiscardUnread()
{
  this->parser.reset();
  std::string().swap(this->unparsed);
  this->parsedBytes = 0;
}

/** Discards a limited amount, as a caller may send without end. */
bool
HttpConnection::Discard()
{
  if (!this->mayRead) {
    return false;
  }
  const long count = this->Receive();
  if (count > 0) {
    this->discardedBytes += static_cast<std::size_t>(count);
    if (this->discardedBytes > this->context.limits.request.bodyBytes) {
      this->Close();
    }
  }
  return this->mayRead && this->state != State::Closed;
}

} // namespace lacewingwharf
