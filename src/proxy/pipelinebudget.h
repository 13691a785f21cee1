#pragma once

#include "common/clock.h"
#include "proxy/answerexpectation.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace lacewingwharf {

/** Limits on what is read before the first request of a connection is done. */
struct PipelineLimits
{
  /** Requests behind the first one; 0 means that nothing is read ahead. */
  std::size_t requests = 32;

  /** Of the requests behind the first one and their answers. */
  std::size_t connectionBytes = 1U << 20U;

  /** The same, of all connections. */
  std::size_t totalBytes = 16U << 20U;
};

/** What pipelining did since the start. */
struct PipelineCounts
{
  std::uint64_t requestsReadAhead = 0;
  std::uint64_t answersWaited = 0; // Behind earlier ones.
  Millis millisWaited = 0;
  std::size_t heldBytes = 0; // Now, of requests behind the first of theirs.
};

/**
 * What the connections of one server have read ahead together. Written by the
 * server thread only.
 */
class PipelineBudget
{
public:
  explicit PipelineBudget(const PipelineLimits& aLimits);

  const PipelineLimits& Limits() const;

  /** Replaces the share of a connection. */
  void Replace(std::size_t aOldBytes, std::size_t aNewBytes);
  bool HasRoom() const;

  /** Bytes that an answer on a new connection is expected to have. */
  std::size_t ExpectedBytes() const;
  void CountAnswer(std::size_t aBytes);

  void CountReadAhead();
  void CountWait(Millis aWaited);

  /** May be called from any thread. */
  PipelineCounts Counts() const;

private:
  PipelineLimits limits;
  AnswerExpectation expectation;
  std::atomic<std::size_t> heldBytes{ 0 };
  std::atomic<std::uint64_t> requestsReadAhead{ 0 };
  std::atomic<std::uint64_t> answersWaited{ 0 };
  std::atomic<Millis> millisWaited{ 0 };
};

inline PipelineBudget::PipelineBudget(const PipelineLimits& aLimits)
  : limits(aLimits)
{
}

inline const PipelineLimits&
PipelineBudget::Limits() const
{
  return this->limits;
}

inline void
PipelineBudget::Replace(std::size_t aOldBytes, std::size_t aNewBytes)
{
  this->heldBytes += aNewBytes - aOldBytes;
}

inline bool
PipelineBudget::HasRoom() const
{
  return this->heldBytes < this->limits.totalBytes;
}

inline std::size_t
PipelineBudget::ExpectedBytes() const
{
  return this->expectation.Bytes();
}

inline void
PipelineBudget::CountAnswer(std::size_t aBytes)
{
  this->expectation.Add(aBytes);
}

inline void
PipelineBudget::CountReadAhead()
{
  ++this->requestsReadAhead;
}

inline void
PipelineBudget::CountWait(Millis aWaited)
{
  ++this->answersWaited;
  this->millisWaited += aWaited;
}

inline PipelineCounts
PipelineBudget::Counts() const
{
  return { this->requestsReadAhead,
           this->answersWaited,
           this->millisWaited,
           this->heldBytes };
}

} // namespace lacewingwharf
