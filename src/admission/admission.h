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

/** A call that needs a slot of a backend server on this host. */
struct AdmissionRequest
{
  std::string callId;
  std::string entry;
  std::string owner;

  /** Empty if the call has none or the catalogue has no teams. */
  std::string team;
  WorkClass workClass = WorkClass::Interactive;
  std::string service;
  int port = 0;
  Millis deadlineAt = 0; // On the admission clock.
  Millis queueWait = 0;  // Longest wait; 0 means until the deadline.

  /** Time until which an answer is fully useful; empty without a target. */
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
 * Decides at the destination daemon whether a call runs now, waits or is
 * refused. It owns the slots and queues of the backend servers on this host.
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

  /**
   * Refuses the calls that wait for the endpoint. Running calls keep their
   * slots until Finish().
   */
  void RemoveEndpoint(const std::string& aService, int aPort);

  /**
   * Sets the catalogue, null until a version is in force, and the view. Each
   * fleet-wide limit is split over the hosts in proportion to their slots of
   * the services that it covers.
   */
  void SetConfiguration(SnapshotPtr aSnapshot, EndpointViewPtr aView);

  /**
   * Calls exactly one of the hooks start and refuse, now or later, unless
   * CancelWaiting() removes the call first. A second offer of a call that waits
   * or runs is ignored.
   */
  void Offer(AdmissionRequest aRequest);

  /** Frees the slot of a started call and starts the next one if one waits. */
  void Finish(const std::string& aCallId, double aServiceMillis);

  /**
   * Removes a waiting call without calling a hook. Returns false when the call
   * does not wait.
   */
  bool CancelWaiting(const std::string& aCallId);

  /** Refuses calls that have waited too long and starts calls in free slots. */
  void Tick();

  EndpointLoad LoadOf(const std::string& aService, int aPort) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
