#pragma once

#include "admission/refusal.h"
#include "catalogue/snapshot.h"
#include "common/clock.h"
#include "membership/endpointview.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace lacewingwharf {

/** A call that asks for a slot of a backend server on this host. */
struct AdmissionRequest
{
  std::string callId;
  std::string entry;
  std::string owner;
  WorkClass workClass = WorkClass::Interactive;
  std::string service;
  int port = 0;
  Millis deadlineAt = 0; // On the admission clock.
  Millis queueWait = 0;  // 0 means no bound but the deadline.

  /** Until when an answer is of full use; empty where no target is stated. */
  std::optional<Millis> targetAt;
};

/** Load of one backend server on this host. */
struct EndpointLoad
{
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/**
 * Decides at the destination daemon which call runs now, waits or is refused.
 * It owns the slots and queues of the backend servers on this host.
 */
class Admission
{
public:
  struct Hooks
  {
    std::function<void(const std::string& aCallId)> start;
    std::function<void(const std::string& aCallId, const Refusal&)> refuse;
  };

  Admission(std::string aHost, Clock aClock, Hooks aHooks);
  ~Admission();

  void SetEndpoint(const std::string& aService,
                   int aPort,
                   int aSlots,
                   int aConnections,
                   EndpointState aState);

  /** Refuses what waits there; running calls stay until Finish(). */
  void RemoveEndpoint(const std::string& aService, int aPort);

  /** Splits fleet-wide limits by this host's part of each service's slots. */
  void SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView);

  /** Ends in exactly one call of start or refuse, at once or later. */
  void Offer(AdmissionRequest aRequest);

  /** Frees the slot of a started call and may start the next. */
  void Finish(const std::string& aCallId, double aServiceMillis);

  /** Removes a waiting call without a hook; false when it is not waiting. */
  bool CancelWaiting(const std::string& aCallId);

  /** Refuses calls whose time in the queue has passed. */
  void Tick();

  EndpointLoad LoadOf(const std::string& aService, int aPort) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
