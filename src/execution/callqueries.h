#pragma once

#include "common/clock.h"
#include "execution/entrycall.h"
#include "peer/peernetwork.h"
#include "peer_types.h"

#include <functional>
#include <string>

namespace lacewingwharf {

/** Asks destination daemons for the fate of calls, and cancels calls there. */
class CallQueries
{
public:
  /** Sends to the destination daemon of an endpoint. */
  using Send = std::function<bool(const EndpointInfo&, wire::Envelope)>;

  /** aWait bounds how long the fate of one call is asked for. */
  CallQueries(Clock aClock, Millis aWait, Send aSend);

  /** False when the destination may have forgotten the call. */
  bool MayAsk(const EntryCall& aCall) const;

  /** The call's session broke: asks now and again until it is answered. */
  void Begin(EntryCall& aCall);

  /** Repeats the query when it is due. */
  void Repeat(EntryCall& aCall);

  /** Whether the bound has passed without an answer. */
  bool IsOver(const EntryCall& aCall) const;

  void Cancel(const EntryCall& aCall);

private:
  void SendQuery(EntryCall& aCall);

  Clock clock;
  Millis wait;
  Send send;
};

} // namespace lacewingwharf
