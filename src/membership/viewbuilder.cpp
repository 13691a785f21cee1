#include "membership/viewbuilder.h"

#include "membership/domainsummaries.h"
#include "membership/membertable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

Distance
DistanceOf(const std::string& aDomain,
           const std::string& aRegion,
           const Location& aFrom)
{
  if (aDomain == aFrom.domain) {
    return Distance::SameDomain;
  }
  return aRegion == aFrom.region ? Distance::SameRegion : Distance::OtherRegion;
}

DomainLoad&
LoadOf(ServiceView& aService, const std::string& aDomain, Distance aDistance)
{
  const auto known =
    std::ranges::find(aService.domains, aDomain, &DomainLoad::domain);
  if (known != aService.domains.end()) {
    return *known;
  }
  aService.domains.push_back({ aDomain, aDistance, 0, 0, 0, 1.0 });
  return aService.domains.back();
}

void
AddRecord(EndpointView& aView,
          const wire::MemberRecord& aRecord,
          const Location& aFrom)
{
  const Distance distance = DistanceOf(aRecord.domain, aRecord.region, aFrom);
  const bool isSuspect = aRecord.state == wire::MemberState::SUSPECT;
  for (const wire::Endpoint& endpoint : aRecord.endpoints) {
    if (endpoint.state != wire::EndpointState::READY) {
      continue;
    }
    ServiceView& service = aView.services[endpoint.serviceName];
    service.endpoints.push_back({ aRecord.host,
                                  aRecord.address,
                                  aRecord.peerPort,
                                  aRecord.incarnation,
                                  aRecord.domain,
                                  distance,
                                  endpoint.port,
                                  endpoint.slots,
                                  EndpointState::Ready,
                                  isSuspect,
                                  endpoint.serverVersion });
    DomainLoad& load = LoadOf(service, aRecord.domain, distance);
    ++load.ready;
    load.slots += endpoint.slots;
    load.freeSlots += endpoint.slots;
  }
}

void
AddMember(EndpointView& aView, const wire::MemberRecord& aRecord)
{
  aView.members.push_back({ aRecord.host,
                            aRecord.address,
                            aRecord.peerPort,
                            aRecord.region,
                            aRecord.incarnation,
                            aRecord.state != wire::MemberState::DEAD });
}

void
AddSample(ServiceView& aService,
          const wire::SampledEndpoint& aSample,
          const HeldSummary& aSummary,
          Distance aDistance)
{
  aService.endpoints.push_back({ aSample.host,
                                 aSample.address,
                                 aSample.peerPort,
                                 aSample.incarnation,
                                 aSummary.domain,
                                 aDistance,
                                 aSample.port,
                                 aSample.slots,
                                 EndpointState::Ready,
                                 false,
                                 {} });
}

void
AddSummary(EndpointView& aView, const HeldSummary& aSummary, Distance aDistance)
{
  for (const auto& [name, summary] : aSummary.services) {
    if (summary.ready == 0) {
      continue;
    }
    ServiceView& service = aView.services[name];
    for (const wire::SampledEndpoint& sample : summary.sample) {
      AddSample(service, sample, aSummary, aDistance);
    }
    service.domains.push_back({ aSummary.domain,
                                aDistance,
                                summary.ready,
                                summary.slots,
                                summary.freeSlots,
                                summary.slowdownPercent / 100.0 });
  }
}

void
SortAndTotal(ServiceView& aService)
{
  std::ranges::sort(aService.endpoints, {}, [](const EndpointInfo& aInfo) {
    return std::tie(aInfo.host, aInfo.port);
  });
  std::ranges::sort(aService.domains, {}, [](const DomainLoad& aLoad) {
    return std::tie(aLoad.distance, aLoad.domain);
  });
  for (const DomainLoad& load : aService.domains) {
    aService.totalSlots += load.slots;
  }
}

} // namespace

EndpointViewPtr
BuildView(const MemberTable& aTable,
          const DomainSummaries& aSummaries,
          const Location& aFrom,
          const StartProgress& aProgress)
{
  auto view = std::make_shared<EndpointView>();
  view->isComplete = aProgress.isComplete;
  view->hasContact = aProgress.hasContact;
  aTable.ForEach([&view, &aFrom](const wire::MemberRecord& aRecord) {
    if (IsLive(aRecord)) {
      AddRecord(*view, aRecord, aFrom);
    }
    if (aRecord.state != wire::MemberState::LEFT) {
      AddMember(*view, aRecord);
    }
  });
  std::ranges::sort(view->members, {}, &FleetMember::host);
  view->groups = 1 + static_cast<int>(aSummaries.Others().size());
  for (const auto& [domain, summary] : aSummaries.Others()) {
    AddSummary(
      *view, summary, DistanceOf(summary.domain, summary.region, aFrom));
  }
  for (auto& [name, service] : view->services) {
    SortAndTotal(service);
  }
  return view;
}

} // namespace lacewingwharf
