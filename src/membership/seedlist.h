#pragma once

#include "common/clock.h"
#include "peer/peernetwork.h"
#include "store/platformjob.h"

#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * The object seeds/DOMAIN: where a daemon without peers finds its failure
 * domain. Feeders write it, rarely, so that its cost does not grow with the
 * fleet.
 */
class SeedList
{
public:
  SeedList(std::string aDomain, Clock aClock, SubmitPlatformJob aSubmit);

  /** What the platform last said; empty until a read has succeeded. */
  const std::vector<PeerAddress>& Peers() const;

  /** Reads the object when the daemon knows no other member. */
  void ReadWhenAlone(bool aIsAlone);

  /** False for some time after Publish(), which then does nothing. */
  bool IsPublishDue() const;

  /** Writes a few live members when they changed; for feeders. */
  void Publish(const std::vector<PeerAddress>& aMembers);

private:
  struct State
  {
    std::vector<PeerAddress> peers;
    bool isBusy = false;
  };

  std::string domain;
  Clock clock;
  SubmitPlatformJob submit;
  std::shared_ptr<State> state = std::make_shared<State>();
  std::string publishedText;
  Millis nextReadAt = 0;
  Millis nextWriteAt = 0;
};

inline const std::vector<PeerAddress>&
SeedList::Peers() const
{
  return this->state->peers;
}

inline bool
SeedList::IsPublishDue() const
{
  return this->clock.Now() >= this->nextWriteAt;
}

} // namespace lacewingwharf
