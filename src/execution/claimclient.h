#pragma once

#include "common/clock.h"
#include "peer_types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

struct ClaimClientConfig
{
  std::string self;
  Millis tryTimeout = 800;
  Millis totalTimeout = 2500;

  /** Delay before a claim is reported as done. Releases are sent at once. */
  Millis doneDelay = 200;
  Millis repeatInterval = 2000;
  Millis repeatLimit = 60000;
  std::size_t maxUpdates = 20000;
};

struct ClaimClientHooks
{
  /** Live hosts of the platform's region. */
  std::function<std::vector<std::string>()> writers;

  /** Returns false if the message cannot be sent. */
  std::function<bool(const std::string& aHost, const wire::Envelope&)> send;

  /**
   * Passes the request to the claim writer of this daemon, which answers
   * through HandleAnswer().
   */
  std::function<void(const wire::ClaimRequest&)> writeDirectly;
};

/**
 * Claims idempotency keys for the calls of this daemon. Every claim is answered
 * within its time limit. When the answer is `unavailable`, the key is released
 * in the background, because a late write may still have claimed it.
 */
class ClaimClient
{
public:
  using Callback = std::function<void(wire::ClaimResult::type)>;

  ClaimClient(ClaimClientConfig aConfig, Clock aClock, ClaimClientHooks aHooks);

  /**
   * aMaxWait shortens the time limit for calls that are close to their
   * deadline.
   */
  void Claim(std::int64_t aKeyHash,
             const std::string& aHolder,
             Millis aMaxWait,
             Callback aDone);

  /**
   * Marks the claim of a call that ran, or may have run; the key stays claimed.
   */
  void MarkDone(std::int64_t aKeyHash, const std::string& aHolder);

  /**
   * Releases the key of a call that certainly did not run, for use by others.
   */
  void Release(std::int64_t aKeyHash, const std::string& aHolder);

  void HandleAnswer(const wire::ClaimAnswer& aAnswer);
  void Tick();

  std::size_t PendingUpdateCount() const;

private:
  using Key = std::pair<std::int64_t, std::string>;

  struct Attempt
  {
    wire::ClaimRequest request;
    std::size_t tries = 0;
    Millis tryEndsAt = 0;
    Millis endsAt = 0;
    Callback done;
  };

  struct Update
  {
    wire::ClaimRequest request;
    std::size_t tries = 0;
    Millis nextAt = 0;
    Millis endsAt = 0;
  };

  void Try(Attempt& aAttempt);
  void End(const Key& aKey, wire::ClaimResult::type aResult);
  void AddUpdate(std::int64_t aKeyHash,
                 const std::string& aHolder,
                 wire::ClaimState::type aState);
  void SendUpdates(Millis aNow);

  /**
   * Sends the request to the first writer in the order of its shard, the next
   * try to the second one, and the third to this daemon's own writer; then the
   * order starts again. A message that cannot be sent to another daemon also
   * goes to the own writer.
   */
  void Send(const wire::ClaimRequest& aRequest, std::size_t aTry);

  ClaimClientConfig config;
  Clock clock;
  ClaimClientHooks hooks;
  std::map<Key, Attempt> attempts;
  std::map<Key, Update> updates;
};

inline std::size_t
ClaimClient::PendingUpdateCount() const
{
  return this->updates.size();
}

} // namespace lacewingwharf
