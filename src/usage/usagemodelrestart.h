#pragma once

// The part of UsageModel in which all hosts die and start again.

#include "usage/usagemodel.h"

namespace lacewingwharf::testing {

/**
 * All hosts die within a second and start again 0.5 to 2 s later, in any order.
 * Failures are noticed later than that, so that the others count as alive.
 */
inline void
UsageModel::RestartAll()
{
  constexpr int kDeathTime = 1000;
  constexpr Millis kShortestStop = 500;
  constexpr int kStopTime = 1500;
  const std::vector<bool> survives =
    this->schedule.isCutOffAtRestart
      ? this->CutOffSome()
      : std::vector<bool>(this->nodes.size(), false);
  for (int host = 0; host < this->members.Size(); ++host) {
    if (survives[static_cast<std::size_t>(host)]) {
      continue;
    }
    const Millis diesIn = this->Below(kDeathTime);
    const Millis startsIn = kShortestStop + this->Below(kStopTime);
    this->At(diesIn, [=, this] {
      Node& node = this->NodeOf(host);
      // One that is down already is started by whoever has ended it.
      if (!node.gate) {
        return;
      }
      node.gate.reset();
      node.suspendedUntil = 0;
      this->At(startsIn, [=, this] { this->StartAgain(host); });
    });
  }
  if (--this->schedule.restarts > 0) {
    this->At(kDeathTime + this->Below(4000), [this] { this->RestartAll(); });
  }
}

/**
 * The first host stays in touch with the store. Returns which of the others
 * live on.
 */
inline std::vector<bool>
UsageModel::CutOffSome()
{
  std::vector<bool> survives(this->nodes.size(), false);
  for (std::size_t host = 1; host < this->nodes.size(); ++host) {
    this->nodes[host].side = this->Below(4) == 0 ? 1 : 0;
    survives[host] = this->nodes[host].side == 1 && this->Below(2) == 0;
  }
  constexpr int kNoticeTime = 4000;
  const Millis noticedIn = this->Below(kNoticeTime);
  this->At(noticedIn, [this] { this->SpreadChange(); });
  this->At(noticedIn + this->Below(8000), [this] {
    for (Node& node : this->nodes) {
      node.side = 0;
    }
    this->SpreadChange();
  });
  return survives;
}

inline void
UsageModel::StartAgain(int aHost)
{
  this->members.Restart(aHost);
  this->StartNode(aHost);
  // A daemon of a site read its first version 0.15 s after its start in a run
  // of siteteams_test, and accepts calls from then on.
  constexpr Millis kReadyTime = 200;
  this->NodeOf(aHost).acceptsAt = this->now + kReadyTime;
  this->allAcceptAt = std::max(this->allAcceptAt, this->now + kReadyTime);
  this->LearnMembers(aHost, this->NodeOf(aHost).incarnation, this->now);
}

/**
 * Calls by the second of their arrival, counted from the time at which all
 * daemons accept calls again, from two seconds before it on. Calls at daemons
 * that are cut off do not count.
 */
inline std::vector<UsageSecond>
UsageModel::SecondsOfRestart() const
{
  std::vector<UsageSecond> seconds(kRestartSeconds);
  for (const auto& [arrival, isGranted] : this->arrivals) {
    const Millis since = arrival - this->allAcceptAt + kSecondsBefore * 1000;
    const auto second = static_cast<std::size_t>(since / 1000);
    if (since < 0 || second >= seconds.size()) {
      continue;
    }
    ++seconds[second].offered;
    seconds[second].granted += isGranted ? 1 : 0;
  }
  return seconds;
}

} // namespace lacewingwharf::testing
