#pragma once

#include "membership/endpointview.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf::testing {

/**
 * What each host of a UsageModel knows of the members. A process that starts
 * knows only itself, until it is told by a host that knows the others or by the
 * list in the store.
 */
class UsageModelMembers
{
public:
  int Size() const { return static_cast<int>(this->hosts.size()); }

  /** Adds a host that nobody else knows. */
  void Add()
  {
    for (Host& host : this->hosts) {
      host.peers.emplace_back();
    }
    Host added;
    added.peers.resize(this->hosts.size() + 1);
    this->hosts.push_back(std::move(added));
    this->Restart(this->Size() - 1);
  }

  void Restart(int aHost)
  {
    Host& host = this->At(aHost);
    host.isComplete = false;
    host.hasContact = false;
    host.peers.assign(host.peers.size(), {});
    this->Peer(aHost, aHost) = { true, true };
  }

  /** Tells a host of all members, as at the start of a fleet. */
  void LearnAll(int aHost)
  {
    this->ReadList(aHost);
    this->At(aHost).isComplete = true;
  }

  /** Tells a host of the members in the store, which may not be all of them. */
  void ReadList(int aHost)
  {
    for (Known& known : this->At(aHost).peers) {
      known.isAlive = known.isAlive || !known.isListed;
      known.isListed = true;
    }
  }

  /** A full exchange of members. It is complete if the other side was. */
  void Sync(int aHost, int aWith)
  {
    this->Merge(aHost, aWith);
    this->Merge(aWith, aHost);
    Host& host = this->At(aHost);
    host.hasContact = true;
    host.isComplete = host.isComplete || this->At(aWith).isComplete;
  }

  /** Adds the members that aFrom knows. */
  void Merge(int aHost, int aFrom)
  {
    for (int other = 0; other < this->Size(); ++other) {
      Known& known = this->Peer(aHost, other);
      if (!known.isListed) {
        known = this->Peer(aFrom, other);
      }
    }
  }

  void SetAlive(int aHost, int aPeer, bool aIsAlive)
  {
    this->Peer(aHost, aPeer).isAlive = aIsAlive;
  }

  bool IsComplete(int aHost) { return this->At(aHost).isComplete; }
  bool HasContact(int aHost) { return this->At(aHost).hasContact; }

  EndpointViewPtr ViewOf(int aHost)
  {
    auto view = std::make_shared<EndpointView>();
    for (int host = 0; host < this->Size(); ++host) {
      const Known& known = this->Peer(aHost, host);
      if (known.isListed) {
        view->members.push_back(
          { NameOf(host), "", host, RegionOf(host), 1, known.isAlive });
      }
    }
    view->isComplete = this->At(aHost).isComplete;
    view->hasContact = this->At(aHost).hasContact;
    return view;
  }

  static std::string NameOf(int aHost) { return fmt::format("h{}", aHost); }

  static std::string RegionOf(int aHost)
  {
    return aHost % 2 == 0 ? "east" : "west";
  }

private:
  struct Known
  {
    bool isListed = false;
    bool isAlive = false;
  };

  struct Host
  {
    std::vector<Known> peers;
    bool isComplete = false;
    bool hasContact = false;
  };

  Host& At(int aHost) { return this->hosts[static_cast<std::size_t>(aHost)]; }

  Known& Peer(int aHost, int aPeer)
  {
    return this->At(aHost).peers[static_cast<std::size_t>(aPeer)];
  }

  std::vector<Host> hosts;
};

} // namespace lacewingwharf::testing
