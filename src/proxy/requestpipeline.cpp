#include "proxy/requestpipeline.h"

#include "common/log.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("http");

constexpr int kBadGateway = 502;

// Memory of an outstanding request besides its texts.
constexpr std::size_t kRequestBytes = 1024;

// Memory of a header besides its texts: a node of the table and two strings.
// Without it, a head of 16 KiB of empty headers would hold 300 KiB.
constexpr std::size_t kHeaderBytes = 128;

// A connection with fewer outstanding requests keeps its memory for them.
constexpr std::size_t kMaxKeptRequests = 2;

// Dropping a smaller answer would free hardly anything.
constexpr std::size_t kMinDroppedBytes = 1024;

/** Says that the request may have run, but has no answer that can be sent. */
HttpAnswer
AnswerForDropped()
{
  return { kBadGateway, {}, "Bad Gateway\n" };
}

std::size_t
BytesOf(const HttpHeaders& aHeaders)
{
  return std::transform_reduce(aHeaders.begin(),
                               aHeaders.end(),
                               std::size_t{ 0 },
                               std::plus<>(),
                               [](const auto& aHeader) {
                                 return kHeaderBytes + aHeader.first.size() +
                                        aHeader.second.size();
                               });
}

} // namespace

RequestPipeline::RequestPipeline(PipelineBudget& aBudget, Clock aClock)
  : budget(aBudget)
  , clock(std::move(aClock))
{
}

RequestPipeline::~RequestPipeline()
{
  this->budget.Replace(this->heldBytes, 0);
}

bool
RequestPipeline::MayRead() const
{
  if (this->isReadingOver) {
    return false;
  }
  const PipelineLimits& limits = this->budget.Limits();
  return this->requests.empty() ||
         (this->requests.size() <= limits.requests &&
          this->heldBytes < limits.connectionBytes && this->budget.HasRoom());
}

void
RequestPipeline::SetPartialBytes(std::size_t aBytes)
{
  if (this->partialBytes != aBytes) {
    this->partialBytes = aBytes;
    this->Recount();
  }
}

void
RequestPipeline::Add(PipelinedRequest aRequest)
{
  if (!this->requests.empty()) {
    aRequest.readAt = this->clock.Now();
    aRequest.bytes = aRequest.request.target.size() +
                     BytesOf(aRequest.request.headers) +
                     aRequest.request.body.size();
    this->budget.CountReadAhead();
  }
  this->isReadingOver = this->isReadingOver || !aRequest.keepsConnection;
  this->requests.push_back(std::move(aRequest));
  this->Recount();
}

void
RequestPipeline::AddRefusal(HttpAnswer aAnswer)
{
  PipelinedRequest refused;
  refused.state = PipelinedRequest::State::Answered;
  refused.answer = std::move(aAnswer);
  this->requests.push_back(std::move(refused));
  this->EndReading();
}

void
RequestPipeline::EndReading()
{
  this->isReadingOver = true;
  this->partialBytes = 0;
  this->Recount();
}

std::size_t
RequestPipeline::DropAnswers(std::size_t aBytes)
{
  std::size_t freed = 0;
  for (std::size_t i = this->requests.size(); i > 1; --i) {
    PipelinedRequest& request = this->requests[i - 1];
    const std::size_t bytes = request.answer.body.size();
    if (freed >= aBytes || request.state != PipelinedRequest::State::Answered ||
        bytes < kMinDroppedBytes) {
      continue;
    }
    kLog.Decision("answer-dropped",
                  "request={} status={} bytes={} to_free={} outstanding={}",
                  request.name.empty() ? "-" : request.name,
                  request.answer.status,
                  bytes,
                  aBytes - freed,
                  this->requests.size());
    request.answer = AnswerForDropped();
    request.bytes = request.answer.body.size();
    freed += bytes - request.bytes;
  }
  this->Recount();
  return freed;
}

std::optional<HttpRequest>
RequestPipeline::PassOn(RequestId aId)
{
  const auto next = std::ranges::find(
    this->requests, PipelinedRequest::State::Waiting, &PipelinedRequest::state);
  if (next == this->requests.end()) {
    return std::nullopt;
  }
  // All before the previous one may run beside others, or it would not run.
  const bool mayRun = next == this->requests.begin() ||
                      (next->mayRunBeside && std::prev(next)->mayRunBeside);
  if (!mayRun) {
    return std::nullopt;
  }
  next->state = PipelinedRequest::State::PassedOn;
  next->id = aId;
  HttpRequest request = std::move(next->request);
  request.waited = next->readAt > 0 ? this->clock.Now() - next->readAt : 0;
  this->Recount();
  return request;
}

PipelinedRequest*
RequestPipeline::Find(RequestId aId)
{
  const auto found =
    std::ranges::find(this->requests, aId, &PipelinedRequest::id);
  return found != this->requests.end() &&
             found->state == PipelinedRequest::State::PassedOn
           ? &*found
           : nullptr;
}

