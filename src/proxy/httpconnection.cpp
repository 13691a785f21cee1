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

} // namespace

HttpConnection::HttpConnection(HttpConnectionContext& aContext,
                               std::uint64_t aId,
                               int aSocket,
                               std::string aCallerAddress)
  : context(aContext)
  , id(aId)
  , socket(aSocket)
  , callerAddress(std::move(aCallerAddress))
{
  this->UpdateTimer();
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
}

/** Returns false when the connection waits for an event. */
bool
HttpConnection::Step()
{
  switch (this->state) {
    case State::Reading:
      return this->ReadOnce();
    case State::Suspended:
      if (this->hasHungUp) {
        this->Close();
      }
      return false;
    case State::Answering:
      return this->Flush();
    case State::Lingering:
      return this->Discard();
    case State::Closed:
      return false;
  }
  return false;
}

/** Returns the number of bytes received, or -1 if there are none yet. */
long
HttpConnection::Receive()
{
  auto& buffer = this->context.readBuffer;
  const ssize_t count = recv(this->socket, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    if (this->state != State::Lingering) {
      this->timer.RecordActivity(this->context.clock.Now());
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
    this->Parse(std::exchange(this->unparsed, {}));
    return true;
  }
  if (!this->mayRead) {
    return false;
  }
  const long count = this->Receive();
  if (count <= 0) {
    return this->mayRead && this->state != State::Closed;
  }
  const std::string_view bytes(this->context.readBuffer.data(),
                               static_cast<std::size_t>(count));
  if (this->unparsed.empty()) {
    this->Parse(bytes);
  } else {
    this->Parse(std::exchange(this->unparsed, {}).append(bytes));
  }
  return true;
}

void
HttpConnection::Parse(std::string_view aBytes)
{
  if (!this->parser) {
    this->parser =
      std::make_unique<RequestParser>(this->context.limits.request);
    this->wasContinueSent = false;
  }
  this->unparsed = aBytes.substr(this->parser->Feed(aBytes));
  this->HandleParsed();
  this->UpdateTimer();
}

void
HttpConnection::HandleParsed()
{
  if (this->parser->State() == RequestState::Refused) {
    this->Refuse(this->parser->Refusal());
    return;
  }
  if (this->parser->State() == RequestState::Complete) {
    this->keepsConnection = this->parser->KeepsConnection();
    HttpRequest request = this->parser->TakeRequest();
    this->parser.reset();
    request.callerAddress = this->callerAddress;
    this->isAnswerToHead = request.method == "HEAD";
    this->SetState(State::Suspended);
    this->context.onRequest(*this, std::move(request));
    return;
  }
  if (this->parser->ExpectsContinue() && !this->wasContinueSent) {
    // The send buffer is empty, because no answer is being sent.
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    this->wasContinueSent = true;
    if (send(this->socket, kContinue.data(), kContinue.size(), MSG_NOSIGNAL) <
        0) {
      this->Close();
    }
  }
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
  this->parser.reset();
  this->unparsed.clear();
  this->isAnswerToHead = false;
  this->StartAnswer(std::move(answer), true);
}

void
HttpConnection::Answer(HttpAnswer aAnswer)
{
  const Ptr keepAlive = this->shared_from_this();
  if (this->state != State::Suspended) {
    return;
  }
  this->StartAnswer(std::move(aAnswer), false);
  this->Run();
}

void
HttpConnection::StartAnswer(HttpAnswer aAnswer, bool aCloses)
{
  AnswerFormat format;
  format.isAnswerToHead = this->isAnswerToHead;
  format.announcesClose = aCloses || aAnswer.endsWithConnection ||
                          !this->keepsConnection ||
                          this->context.announcesClose();
  this->closesAfterAnswer = format.announcesClose;
  this->isEndOfBodyTheClose = aAnswer.endsWithConnection;
  this->outgoingHead = FormatAnswerHead(aAnswer, format);
  this->outgoingBody =
    SendsBody(aAnswer, format) ? std::move(aAnswer.body) : std::string();
  this->sentBytes = 0;
  this->SetState(State::Answering);
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
  this->timer.RecordActivity(this->context.clock.Now());
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
  this->isEndOfBodyTheClose = false;
  this->SetState(this->closesAfterAnswer ? State::Lingering : State::Reading);
  this->context.onAnswered(*this);
  if (this->state == State::Lingering) {
    shutdown(this->socket, SHUT_WR);
  }
  return true;
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

void
HttpConnection::CheckTimeout()
{
  const Ptr keepAlive = this->shared_from_this();
  if (!this->IsExpired()) {
    return;
  }
  // A host that was paused has not read what its callers sent in time.
  this->mayRead = true;
  this->Run();
  if (this->state == State::Closed || !this->IsExpired()) {
    return;
  }
  if (this->timer.Wait() == CallerWait::Head) {
    this->Refuse({ kRequestTimeout, "the head took too long" });
    this->Run();
    return;
  }
  this->Close();
}

bool
HttpConnection::IsExpired() const
{
  return this->timer.IsExpired(this->context.limits, this->context.clock.Now());
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
}

void
HttpConnection::SetState(State aState)
{
  this->state = aState;
  this->UpdateTimer();
}

CallerWait
HttpConnection::CurrentWait() const
{
  switch (this->state) {
    case State::Reading:
      break;
    case State::Answering:
      return CallerWait::Transfer;
    case State::Lingering:
      return CallerWait::Close;
    case State::Suspended:
    case State::Closed:
      return CallerWait::None;
  }
  if (!this->parser || !this->parser->HasStarted()) {
    return CallerWait::Request;
  }
  return this->parser->State() == RequestState::ReadingHead
           ? CallerWait::Head
           : CallerWait::Transfer;
}

/** Starts the time of the current wait when it begins. */
void
HttpConnection::UpdateTimer()
{
  const CallerWait wait = this->CurrentWait();
  if (wait != this->timer.Wait()) {
    this->timer.Start(wait, this->context.limits, this->context.clock.Now());
  }
}

} // namespace lacewingwharf
