#pragma once

#include "common/clock.h"
#include "proxy/answerexpectation.h"
#include "proxy/callermemory.h"
#include "proxy/httptypes.h"
#include "proxy/pipelinebudget.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Copies of a request that are held while it waits or runs: one for repeating
 * it, and one on its way to the server.
 */
inline constexpr std::size_t kRequestCopies = 2;

/** A request that its connection has read and not answered yet. */
struct PipelinedRequest
{
  enum class State
  {
    Waiting, // Complete, but it may not run yet.
    PassedOn,
    Answered,
    Aborted
  };

  State state = State::Waiting;
  RequestId id = 0; // 0 until it is passed on.
  HttpRequest request;
  HttpAnswer answer;
  std::string name; // Its id for the log.
  bool mayRunBeside = false;
  bool keepsConnection = true;
  bool isHead = false;
  Millis readAt = 0;         // 0 if it was the first when it was read.
  Millis answeredAt = 0;     // 0 if it was the first when it was answered.
  std::size_t bytes = 0;     // Of the request or, once it is there, its answer.
  std::size_t heldBytes = 0; // Memory of the request.
};

/**
 * The requests of one connection in their order. Decides which of them may run,
 * whether more may be read, and which answer announces the close. It has no
 * socket.
 *
 * A request that may be repeated runs beside others of its kind. Any other
 * request runs alone: after all answers before it were sent, and before any
 * request behind it. The last request that was passed on carries the close,
 * because callers send again what is behind a closing answer.
 *
 * It is designed for connections on which 4 to 16 requests are outstanding and
 * for 2000 connections of a host with 160 MB of memory. Its operations are
 * linear in the outstanding requests of the connection.
 */
class RequestPipeline
{
public:
  RequestPipeline(PipelineBudget& aBudget, Clock aClock);
  ~RequestPipeline();

  RequestPipeline(const RequestPipeline&) = delete;
  RequestPipeline& operator=(const RequestPipeline&) = delete;

  /**
   * Whether more bytes may be read. Always true without outstanding requests,
   * so that the limits never stop a connection for good.
   */
  bool MayRead() const;

  /** Bytes that were read of a request that is not complete. */
  void SetPartialBytes(std::size_t aBytes);

  /** Adds a complete request. */
  void Add(PipelinedRequest aRequest);

  /** Adds the answer to a request that was refused. Ends reading. */
  void AddRefusal(HttpAnswer aAnswer);

  /** Nothing more is read; the last answer closes the connection. */
  void EndReading();
  bool IsReadingOver() const;

  /**
   * Replaces answers behind the first one by the status 502, the last ones
   * first, until at least aBytes are freed. Returns the bytes that were freed.
   */
  std::size_t DropAnswers(std::size_t aBytes);

  /** Returns the next request if it may run now, and marks it as passed on. */
  std::optional<HttpRequest> PassOn(RequestId aId);

  /** Returns whether the request is outstanding. */
  bool SetAnswer(RequestId aId, HttpAnswer aAnswer);
  bool Abort(RequestId aId);

  bool IsEmpty() const;
  PipelinedRequest& First();

  /** In order; the first is the next to be answered. */
  const std::vector<PipelinedRequest>& Requests() const;

  /** Memory of the requests and of the answers that are not being sent yet. */
  HeldBytes Held() const;

  /** Whether the caller has to wait for any request. */
  bool HasUnanswered() const;

  /**
   * Whether the first answer announces the close. aIsStopping: no request that
   * was not passed on yet is passed on.
   */
  bool ClosesAfterFirst(bool aIsStopping);

  /** How long the first answer waited for earlier ones. */
  Millis FirstWaited() const;

  /** The first answer was sent. */
  void RemoveFirst();

private:
  PipelinedRequest* Find(RequestId aId);
  void DropNotPassedOn();
  void LearnFrom(std::size_t aAnswerBytes);
  std::size_t ExpectedBytes() const;
  std::size_t CostOf(const PipelinedRequest& aRequest) const;
  void Recount();

  PipelineBudget& budget;
  Clock clock;
  std::vector<PipelinedRequest> requests;
  std::size_t partialBytes = 0;
  std::optional<AnswerExpectation> expectation; // Nothing before an answer.
  std::size_t heldBytes = 0;
  bool isReadingOver = false;
};

inline bool
RequestPipeline::IsEmpty() const
{
  return this->requests.empty();
}

inline bool
RequestPipeline::IsReadingOver() const
{
  return this->isReadingOver;
}

inline PipelinedRequest&
RequestPipeline::First()
{
  return this->requests.front();
}

inline const std::vector<PipelinedRequest>&
RequestPipeline::Requests() const
{
  return this->requests;
}

} // namespace lacewingwharf
