// Five of the six machines of each zone are lost for good at the same moment.
// The others, which reach the store and each other all the while, have to put a
// new configuration into force as before.
#include "site.hpp"

using namespace review;

namespace {

constexpr long long kStabilityMs = 3000;
constexpr long long kConfigApplyMs = 2000;
constexpr long long kObservedMs = 30000;
constexpr int kMachinesPerZone = 6;

/** Whether a daemon is one of those that watch the store for their region. */
bool
IsRelay(const Machine& aMachine)
{
  Connection connection = Connection::To({ aMachine.ip, 9464 });
  Message reply;
  return connection.IsOpen() &&
         connection.Send("GET /v1/state HTTP/1.1\r\nHost: admin\r\n"
                         "Connection: close\r\n\r\n") &&
         connection.Read(reply, 1000) == ReadEnd::Whole &&
         reply.body.find("\"feeder\":true") != std::string::npos;
}

/**
 * The machine of each zone that is not lost: in turn one of either service, and
 * none that reads the configuration for the others.
 */
std::set<const Machine*>
ChooseKept(const Site& aSite)
{
  std::map<std::string, const Machine*> byZone;
  std::map<std::string, std::string> services;
  for (const Machine& machine : aSite.machines) {
    const auto [service, isNew] = services.try_emplace(
      machine.zone, services.size() % 2 == 0 ? "orders" : "web");
    if (machine.service == service->second && !IsRelay(machine)) {
      byZone.emplace(machine.zone, &machine);
    }
  }
  std::set<const Machine*> kept;
  for (const auto& [zone, machine] : byZone) {
    kept.insert(machine);
  }
  return kept;
}

/** The next version: the route for orders now leads to another service. */
Store::Json
MovedConfiguration(const Site& aSite, int aVersion)
{
  Store::Json configuration = aSite.Configuration(aVersion);
  for (Store::Json& resource : configuration["resources"]) {
    if (resource["metadata"].value("name", "") == "r-unsafeorders") {
      resource["spec"]["service"] = "web";
    }
  }
  return configuration;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  std::vector<Place> places;
  for (const auto& [zone, region] :
       std::vector<std::pair<std::string, std::string>>{
         { "gent", "vlaanderen" },
         { "brugge", "vlaanderen" },
         { "namur", "wallonie" },
         { "liege", "wallonie" } }) {
    for (int i = 0; i < kMachinesPerZone; ++i) {
      places.push_back({ zone, region, places.size() % 2 ? "web" : "orders" });
    }
  }
  Site site(record, places);
  if (!site.Start()) {
    Finish(site, Verdict::NotRun, "the site does not serve");
  }
  SleepMs(kStabilityMs);
  const std::set<const Machine*> kept = ChooseKept(site);
  if (HasTrouble()) {
    for (Machine& machine : site.machines) {
      if (!kept.contains(&machine)) {
        site.Kill(machine, SIGKILL);
      }
    }
  }
  SleepMs(1000);
  site.store.Put("config", "main", MovedConfiguration(site, 9));
  const long long ackedAt = NowMs();
  record.Line("version 9 is acknowledged: unsafe-orders now leads to web");
  SleepMs(kConfigApplyMs + 500);
  int judged = 0;
  int stale = 0;
  while (NowMs() < ackedAt + kObservedMs) {
    for (const Machine* machine : kept) {
      const std::string id = site.NewRequestId("order");
      const long long sentAt = NowMs();
      const Reply reply = site.Send(*machine, id, "orders", true);
      if (!reply.IsSuccess()) {
        continue;
      }
      ++judged;
      for (const Machine& other : site.machines) {
        const std::string start = "answer of i-" + other.name + " to ";
        if (reply.message.body.rfind(start, 0) == 0 &&
            other.service == "orders") {
          ++stale;
          record.Line("CONFIG " + id + " sent to " + machine->name + " " +
                      std::to_string(sentAt - ackedAt) +
                      " ms after the acknowledgement was run by " + other.name +
                      " of the old service orders");
        }
      }
    }
    SleepMs(250);
  }
  const std::string counts =
    std::to_string(judged) + " orders served later than config_apply, " +
    std::to_string(stale) + " of them by the old service";
  if (judged < 50) {
    Finish(site, Verdict::NotRun, counts);
  }
  Finish(site, stale > 0 ? Verdict::Broken : Verdict::Held, counts);
}