bool
RequestPipeline::SetAnswer(RequestId aId, HttpAnswer aAnswer)
{
  if (this->Find(aId) == nullptr) {
    return false;
  }
  if (aAnswer.endsWithConnection) {
    this->EndReading();
    this->DropNotPassedOn();
  }
  PipelinedRequest& request = *this->Find(aId);
  const bool isLast = &request == &this->requests.back();
  if (aAnswer.endsWithConnection && !isLast) {
    // Its end could only be shown by a close, which would lose the answers
    // behind it, and a length could make a truncated body look complete.
    kLog.Decision("unframed-answer-dropped",
                  "request={} status={} bytes={} outstanding={}",
                  request.name.empty() ? "-" : request.name,
                  aAnswer.status,
                  aAnswer.body.size(),
                  this->requests.size());
    aAnswer = AnswerForDropped();
  }
  this->LearnFrom(aAnswer.body.size());
  request.state = PipelinedRequest::State::Answered;
  if (&request != &this->requests.front()) {
    request.answeredAt = this->clock.Now();
    request.bytes = BytesOf(aAnswer.headers) + aAnswer.body.size();
  }
  request.answer = std::move(aAnswer);
  this->Recount();
  return true;
}

bool
RequestPipeline::Abort(RequestId aId)
{
  PipelinedRequest* const request = this->Find(aId);
  if (request == nullptr) {
    return false;
  }
  request->state = PipelinedRequest::State::Aborted;
  this->EndReading();
  this->DropNotPassedOn();
  return true;
}

/** Callers send again what is behind a closing answer. */
void
RequestPipeline::DropNotPassedOn()
{
  if (this->requests.size() > 1) {
    this->requests.erase(std::find_if(std::next(this->requests.begin()),
                                      this->requests.end(),
                                      [](const PipelinedRequest& aRequest) {
                                        return aRequest.id == 0;
                                      }),
                         this->requests.end());
    this->Recount();
  }
}

bool
RequestPipeline::HasUnanswered() const
{
  return std::ranges::any_of(
    this->requests, [](const PipelinedRequest& aRequest) {
      return aRequest.state == PipelinedRequest::State::Waiting ||
             aRequest.state == PipelinedRequest::State::PassedOn;
    });
}

HeldBytes
RequestPipeline::Held() const
{
  HeldBytes held;
  std::ranges::for_each(this->requests, [&held](const auto& aRequest) {
    if (aRequest.state == PipelinedRequest::State::Answered) {
      held.answers += aRequest.answer.body.size();
    } else {
      held.requests += kRequestCopies * aRequest.heldBytes;
    }
  });
  return held;
}

bool
RequestPipeline::ClosesAfterFirst(bool aIsStopping)
{
  if (aIsStopping) {
    this->EndReading();
    this->DropNotPassedOn();
  }
  return this->isReadingOver && this->requests.size() == 1;
}

Millis
RequestPipeline::FirstWaited() const
{
  const Millis answeredAt = this->requests.front().answeredAt;
  return answeredAt > 0 ? this->clock.Now() - answeredAt : 0;
}

void
RequestPipeline::RemoveFirst()
{
  this->requests.erase(this->requests.begin());
  if (this->requests.empty() && this->requests.capacity() > kMaxKeptRequests) {
    std::vector<PipelinedRequest>().swap(this->requests);
  }
  this->Recount();
}

void
RequestPipeline::LearnFrom(std::size_t aAnswerBytes)
{
  if (!this->expectation) {
    this->expectation.emplace();
  }
  this->expectation->Add(aAnswerBytes);
  this->budget.CountAnswer(aAnswerBytes);
}

std::size_t
RequestPipeline::ExpectedBytes() const
{
  return this->expectation ? this->expectation->Bytes()
                           : this->budget.ExpectedBytes();
}

std::size_t
RequestPipeline::CostOf(const PipelinedRequest& aRequest) const
{
  return kRequestBytes + (aRequest.state == PipelinedRequest::State::PassedOn
                            ? std::max(aRequest.bytes, this->ExpectedBytes())
                            : aRequest.bytes);
}

/** The first request is free, as one must always be possible. */
void
RequestPipeline::Recount()
{
  std::size_t bytes = 0;
  if (!this->requests.empty()) {
    bytes = std::transform_reduce(std::next(this->requests.begin()),
                                  this->requests.end(),
                                  this->partialBytes,
                                  std::plus<>(),
                                  [this](const PipelinedRequest& aRequest) {
                                    return this->CostOf(aRequest);
                                  });
  }
  if (bytes != this->heldBytes) {
    this->budget.Replace(this->heldBytes, bytes);
    this->heldBytes = bytes;
  }
}

} // namespace lacewingwharf
