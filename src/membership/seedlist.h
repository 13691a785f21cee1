#pragma once

#include "common/clock.h"
#include "peer/peernetwork.h"
#include "store/platformjob.h"

#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * The store object seeds/DOMAIN, from which a daemon without peers gets the
 * addresses of members of its failure domain. Only relays write the object,
 * and at long intervals, so that the cost does not grow with the fleet.
 */
class SeedList
{
public:
  SeedList(std::string aDomain, Clock aClock, SubmitPlatformJob aSubmit);

  /** Peers of the last read; empty before the first and after a failed one. */
  const std::vector<PeerAddress>& Peers() const;

  /** Reads the object at intervals while the daemon knows no other member. */
  void ReadWhenAlone(bool aIsAlone);

  /** False for a while after a Publish(); Publish() then does nothing. */
  bool IsPublishDue() const;

  /**
   * Writes the first few of aMembers if they differ from the list that was
   * written last. Called on relays only.
   */
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
