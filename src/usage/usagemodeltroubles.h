#pragma once

// The part of UsageModel that kills hosts, cuts them off and lets them join.

#include "usage/usagemodel.h"

namespace lacewingwharf::testing {

/** Each seed has its own kinds of trouble. */
inline void
UsageModel::ScheduleTrouble()
{
  this->At(100 + this->Below(this->longestCalm), [this] {
    const int host = this->Below(this->members.Size());
    switch (this->troubles[static_cast<std::size_t>(
      this->Below(static_cast<int>(this->troubles.size())))]) {
      case 0:
        this->Kill(host);
        break;
      case 1:
        this->NodeOf(host).suspendedUntil = this->now + this->Below(1500);
        break;
      case 2:
        this->Partition();
        break;
      case 3:
        this->Join();
        break;
      default:
        this->Suspect(host);
    }
    this->ScheduleTrouble();
  });
}

/** Some members take a live one for failed and notice their error later. */
inline void
UsageModel::Suspect(int aHost)
{
  for (int observer = 0; observer < this->members.Size(); ++observer) {
    if (this->Below(2) == 0) {
      this->members.SetAlive(observer, aHost, false);
      this->UpdateView(observer);
    }
  }
  this->SpreadChange();
}

inline void
UsageModel::Kill(int aHost)
{
  Node& node = this->NodeOf(aHost);
  if (!node.gate) {
    return;
  }
  node.gate.reset();
  node.suspendedUntil = 0;
  this->SpreadChange();
  this->At(20 + this->Below(800), [=, this] {
    this->members.Restart(aHost);
    this->StartNode(aHost);
    this->LearnMembers(aHost, this->NodeOf(aHost).incarnation, this->now);
  });
}

/** A host that nobody knows starts on a side of a partition, if there is one.
 */
inline void
UsageModel::Join()
{
  const int host = this->members.Size();
  if (host == static_cast<int>(this->nodes.size())) {
    return;
  }
  this->members.Add();
  this->NodeOf(host).side = this->NodeOf(this->Below(host)).side;
  this->StartNode(host);
  this->LearnMembers(host, this->NodeOf(host).incarnation, this->now);
}

/** Repeated until a host that knows all members, or the store, has replied.
 */
inline void
UsageModel::LearnMembers(int aHost,
                         std::int64_t aIncarnation,
                         Millis aStartedAt)
{
  constexpr int kSyncDelay = 600;
  constexpr Millis kListTime = 1200;
  this->At(20 + this->Below(kSyncDelay), [=, this] {
    Node& node = this->NodeOf(aHost);
    if (!node.gate || node.incarnation != aIncarnation) {
      return;
    }
    const int peer = this->Below(this->members.Size());
    const bool canRead = this->hasStore && node.side == 0;
    const bool hadContact = this->members.HasContact(aHost);
    if (canRead) {
      this->members.ReadList(aHost);
    }
    if (this->now >= node.suspendedUntil && this->CanReach(aHost, peer)) {
      this->members.Sync(aHost, peer);
    }
    if (canRead && this->now >= aStartedAt + kListTime) {
      this->members.LearnAll(aHost);
    }
    const bool isComplete = this->members.IsComplete(aHost);
    if (!isComplete) {
      this->LearnMembers(aHost, aIncarnation, aStartedAt);
    }
    this->UpdateView(aHost);
    if (isComplete || hadContact != this->members.HasContact(aHost)) {
      this->SpreadChange();
    }
  });
}

inline bool
UsageModel::CanReach(int aHost, int aPeer)
{
  const Node& peer = this->NodeOf(aPeer);
  return aPeer != aHost && peer.gate && this->now >= peer.suspendedUntil &&
         peer.side == this->NodeOf(aHost).side;
}

inline void
UsageModel::Partition()
{
  if (this->schedule.isOftenCutOff && this->isCut) {
    return;
  }
  this->isCut = true;
  for (Node& node : this->nodes) {
    node.side = this->Below(2);
  }
  this->SpreadChange();
  const Millis shortest = this->schedule.isOftenCutOff ? 6000 : 100;
  this->At(shortest + this->Below(this->longestPartition), [this] {
    this->isCut = false;
    for (Node& node : this->nodes) {
      node.side = 0;
    }
    this->SpreadChange();
  });
}

/** Each member notices after a time of its own who can be reached. */
inline void
UsageModel::SpreadChange()
{
  for (int host = 0; host < this->members.Size(); ++host) {
    this->At(20 + this->Below(kSpreadTime), [=, this] {
      const Node& node = this->NodeOf(host);
      if (!node.gate) {
        return;
      }
      for (int other = 0; other < this->members.Size(); ++other) {
        const Node& peer = this->NodeOf(other);
        const bool isAlive = peer.gate != nullptr && peer.side == node.side;
        if (isAlive) {
          this->members.Merge(host, other);
        }
        this->members.SetAlive(host, other, isAlive);
      }
      this->UpdateView(host);
    });
  }
}

} // namespace lacewingwharf::testing
