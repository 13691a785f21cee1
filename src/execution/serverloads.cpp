#include "execution/serverloads.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

// A daemon sends a service a few calls a second, so each server is reported on
// every few seconds.
constexpr double kMaxReportAgeMillis = 5000;

bool
IsRecent(const ServerLoad& aLoad, double aNow)
{
  return aNow - aLoad.reportedAt <= kMaxReportAgeMillis;
}

/** At most one slot is free, or calls wait. One slot alone is never short. */
bool
IsShort(const ServerLoad& aLoad)
{
  return aLoad.waiting > 0 ||
         (aLoad.slots > 1 && aLoad.running + 1 >= aLoad.slots);
}

} // namespace

void
ServerLoads::Record(const EndpointKey& aServer, const ServerLoad& aLoad)
{
  this->loads[aServer] = aLoad;
  std::erase_if(this->loads, [&aLoad](const auto& aPair) {
    return !IsRecent(aPair.second, aLoad.reportedAt);
  });
}

bool
ServerLoads::IsBusy(const EndpointKey& aServer, double aNow) const
{
  const auto found = this->loads.find(aServer);
  return found != this->loads.end() && IsRecent(found->second, aNow) &&
         IsShort(found->second);
}

std::set<EndpointKey>
ServerLoads::BusyServers(double aNow) const
{
  std::set<EndpointKey> busy;
  for (const auto& [server, load] : this->loads) {
    if (IsRecent(load, aNow) && IsShort(load)) {
      busy.insert(server);
    }
  }
  return busy;
}

ServiceLoad
ServerLoads::Total(double aNow) const
{
  ServiceLoad total;
  for (const auto& [server, load] : this->loads) {
    if (!IsRecent(load, aNow)) {
      continue;
    }
    const double age = aNow - load.reportedAt;
    total.age = total.servers == 0 ? age : std::min(total.age, age);
    ++total.servers;
    total.calls += load.running + load.waiting;
    total.slots += load.slots;
  }
  return total;
}

} // namespace lacewingwharf
