#pragma once

#include "common/clock.h"
#include "common/names.h"
#include "common/random.h"
#include "membership/endpointview.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lacewingwharf {

/** Names a backend server: the host and its port there. */
struct EndpointKey
{
  std::string host;
  int port = 0;

  // clang-tidy 14 takes the zero inside a defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const EndpointKey&) const = default;
};

/** Why an endpoint was chosen; part of the decision log line. */
enum class ChoiceReason
{
  OnlyOne,
  LowerLoad,
  SlowStart,
  SameRegionFallback,
  OtherRegionFallback,
  AllEjected
};

inline constexpr auto kChoiceReasonNames = MakeNameTable<ChoiceReason>(
  { { ChoiceReason::OnlyOne, "only-one" },
    { ChoiceReason::LowerLoad, "lower-load" },
    { ChoiceReason::SlowStart, "slow-start" },
    { ChoiceReason::SameRegionFallback, "same-region-fallback" },
    { ChoiceReason::OtherRegionFallback, "other-region-fallback" },
    { ChoiceReason::AllEjected, "all-ejected" } });

struct Choice
{
  EndpointInfo endpoint;
  ChoiceReason reason = ChoiceReason::OnlyOne;
};

enum class CallEnd
{
  Succeeded,
  Failed,  // 5xx of the backend server, cut, timed out.
  Refused, // By the destination for lack of capacity; says nothing of health.
  Lost     // No session, no connection, or the backend server died.
};

/** What the entry daemon saw of one attempt. */
struct Observation
{
  CallEnd end = CallEnd::Succeeded;
  double latencyMillis = 0;
  int running = -1; // Reported by the destination; -1 is unknown.
  int waiting = -1;
  int slots = 0;
};

/** Chooses the endpoint for each attempt of a call; used by one thread. */
class ServerChooser
{
public:
  ServerChooser(Clock aClock, Random aRandom);
  ~ServerChooser();

  void SetView(EndpointViewPtr aView);

  /**
   * Empty when no endpoint outside aTried is left. The caller of this function
   * reports the attempt with Started() and Finished().
   */
  std::optional<Choice> Choose(const std::string& aService,
                               const std::set<EndpointKey>& aTried);

  void RecordAttemptStart(const EndpointKey& aKey);
  void RecordAttemptEnd(const EndpointKey& aKey,
                        const Observation& aObservation);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace lacewingwharf
