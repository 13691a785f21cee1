#include "membership/servicesummaries.h"

#include "common/hash.h"
#include "membership/membertable.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <vector>

namespace lacewingwharf {

namespace {

constexpr std::size_t kSampleSize = 8;

// Free slots and slowdown are rounded so that small variations of load are not
// sent over the region link.
constexpr int kFreeSlotSteps = 8;
constexpr int kSlowdownStep = 25;

struct Candidate
{
  std::uint64_t weight = 0;
  wire::SampledEndpoint endpoint;
};

wire::SampledEndpoint
SampleOf(const wire::MemberRecord& aRecord, const wire::Endpoint& aEndpoint)
{
  wire::SampledEndpoint sample;
  sample.host = aRecord.host;
  sample.address = aRecord.address;
  sample.peerPort = aRecord.peerPort;
  sample.slots = aEndpoint.slots;
  sample.incarnation = aRecord.incarnation;
  sample.port = aEndpoint.port;
  return sample;
}

const wire::ServiceLoad*
LoadOf(const HostLoads& aLoads,
       const std::string& aHost,
       const std::string& aService)
{
  const auto host = aLoads.find(aHost);
  if (host == aLoads.end()) {
    return nullptr;
  }
  const auto& services = host->second.services;
  const auto load =
    std::ranges::find(services, aService, &wire::ServiceLoad::serviceName);
  return load == services.end() ? nullptr : &*load;
}

/** Accumulates the endpoints and loads of one service. */
struct ServiceSum
{
  int ready = 0;
  int slots = 0;
  int freeSlots = 0;
  std::int64_t slowdownSum = 0;
  std::vector<Candidate> candidates;

  void Add(const wire::MemberRecord& aRecord,
           const wire::Endpoint& aEndpoint,
           const wire::ServiceLoad* aLoad)
  {
    ++this->ready;
    this->slots += aEndpoint.slots;
    this->freeSlots += aLoad == nullptr
                         ? aEndpoint.slots
                         : std::clamp(aLoad->freeSlots, 0, aEndpoint.slots);
    this->slowdownSum += aLoad == nullptr ? 100 : aLoad->slowdownPercent;
    const std::uint64_t seed = Hash64(aEndpoint.serviceName);
    this->candidates.push_back(
      { Hash64(aRecord.host, seed + static_cast<std::uint64_t>(aEndpoint.port)),
        SampleOf(aRecord, aEndpoint) });
  }

  wire::ServiceSummary Summarise(const std::string& aService)
  {
    wire::ServiceSummary summary;
    summary.serviceName = aService;
    summary.ready = this->ready;
    summary.slots = this->slots;
    const int step = std::max(1, this->slots / kFreeSlotSteps);
    summary.freeSlots = this->freeSlots / step * step;
    const auto mean = static_cast<int>(this->slowdownSum / this->ready);
    summary.slowdownPercent = mean / kSlowdownStep * kSlowdownStep;
    std::ranges::sort(this->candidates, std::greater<>{}, &Candidate::weight);
    this->candidates.resize(std::min(this->candidates.size(), kSampleSize));
    std::ranges::transform(this->candidates,
                           std::back_inserter(summary.sample),
                           &Candidate::endpoint);
    return summary;
  }
};

} // namespace

ServiceSummaries
SummariseServices(const MemberTable& aTable, const HostLoads& aLoads)
{
  std::map<std::string, ServiceSum> sums;
  aTable.ForEach([&sums, &aLoads](const wire::MemberRecord& aRecord) {
    if (!IsLive(aRecord)) {
      return;
    }
    for (const wire::Endpoint& endpoint : aRecord.endpoints) {
      if (endpoint.state == wire::EndpointState::READY) {
        const std::string& service = endpoint.serviceName;
        sums[service].Add(
          aRecord, endpoint, LoadOf(aLoads, aRecord.host, service));
      }
    }
  });
  ServiceSummaries services;
  for (auto& [service, sum] : sums) {
    services[service] = sum.Summarise(service);
  }
  return services;
}

} // namespace lacewingwharf
