// The part of Distributor that handles the relay and acceptor roles.

#include "common/hash.h"
#include "common/log.h"
#include "distribution/distributor.h"
#include "distribution/pushtree.h"
#include "distribution/relayrank.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// Comparing the member lists costs more than anything else in Tick(), so it is
// not done on each tick. The members are ordered by hash only if they have
// changed.
constexpr Millis kRoleRefreshInterval = 500;

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
  const auto order = RendezvousOrder(this->RelayOrderKey(), this->members);
  this->failover.SetCandidates(order);
  auto rank = RelayRankOf({ order, this->relayCandidates, this->config.relays },
                          this->config.host);
  // While the store refuses most of the group, nobody gets a rank. A relay that
  // the store still serves must keep its own, as it may be the only one.
  const bool isServed = this->isStartupComplete && this->hooks.isWatchWorking &&
                        this->hooks.isWatchWorking();
  const bool hasNoRelays =
    std::ssize(order) - std::ssize(this->relayCandidates) >= kFirstCandidates;
  if (!rank && isServed && hasNoRelays) {
    rank = this->relayRank;
  }
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
    const auto confirmedAt = this->ConfirmedAt();
    // Without keys, only daemons that start use it, and only for documents.
    if (confirmedAt &&
        (!this->HasAcceptor() || this->HeldSnapshot()->RequiresKeys())) {
      heartbeat->__set_confirmedMillis(this->clock.Now() - *confirmedAt);
    }
    const auto era =
      this->hooks.storeEra ? this->hooks.storeEra() : std::nullopt;
    if (era) {
      heartbeat->__set_storeEra(*era);
    }
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
  const Millis now = this->clock.Now();
  const bool isDelayed = this->evidence.IsReadingBacklog(now);
  wire::RelayHeartbeat forwarded = aHeartbeat;
  forwarded.__isset.confirmedMillis &= !isDelayed;
  this->SendHeartbeat(forwarded);
  this->HandlePeerVersion(aHeartbeat.relay, aHeartbeat.version);
  if (forwarded.isWatching && forwarded.__isset.confirmedMillis &&
      forwarded.version == this->HeldSnapshot()->Version()) {
    this->evidence.Confirm(now -
                           std::max<Millis>(forwarded.confirmedMillis, 0));
  }
}

} // namespace lacewingwharf
