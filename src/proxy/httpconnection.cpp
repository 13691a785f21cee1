#include "proxy/httpconnection.h"

#include "common/log.h"
#include "proxy/answerwriter.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr int kRequestTimeout = 408;

// Capacity of a string that has allocated nothing.
const std::size_t kInlineBytes = std::string().capacity();

} // namespace

HttpConnection::HttpConnection(HttpConnectionContext& aContext,
                               std::uint64_t aId,
                               int aSocket,
                               std::string aCallerAddress)
  : context(aContext)
  , id(aId)
  , socket(aSocket)
  , callerAddress(std::move(aCallerAddress))
  , memoryShare(aContext.memory, aId, this->callerAddress)
  , pipeline(aContext.pipelineBudget, aContext.clock)
{
  this->UpdateTimers();
}

HttpConnection::~HttpConnection()
{
  if (this->socket >= 0) {
    close(this->socket);
  }
}

void
HttpConnection::HandleEvents(std::uint32_t aEvents)
{
  const Ptr keepAlive = this->shared_from_this();
  if ((aEvents & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    this->hasHungUp = true;
  }
  this->mayRead |= this->hasHungUp || (aEvents & EPOLLIN) != 0;
  this->mayWrite |= (aEvents & EPOLLOUT) != 0;
  this->Run();
}

void
HttpConnection::Run()
{
  while (this->Step()) {
  }
  this->UpdateTimers();
  this->CountMemory();
}

/** Returns false when the connection waits for an event. */
bool
HttpConnection::Step()
{
  switch (this->state) {
    case State::Open:
      break;
    case State::Lingering:
      return this->Discard();
    case State::Closed:
      return false;
  }
  if (this->hasHungUp && this->pipeline.HasUnanswered()) {
    this->Close();
    return false;
  }
  if (this->isSending) {
    return this->Flush();
  }
  if (this->PassOn() || this->StartAnswer()) {
    return true;
  }
  return this->SendContinue() || (this->pipeline.MayRead() && this->ReadOnce());
}

void
HttpConnection::Answer(RequestId aRequest, HttpAnswer aAnswer)
{
  const Ptr keepAlive = this->shared_from_this();
  if (this->pipeline.SetAnswer(aRequest, std::move(aAnswer))) {
    this->Run();
  }
}

void
HttpConnection::Abort(RequestId aRequest)
{
  const Ptr keepAlive = this->shared_from_this();
  if (this->pipeline.Abort(aRequest)) {
    this->Run();
  }
}

/** Returns whether the answer that is due next is there. */
bool
HttpConnection::StartAnswer()
{
  if (this->pipeline.IsEmpty()) {
    return false;
  }
  if (this->pipeline.First().state == PipelinedRequest::State::Aborted) {
    this->Close();
    return true;
  }
  if (this->pipeline.First().state != PipelinedRequest::State::Answered) {
    return false;
  }
  AnswerFormat format;
  format.announcesClose =
    this->pipeline.ClosesAfterFirst(this->context.announcesClose());
  PipelinedRequest& first = this->pipeline.First();
  format.isAnswerToHead = first.isHead;
  this->RecordWait(first);
  this->closesAfterAnswer = format.announcesClose;
  this->isEndOfBodyTheClose = first.answer.endsWithConnection;
  this->outgoingHead = FormatAnswerHead(first.answer, format);
  this->outgoingBody = SendsBody(first.answer, format)
                         ? std::move(first.answer.body)
                         : std::string();
  this->sentBytes = 0;
  this->isSending = true;
  return true;
}

void
HttpConnection::RecordWait(const PipelinedRequest& aRequest)
{
  if (aRequest.answeredAt == 0) {
    return;
  }
  const Millis waited = this->pipeline.FirstWaited();
  this->context.pipelineBudget.CountWait(waited);
  if (waited > 0) {
    kLog.Decision("answer-waited",
                  "request={} status={} waited_ms={} outstanding={}",
                  aRequest.name.empty() ? "-" : aRequest.name,
                  aRequest.answer.status,
                  waited,
                  this->pipeline.Requests().size());
  }
}

bool
HttpConnection::Flush()
{
  if (!this->mayWrite) {
    return false;
  }
  std::array<iovec, 2> parts{};
  std::size_t skipped = this->sentBytes;
  std::size_t index = 0;
  for (std::string* text : { &this->outgoingHead, &this->outgoingBody }) {
    const std::size_t skippedHere = std::min(skipped, text->size());
    parts[index].iov_base = text->data() + skippedHere;
    parts[index].iov_len = text->size() - skippedHere;
    skipped -= skippedHere;
    ++index;
  }
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  const ssize_t sent = sendmsg(this->socket, &message, MSG_NOSIGNAL);
  if (sent < 0) {
    if (errno == EINTR) {
      return true;
    }
    if (errno != EAGAIN) {
      this->hasHungUp = true;
      this->Close();
      return false;
    }
    this->mayWrite = false;
    this->context.onWriteBlocked(*this);
    return false;
  }
  if (this->sendTimer.Wait() != CallerWait::None) {
    const Millis now = this->context.clock.Now();
    this->sendTimer.RecordActivity(now);
    this->memoryShare.RecordProgress(static_cast<std::size_t>(sent), now);
  }
  this->sentBytes += static_cast<std::size_t>(sent);
  if (this->sentBytes < this->outgoingHead.size() + this->outgoingBody.size()) {
    return true;
  }
  return this->FinishAnswer();
}

bool
HttpConnection::FinishAnswer()
{
  this->outgoingHead = {};
  this->outgoingBody = {};
  this->isSending = false;
  this->isEndOfBodyTheClose = false;
  this->context.onAnswered(*this);
  this->pipeline.RemoveFirst();
  if (this->closesAfterAnswer) {
    this->state = State::Lingering;
    this->DiscardUnread();
    shutdown(this->socket, SHUT_WR);
  }
  return true;
}

void
HttpConnection::CheckTimeout()
{
  const Ptr keepAlive = this->shared_from_this();
  if (!this->pipeline.IsEmpty() && this->state == State::Open) {
    // Another connection may have released memory since this one stopped
    // reading, and nothing else makes it read what has arrived.
    this->Run();
  }
  if (!this->IsExpired()) {
    return;
  }
  // A host that was paused has not read what its callers sent in time.
  this->mayRead = true;
  this->Run();
  if (this->state == State::Closed || !this->IsExpired()) {
    return;
  }
  const bool isSendExpired =
    this->sendTimer.IsExpired(this->context.limits, this->context.clock.Now());
  if (!isSendExpired && this->timer.Wait() == CallerWait::Head) {
    this->Refuse({ kRequestTimeout, "the head took too long" });
    this->Run();
    return;
  }
  if (!isSendExpired && !this->pipeline.IsEmpty()) {
    // The requests before the one whose body stopped arriving are answered.
    this->DiscardUnread();
    this->pipeline.EndReading();
    this->Run();
    return;
  }
  this->Close();
}

bool
HttpConnection::IsExpired() const
{
  const Millis now = this->context.clock.Now();
  return this->timer.IsExpired(this->context.limits, now) ||
         this->sendTimer.IsExpired(this->context.limits, now);
}

void
HttpConnection::Close()
{
  if (this->state == State::Closed) {
    return;
  }
  if (this->isEndOfBodyTheClose) {
    // The close would make the rest of the body look complete.
    const linger reset{ 1, 0 }; // Closes with a TCP reset.
    setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  close(std::exchange(this->socket, -1));
  this->context.onClosed(*this);
  this->state = State::Closed;
  this->memoryShare.Set({}, false);
}

/** What is waited for to be read. */
CallerWait
HttpConnection::CurrentWait() const
{
  if (this->state == State::Closed) {
    return CallerWait::None;
  }
  if (this->state == State::Lingering) {
    return CallerWait::Close;
  }
  if (!this->parser || !this->parser->HasStarted()) {
    return this->pipeline.IsEmpty() ? CallerWait::Request : CallerWait::None;
  }
  // A caller is not late while nothing is read from it, or while it waits to be
  // told to continue.
  const bool waitsToContinue = !this->pipeline.IsEmpty() &&
                               !this->wasContinueSent &&
                               this->parser->ExpectsContinue();
  if (this->isSending || !this->pipeline.MayRead() || waitsToContinue) {
    return CallerWait::None;
  }
  return this->parser->State() == RequestState::ReadingHead
           ? CallerWait::Head
           : CallerWait::Transfer;
}

/** Starts the time of the current waits when they begin. */
void
HttpConnection::UpdateTimers()
{
  const CallerWait wait = this->CurrentWait();
  if (wait != this->timer.Wait()) {
    this->timer.Start(wait, this->context.limits, this->context.clock.Now());
  }
  const CallerWait sendWait = this->isSending && this->state == State::Open
                                ? CallerWait::Transfer
                                : CallerWait::None;
  if (sendWait != this->sendTimer.Wait()) {
    this->sendTimer.Start(
      sendWait, this->context.limits, this->context.clock.Now());
  }
}

void
HttpConnection::CountMemory()
{
  if (this->state == State::Closed) {
    return;
  }
  HeldBytes held = this->pipeline.Held();
  held.reading =
    this->unparsed.capacity() > kInlineBytes ? this->unparsed.capacity() : 0;
  held.reading += this->parser ? this->parser->HeldBytes() : 0;
  held.answers += this->outgoingBody.size();
  this->memoryShare.Set(
    held, this->state == State::Open && !this->pipeline.IsEmpty());
}

} // namespace lacewingwharf
