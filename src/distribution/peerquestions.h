#pragma once

#include "common/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace lacewingwharf {

/**
 * Remembers when each peer was asked for its version, so that the evidence in
 * an answer is never taken for younger than the question that it answers. A
 * peer replies on the session of the question, so an answer never belongs to a
 * question of an earlier process of this host.
 */
class PeerQuestions
{
public:
  explicit PeerQuestions(Clock aClock);

  /** Records a question to aHost and returns its number. */
  std::int64_t Ask(const std::string& aHost);

  /**
   * Ends the question that an answer of aHost belongs to, and returns when it
   * was asked; empty if no such question is open. aNumber is empty for peers of
   * earlier builds, which do not repeat the number. Their answer may belong to
   * any question, so the time of the first one to aHost is returned.
   */
  std::optional<Millis> TakeAskedAt(const std::string& aHost,
                                    std::optional<std::int64_t> aNumber);

private:
  struct Peer
  {
    Millis firstAskedAt = 0;
    std::map<std::int64_t, Millis> open; // Times of questions, by number.
  };

  Clock clock;
  std::int64_t lastNumber = 0;
  std::map<std::string, Peer> peers;
};

} // namespace lacewingwharf
