#pragma once

// The part of UsageModel in which the team is removed and added again.

#include "usage/usagemodel.h"

namespace lacewingwharf::testing {

/**
 * Versions with and without the team in turn. Each host has a version in force
 * after a time of its own, so that accountants have different ones.
 */
inline void
UsageModel::ScheduleVersion()
{
  constexpr int kLongestVersion = 3000;
  constexpr int kVersionSpread = 2500;
  this->At(200 + this->Below(kLongestVersion), [this] {
    const int version = ++this->newestVersion;
    for (int host = 0; host < static_cast<int>(this->nodes.size()); ++host) {
      this->At(this->Below(kVersionSpread), [=, this] {
        Node& node = this->NodeOf(host);
        if (node.gate && node.version < version) {
          this->SetVersion(host, version);
        }
      });
    }
    this->ScheduleVersion();
  });
}

inline void
UsageModel::SetVersion(int aHost, int aVersion)
{
  Node& node = this->NodeOf(aHost);
  node.version = aVersion;
  node.gate->SetSnapshot(node.HasTeam() ? this->snapshot : this->otherSnapshot);
}

} // namespace lacewingwharf::testing
