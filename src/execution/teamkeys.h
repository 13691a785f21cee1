#pragma once

#include "common/clock.h"
#include "execution/entrycall.h"
#include "proxy/httptypes.h"

#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * Decides to which team a request belongs, and refuses requests without a known
 * key. A key that no team has is refused for good only if no newer version can
 * have it; otherwise the refusal asks the caller to try again.
 *
 * Runs on the calls thread for every request and is designed for some thousand
 * a second: it computes one SHA-256 of a key, which takes about 0.6
 * microseconds, so digests are not cached.
 */
class TeamKeys
{
public:
  /**
   * aMaxAge is the time within which a new version must be in force on every
   * daemon, and so the age up to which evidence that there is none counts.
   */
  TeamKeys(Clock aClock, Millis aMaxAge);

  /**
   * Sets the time of the last evidence that no version above the held one
   * exists; empty if there is none.
   */
  void SetConfirmedAt(std::optional<Millis> aTime);

  /**
   * Sets the team of the call, whose snapshot and entry must be set. Returns a
   * refusal if the route needs a key and no team has that of the request.
   */
  std::optional<Refusal> Check(EntryCall& aCall) const;

private:
  Refusal RefuseKey() const;

  Clock clock;
  Millis maxAge;
  std::optional<Millis> confirmedAt;
};

/**
 * Removes the caller's key and its own aTeamHeader from the headers for a
 * backend server, and adds the header if the request belongs to a team.
 */
void
ReplaceTeamHeaders(HttpHeaders& aHeaders,
                   const Entry* aTeam,
                   const std::string& aTeamHeader);

} // namespace lacewingwharf
