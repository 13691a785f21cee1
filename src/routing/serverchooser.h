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

/** Identifies a backend server by its host and its port there. */
struct EndpointKey
{
  std::string host;
  int port = 0;

  // clang-tidy 14 mistakes the zero in a defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const EndpointKey&) const = default;
};

/** Why an endpoint was chosen. Written to the log line of the decision. */
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
  Failed,  // 5xx answer of the backend server, answer cut off or timeout.
  Refused, // By the destination for lack of capacity; no sign of a fault.
  Unused,  // Another attempt was answered first.
  Slow,    // A later attempt was answered first; latency is a lower bound.
  Lost     // No session, no connection, or the backend server died.
};

/** What the entry daemon observed of one attempt. */
struct Observation
{
  CallEnd end = CallEnd::Succeeded;
  double latencyMillis = 0;
  int running = -1; // Reported by the destination; -1 is unknown.
  int waiting = -1;
  int slots = 0;
};

/** Chooses the endpoint for each attempt of a call. Used by one thread only. */
class ServerChooser
{
public:
  ServerChooser(Clock aClock, Random aRandom);
  ~ServerChooser();

  void SetView(EndpointViewPtr aView);

  /**
   * Empty when there is no endpoint outside aTried. The caller of this function
   * reports the attempt with RecordAttemptStart() and RecordAttemptEnd().
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
