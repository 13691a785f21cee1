// The part of ControlService that publishes changes to the store, to other
// daemons and to the calls thread.

#include "common/log.h"
#include "daemon/controlservice.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("control");

} // namespace

/** Updates the objects in the store by which daemons find one another. */
void
ControlService::PublishMembers()
{
  if (!this->HasDocuments()) {
    this->PublishSeeds();
    return;
  }
  this->directory.Tick(this->membership.Table().LiveHosts().size() <= 1);
  if (this->isServerPending) {
    this->PublishServer();
  }
}

void
ControlService::PublishSeeds()
{
  // This runs on every tick, so it builds the list of addresses only when a
  // write is due.
  const std::vector<std::string>& hosts = this->membership.Table().LiveHosts();
  this->seeds.ReadWhenAlone(hosts.size() <= 1);
  if (!this->distributor.IsRelay() || hosts.size() <= 1 ||
      !this->seeds.IsPublishDue()) {
    return;
  }
  std::vector<PeerAddress> members;
  std::ranges::for_each(hosts, [&](const std::string& aHost) {
    if (const auto address = this->membership.AddressOf(aHost)) {
      members.push_back(*address);
    }
  });
  this->seeds.Publish(members);
}

void
ControlService::PublishReadiness()
{
  if (this->isReady == this->distributor.IsReady()) {
    return;
  }
  this->isReady = this->distributor.IsReady();
  this->membership.SetServing(this->isReady);
  this->membership.PublishChanges();
  this->PublishEndpoints();
}

void
ControlService::PublishConfiguration()
{
  this->PublishReadiness();
  EndpointViewPtr view = this->membership.View();
  SnapshotPtr snapshot =
    this->isReady ? this->distributor.HeldSnapshot() : nullptr;
  if (snapshot == this->publishedSnapshot && view == this->publishedView) {
    return;
  }
  if (snapshot && snapshot != this->publishedSnapshot) {
    kLog.Decision("version-in-force", "version={}", snapshot->Version());
  }
  if (this->rollouts && view != this->publishedView) {
    this->rollouts->SetView(*view);
  }
  this->publishedSnapshot = snapshot;
  this->publishedView = view;
  this->hooks.onConfiguration(std::move(snapshot), std::move(view));
}

/**
 * Called after PublishConfiguration(), so that the calls thread never takes
 * evidence for a newer version as evidence for its own.
 */
void
ControlService::PublishConfirmation()
{
  if (!this->distributor.HeldSnapshot()->RequiresKeys()) {
    return;
  }
  const auto confirmedAt = this->distributor.ConfirmedAt();
  if (confirmedAt != this->publishedConfirmation) {
    this->publishedConfirmation = confirmedAt;
    this->hooks.onVersionConfirmed(confirmedAt);
  }
}

void
ControlService::PublishEndpoints()
{
  std::map<std::pair<std::string, int>, wire::Endpoint> present;
  std::ranges::for_each(
    this->membership.Self().endpoints, [&](const wire::Endpoint& aEndpoint) {
      present.emplace(std::pair(aEndpoint.serviceName, aEndpoint.port),
                      aEndpoint);
    });
  if (present == this->publishedEndpoints) {
    return;
  }
  std::ranges::for_each(this->publishedEndpoints, [&](const auto& aPair) {
    if (!present.contains(aPair.first)) {
      this->hooks.onEndpointRemoved(aPair.first.first, aPair.first.second);
    }
  });
  std::ranges::for_each(present, [this](const auto& aPair) {
    this->hooks.onEndpoint(aPair.second);
  });
  this->publishedEndpoints = std::move(present);
}

} // namespace lacewingwharf
