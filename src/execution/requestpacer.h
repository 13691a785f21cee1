#pragma once

#include "common/clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Allows a part of a large request to be sent to this host. */
struct PartGrant
{
  std::string callId;

  /** What may have been sent of the body with this part. */
  std::size_t grantedBytes = 0;
};

/**
 * Paces the large requests for the servers on this host to the rate of its
 * link.
 *
 * It answers the load of uploads that exceed a slow link. Sent at once, they
 * form a queue in the link that also holds up small requests, which then miss
 * their time limits although their servers are free. A body is therefore sent
 * in parts, each when the link has had the time for the one before it, and a
 * call is refused before its body is sent if the body would arrive too late.
 */
class RequestPacer
{
public:
  /** aBytesPerMilli is the rate of large requests; 0 disables the pacing. */
  explicit RequestPacer(double aBytesPerMilli);

  /**
   * See LatenessOnLink(). A body whose sender does not keep up counts only with
   * what was granted: the link has time for other bodies meanwhile.
   */
  std::optional<Millis> LatenessOf(std::size_t aBytes,
                                   std::optional<Millis> aTargetAt,
                                   Millis aDeadlineAt,
                                   double aNow) const;

  /** Adds an accepted call whose body is to be sent. */
  void Add(const std::string& aCallId, std::size_t aBytes);

  /** Records how much of a body is there. */
  void RecordReceived(const std::string& aCallId, std::size_t aBytes);

  /** Forgets a call, if its body was not granted whole. */
  void Remove(const std::string& aCallId);

  /** Takes the part that is to be sent now, if the link has room. */
  std::optional<PartGrant> TakeNext(double aNow);

  /** Bytes of bodies that were not granted yet. */
  std::size_t WaitingBytes() const;

private:
  struct WaitingBody
  {
    std::string callId;
    std::size_t bodyBytes = 0;
    std::size_t grantedBytes = 0;
    std::size_t receivedBytes = 0;
  };

  /** Whether too much of a granted body is not there yet. */
  bool IsPassedOver(const WaitingBody& aBody) const;

  std::deque<WaitingBody>::iterator Find(const std::string& aCallId);

  double rate = 0;
  double freeAt = 0; // When the link will have received what was granted.
  std::size_t waitingBytes = 0;
  std::deque<WaitingBody> waiting;
};

inline std::size_t
RequestPacer::WaitingBytes() const
{
  return this->waitingBytes;
}

} // namespace lacewingwharf
