#pragma once

#include "admission/admission.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

inline constexpr const char* kService = "orders";
inline constexpr int kPort = 8000;

/** Adds an entry for Snapshot::Build() without parsing JSON. */
inline void
AddEntry(AcceptedEntries& aEntries, Entry aEntry)
{
  AcceptedEntry accepted;
  accepted.entry = std::move(aEntry);
  accepted.revision = 1;
  const std::string name = accepted.entry.name;
  aEntries[name] = std::make_shared<const AcceptedEntry>(std::move(accepted));
}

/**
 * A catalogue with one service and one route "tills" of owner "shop". The route
 * and the owner have these limits.
 */
inline SnapshotPtr
CatalogueWith(const Limits& aRoute,
              const Limits& aOwner,
              bool aHasLargeRequests = false)
{
  Entry service;
  service.name = kService;
  service.kind = EntryKind::Service;
  service.owner = "engraving";
  Entry route;
  route.name = "tills";
  route.kind = EntryKind::Route;
  route.owner = "shop";
  route.service = kService;
  route.match.path = "/orders";
  route.limits = aRoute;
  route.hasLargeRequests = aHasLargeRequests;
  Entry owner;
  owner.name = "shop-limits";
  owner.kind = EntryKind::Owner;
  owner.owner = "shop";
  owner.limits = aOwner;
  AcceptedEntries entries;
  AddEntry(entries, service);
  AddEntry(entries, route);
  AddEntry(entries, owner);
  return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
}

/** A view with one endpoint of the service on each named host. */
inline EndpointViewPtr
ViewOf(const std::vector<std::pair<std::string, int>>& aSlotsByHost)
{
  EndpointView view;
  ServiceView& service = view.services[kService];
  for (const auto& [host, slots] : aSlotsByHost) {
    EndpointInfo info;
    info.host = host;
    info.domain = "bangor";
    info.port = kPort;
    info.slots = slots;
    service.endpoints.push_back(info);
    service.totalSlots += slots;
  }
  return std::make_shared<const EndpointView>(std::move(view));
}

/** Records the decisions of one Admission. */
class Recorder
{
public:
  Admission::Hooks Hooks()
  {
    return { [this](const std::string& aId) { ++this->starts[aId]; },
             [this](const std::string& aId, const Refusal& aRefusal) {
               ++this->refusals[aId];
               this->lastRefusal = aRefusal;
               this->reasons[aId] = aRefusal.reason;
             } };
  }

  bool HasStarted(const std::string& aId) const
  {
    return this->starts.contains(aId);
  }

  std::map<std::string, int> starts;
  std::map<std::string, int> refusals;
  std::map<std::string, RefusalReason> reasons;
  Refusal lastRefusal;
};

/** A request to the only endpoint, with a deadline after one minute. */
inline AdmissionRequest
RequestOf(std::string aId, Millis aDeadlineAt = 60000)
{
  AdmissionRequest request;
  request.callId = std::move(aId);
  request.entry = "tills";
  request.owner = "shop";
  request.service = kService;
  request.port = kPort;
  request.deadlineAt = aDeadlineAt;
  return request;
}

} // namespace lacewingwharf::testing
