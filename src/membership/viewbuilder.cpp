#include "membership/viewbuilder.h"

#include "membership/domainsummaries.h"
#include "membership/membertable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

void
AddRecord(EndpointView& aView, const wire::MemberRecord& aRecord)
{
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
                                  Distance::SameDomain,
                                  endpoint.port,
                                  endpoint.slots,
                                  EndpointState::Ready });
    if (service.domains.empty()) {
      service.domains.push_back(
        { aRecord.domain, Distance::SameDomain, 0, 0, 0, 1.0 });
    }
    DomainLoad& load = service.domains.front();
    ++load.ready;
    load.slots += endpoint.slots;
    load.freeSlots += endpoint.slots;
  }
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
                                 EndpointState::Ready });
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
Finish(ServiceView& aService)
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
          const std::string& aRegion,
          const std::string& aDomain)
{
  auto view = std::make_shared<EndpointView>();
  aTable.ForEach([&view, &aDomain](const wire::MemberRecord& aRecord) {
    if (IsLive(aRecord) && aRecord.domain == aDomain) {
      AddRecord(*view, aRecord);
    }
  });
  for (const auto& [domain, summary] : aSummaries.Others()) {
    AddSummary(*view,
               summary,
               summary.region == aRegion ? Distance::SameRegion
                                         : Distance::OtherRegion);
  }
  for (auto& [name, service] : view->services) {
    Finish(service);
  }
  return view;
}

} // namespace lacewingwharf
