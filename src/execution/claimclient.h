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

  /** Done and released claims are sent together after this time. */
  Millis lazyInterval = 200;
  Millis repeatInterval = 2000;
  Millis repeatLimit = 60000;
  std::size_t maxUpdates = 20000;
};

struct ClaimClientHooks
{
  /** Live hosts of the platform's region. */
  std::function<std::vector<std::string>()> writers;

  /** False when it cannot be sent. */
  std::function<bool(const std::string& aHost, const wire::Envelope&)> send;

  /** The claim writer of this daemon; answers through HandleAnswer(). */
  std::function<void(const wire::ClaimRequest&)> writeDirectly;
};

/**
 * Claims keys for calls of this daemon. Every claim is answered within its
 * bound. After an unavailable answer the key is released in the background,
 * because a late write may still have claimed it.
 */
class ClaimClient
{
public:
  using Done = std::function<void(wire::ClaimResult::type)>;

  ClaimClient(ClaimClientConfig aConfig, Clock aClock, ClaimClientHooks aHooks);

  /** aPatience shortens the bound, for calls close to their deadline. */
  void Claim(std::int64_t aKeyHash,
             const std::string& aHolder,
             Millis aPatience,
             Done aDone);

  /** The call ran; the key stays taken. */
  void MarkDone(std::int64_t aKeyHash, const std::string& aHolder);

  /** The call was proven not run; the key may be used again. */
  void Release(std::int64_t aKeyHash, const std::string& aHolder);

  void HandleAnswer(const wire::ClaimAnswer& aAnswer);
  void Tick();

  std::size_t Updates() const;

private:
  using Key = std::pair<std::int64_t, std::string>;

  struct Attempt
  {
    wire::ClaimRequest request;
    std::size_t tries = 0;
    Millis tryEndsAt = 0;
    Millis endsAt = 0;
    Done done;
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

  /** The aTry-th writer in order; the own daemon after two others. */
  void Send(const wire::ClaimRequest& aRequest, std::size_t aTry);

  ClaimClientConfig config;
  Clock clock;
  ClaimClientHooks hooks;
  std::map<Key, Attempt> attempts;
  std::map<Key, Update> updates;
};

inline std::size_t
ClaimClient::Updates() const
{
  return this->updates.size();
}

} // namespace lacewingwharf
