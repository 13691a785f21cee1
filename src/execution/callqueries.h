#pragma once

#include "common/clock.h"
#include "execution/entrycall.h"
#include "peer/peernetwork.h"
#include "peer_types.h"

#include <functional>
#include <string>

namespace lacewingwharf {

/** Sends call status queries and cancellations to destination daemons. */
class CallQueries
{
public:
  /** Sends to the destination daemon of an endpoint. */
  using Send = std::function<bool(const EndpointInfo&, wire::Envelope)>;

  /** aWait limits how long the status of one call is queried. */
  CallQueries(Clock aClock, Millis aWait, Send aSend);

  /**
   * False when the destination may drop its record of the call before the query
   * ends.
   */
  bool MayQuery(const EntryCall& aCall) const;

  /**
   * Starts to query the status of a call whose session was lost. Repeat() sends
   * the query again until it is answered.
   */
  void Begin(EntryCall& aCall);

  /** Repeats the query when it is due. */
  void Repeat(EntryCall& aCall);

  /** Whether the time limit has passed without an answer. */
  bool IsOver(const EntryCall& aCall) const;

  void Cancel(const Attempt& aAttempt);

private:
  void SendQuery(EntryCall& aCall);

  Clock clock;
  Millis wait;
  Send send;
};

} // namespace lacewingwharf
