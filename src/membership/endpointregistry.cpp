#include "membership/endpointregistry.h"

#include "common/log.h"

#include <algorithm>
#include <iterator>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

wire::Endpoint
ToWire(const Announcement& aAnnouncement)
{
  wire::Endpoint endpoint;
  endpoint.serviceName = aAnnouncement.service;
  endpoint.port = aAnnouncement.port;
  endpoint.slots = aAnnouncement.slots;
  endpoint.connections = aAnnouncement.connections;
  endpoint.state = aAnnouncement.state;
  if (!aAnnouncement.version.empty()) {
    endpoint.__set_serverVersion(aAnnouncement.version);
  }
  return endpoint;
}

} // namespace

EndpointRegistry::EndpointRegistry(Millis aTimeout)
  : timeout(aTimeout)
{
}

bool
EndpointRegistry::Announce(const Announcement& aAnnouncement, Millis aNow)
{
  Entry& entry = this->entries[{ aAnnouncement.service, aAnnouncement.port }];
  const bool changed = entry.announcement != aAnnouncement;
  entry.announcement = aAnnouncement;
  entry.renewedAt = aNow;
  return changed;
}

bool
EndpointRegistry::Withdraw(const std::string& aService, int aPort)
{
  return this->entries.erase({ aService, aPort }) > 0;
}

bool
EndpointRegistry::Expire(Millis aNow)
{
  const auto isExpired = [this, aNow](const auto& aItem) {
    if (aNow - aItem.second.renewedAt <= this->timeout) {
      return false;
    }
    kLog.Info("endpoint {} port {} withdrawn: not renewed for {} ms",
              aItem.first.first,
              aItem.first.second,
              aNow - aItem.second.renewedAt);
    return true;
  };
  return std::erase_if(this->entries, isExpired) > 0;
}

void
EndpointRegistry::RestartTimeouts(Millis aNow)
{
  for (auto& [key, entry] : this->entries) {
    entry.renewedAt = aNow;
  }
}

std::vector<wire::Endpoint>
EndpointRegistry::Endpoints() const
{
  std::vector<wire::Endpoint> endpoints;
  std::ranges::transform(
    this->entries, std::back_inserter(endpoints), [](const auto& aItem) {
      return ToWire(aItem.second.announcement);
    });
  return endpoints;
}

} // namespace lacewingwharf
