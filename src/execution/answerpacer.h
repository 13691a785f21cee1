#pragma once

#include "common/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * Paces the large answers of the servers on this host to the rate of its link.
 *
 * It answers the load of downloads that exceed a slow link. Sent at once, they
 * form a queue in the link that also holds up small answers and pings, so that
 * other calls time out and other daemons declare this one dead. An answer is
 * therefore sent when the link has had the time for the one before it, and a
 * call is refused at once, for another server to run it, if its answer would
 * leave too late.
 */
class AnswerPacer
{
public:
  /** aBytesPerMilli is the rate of large answers; 0 disables the pacing. */
  explicit AnswerPacer(double aBytesPerMilli);

  bool IsEnabled() const;

  /**
   * Returns how long the answer of a new call would be late, or nothing if the
   * call can be accepted. A call that misses its target without any backlog is
   * measured against its deadline. Without a backlog, every call is accepted.
   */
  std::optional<Millis> LatenessOf(const std::string& aEntry,
                                   std::optional<Millis> aTargetAt,
                                   Millis aDeadlineAt,
                                   double aNow) const;

  /**
   * Counts an accepted call with the mean size of its entry's answers, until
   * Queue() or Remove().
   */
  void Reserve(const std::string& aCallId, const std::string& aEntry);

  /** Adds an answer that is ready. */
  void Queue(const std::string& aCallId,
             const std::string& aEntry,
             std::size_t aBytes);

  /** Forgets a call whose answer is not to be sent here. */
  void Remove(const std::string& aCallId);

  /** Takes the call whose answer is to be sent now, if the link has room. */
  std::optional<std::string> TakeNext(double aNow);

  /** Bytes of the answers that wait. */
  std::size_t WaitingBytes() const;

private:
  struct WaitingAnswer
  {
    std::string callId;
    std::size_t bytes = 0;
  };

  struct MeanSize
  {
    double bytes = 0;
    int answers = 0;
  };

  double MeanBytes(const std::string& aEntry) const;
  void Release(const std::string& aCallId);

  double rate = 0;
  double freeAt = 0; // When the link will have sent what was taken.
  double reservedBytes = 0;
  std::map<std::string, double> reservations; // By call id.
  std::size_t waitingBytes = 0;
  std::deque<WaitingAnswer> waiting;
  std::map<std::string, MeanSize> meanBytesByEntry;
};

inline bool
AnswerPacer::IsEnabled() const
{
  return this->rate > 0;
}

inline std::size_t
AnswerPacer::WaitingBytes() const
{
  return this->waitingBytes;
}

} // namespace lacewingwharf
