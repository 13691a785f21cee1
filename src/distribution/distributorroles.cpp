// The part of Distributor that handles the relay and acceptor roles.

#include "common/hash.h"
#include "common/log.h"
#include "distribution/distributor.h"
#include "distribution/pushtree.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// Comparing the member lists costs more than anything else in Tick(), so it is
// not done on each tick. The members are ordered by hash only if they have
// changed.
constexpr Millis kRoleRefreshInterval = 500;

// Additional relays while the store refuses some members.
constexpr int kSpareRelays = 2;

std::optional<int>
RankOf(const std::vector<std::string>& aOrder,
       const std::string& aHost,
       int aCount)
{
  const auto found = std::ranges::find(aOrder, aHost);
  const auto rank = static_cast<int>(found - aOrder.begin());
  if (found == aOrder.end() || rank >= aCount) {
    return std::nullopt;
  }
  return rank;
}

} // namespace

void
Distributor::RefreshRoles()
{
  this->roleRefreshDueAt = this->clock.Now() + kRoleRefreshInterval;
  std::vector<std::string> live = this->hooks.groupMembers();
  std::ranges::sort(live);
  const bool isChanged = live != this->members;
  this->members = std::move(live);
  std::vector<std::string> eligibleRelays =
    this->hooks.relayCandidates ? this->hooks.relayCandidates() : this->members;
  if (isChanged || eligibleRelays != this->relayCandidates) {
    this->relayCandidates = std::move(eligibleRelays);
    this->RefreshRelayRole();
  }
  std::vector<std::string> eligibleAcceptors = this->hooks.acceptorCandidates();
  if (eligibleAcceptors != this->acceptorCandidates) {
    this->acceptorCandidates = std::move(eligibleAcceptors);
    this->isAcceptor =
      this->HasAcceptor() &&
      RankOf(RendezvousOrder("acceptor", this->acceptorCandidates),
             this->config.host,
             1)
        .has_value();
  }
}

void
Distributor::HandleMembershipChange()
{
  this->roleRefreshDueAt = 0;
}

void
Distributor::RefreshRelayRole()
{
  // The store may refuse the next candidates too, so spare relays are added.
  const bool isAnyRefused = this->relayCandidates.size() < this->members.size();
  const auto order =
    RendezvousOrder(this->RelayOrderKey(), this->relayCandidates);
  this->failover.SetCandidates(order);
  const auto rank =
    RankOf(order,
           this->config.host,
           this->config.relays + (isAnyRefused ? kSpareRelays : 0));
  if (rank.has_value() != this->relayRank.has_value()) {
    kLog.Info("{} {} a relay of {}",
              this->config.host,
              rank ? "is" : "is no longer",
              this->config.group);
  }
  this->relayRank = rank;
}

std::string
Distributor::RelayOrderKey() const
{
  return "feeder/" + this->config.group;
}

/** Sends the heartbeats of a relay, and checks those of the other relays. */
void
Distributor::SendDueHeartbeat()
{
  // A daemon that is leaving is no member and gets no heartbeats.
  const bool isMember =
    std::ranges::binary_search(this->members, this->config.host);
  if (!this->hooks.sendDatagram || !this->isStartupComplete || !isMember) {
    return;
  }
  this->failover.Tick(this->IsRelay(), this->hooks.isWatchWorking());
  if (auto heartbeat = this->failover.TakeDueHeartbeat()) {
    heartbeat->version = this->HeldSnapshot()->Version();
    this->SendHeartbeat(*heartbeat);
  }
}

void
Distributor::SendHeartbeat(const wire::RelayHeartbeat& aHeartbeat)
{
  wire::Envelope envelope;
  envelope.__set_relayHeartbeat(aHeartbeat);
  std::ranges::for_each(
    PushTreeChildren(
      this->members, aHeartbeat.relay, this->config.host, this->config.fanout),
    [&](const std::string& aChild) {
      this->hooks.sendDatagram(aChild, envelope);
    });
}

void
Distributor::HandleRelayHeartbeat(const wire::RelayHeartbeat& aHeartbeat)
{
  if (!this->failover.RecordHeartbeat(aHeartbeat)) {
    return;
  }
  this->SendHeartbeat(aHeartbeat);
  this->HandlePeerVersion(aHeartbeat.relay, aHeartbeat.version);
}

} // namespace lacewingwharf
