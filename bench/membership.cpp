// Measures the traffic, CPU time and memory of membership. Runs the membership
// classes on a manual clock, without processes or sockets. Byte counts are
// those of encoded messages without UDP, TCP and IP headers. CPU time includes
// that of the classes and of encoding.

#include "common/log.h"
#include "membership/memorynetwork.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr int kServices = 270;
constexpr double kChangesPerSecond = 10;

struct Options
{
  bool isCsv = false;
  std::vector<std::size_t> sizes = { 100, 400, 1600 };
};

void
Print(const Options& aOptions,
      const std::string& aWhat,
      const std::string& aCase,
      double aValue,
      const std::string& aUnit)
{
  if (aOptions.isCsv) {
    fmt::print("{},{},{:.3f},{}\n", aWhat, aCase, aValue, aUnit);
  } else {
    fmt::print("{:<38} {:<26} {:>14.2f} {}\n", aWhat, aCase, aValue, aUnit);
  }
  std::fflush(stdout);
}

struct Traffic
{
  double datagramBytes = 0;
  double controlBytes = 0;
  double largestSenderBytes = 0;
  double betweenDomainsBytes = 0;
  double betweenRegionsBytes = 0;
};

Traffic
SumTraffic(const MemoryNetwork& aNetwork, std::size_t aMembers)
{
  Traffic traffic;
  for (std::size_t index = 0; index < aNetwork.nodes.size(); ++index) {
    const MemoryNetwork::Node& node = aNetwork.nodes[index];
    traffic.betweenDomainsBytes += static_cast<double>(node.otherDomainBytes);
    traffic.betweenRegionsBytes += static_cast<double>(node.otherRegionBytes);
    if (index >= aMembers) {
      continue;
    }
    const auto datagramBytes = static_cast<double>(node.datagramBytes);
    const auto controlBytes = static_cast<double>(node.controlBytes);
    traffic.datagramBytes += datagramBytes / static_cast<double>(aMembers);
    traffic.controlBytes += controlBytes / static_cast<double>(aMembers);
    traffic.largestSenderBytes =
      std::max(traffic.largestSenderBytes, datagramBytes + controlBytes);
  }
  return traffic;
}

void
ResetCounters(MemoryNetwork& aNetwork)
{
  for (MemoryNetwork::Node& node : aNetwork.nodes) {
    node.datagramBytes = 0;
    node.controlBytes = 0;
    node.otherDomainBytes = 0;
    node.otherRegionBytes = 0;
    node.busyMillis = 0;
  }
}

/** Simulates a fleet whose first domain has the full size. */
class Fleet
{
public:
  Fleet(const Options& aOptions, std::size_t aMembers)
    : options(aOptions)
    , members(aMembers)
    // Four domains of 1,600 members need several GB and many minutes. Other
    // domains affect the first one only through their summaries, so they can be
    // smaller.
    , otherDomainMembers(aMembers > 400 ? 100 : aMembers)
    , network(aMembers)
  {
    this->network.faults = { 1, 0, 1, 8 };
    this->AddDomain("north", "first", this->members);
    this->AddDomain("north", "second", this->otherDomainMembers);
    this->AddDomain("south", "third", this->otherDomainMembers);
    this->AddDomain("south", "fourth", this->otherDomainMembers);
  }

  void Run()
  {
    this->network.Run(90000);
    this->Measure("rest", 0, 60);
    this->MeasurePropagation();
    this->Measure("10 changes/s, churn", kChangesPerSecond, 60);
  }

private:
  void AddDomain(const char* aRegion, const char* aDomain, std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      const std::size_t node = this->network.Add(aRegion, aDomain, 3);
      // The three seeds that Add() sets are all in the first domain. The first
      // member of this domain becomes the fourth seed. Start() applies the
      // list.
      this->network.nodes[node].config.peers.push_back(
        { this->network.nodes[node - index].config.address, 7000 });
      this->network.Start(node);
      for (std::size_t service = index; service < kServices;
           service += aCount) {
        this->Announce(node, service, 8);
      }
      if (aCount > kServices) {
        this->Announce(node, index % kServices, 8);
      }
    }
  }

  void Announce(std::size_t aNode, std::size_t aService, int aSlots)
  {
    this->network.Announce(aNode,
                           { fmt::format("service-{:03}", aService),
                             9000 + static_cast<int>(aService),
                             aSlots,
                             120,
                             wire::EndpointState::READY });
  }

  void ToggleRandomEndpoint()
  {
    const std::size_t node =
      RandomBelow(this->network.random, this->network.nodes.size());
    auto& announcements = this->network.nodes[node].announcements;
    if (!this->network.IsUp(node) || announcements.empty()) {
      return;
    }
    Announcement changed = announcements.begin()->second;
    changed.state = changed.state == wire::EndpointState::READY
                      ? wire::EndpointState::DRAINING
                      : wire::EndpointState::READY;
    this->network.Announce(node, changed);
  }

  void Measure(const std::string& aCase, double aChangesPerSecond, int aSeconds)
  {
    const std::size_t relay = this->FindMember(true);
    const std::size_t other = this->FindMember(false);
    for (const std::size_t node : { relay, other }) {
      this->network.nodes[node].isMeasured = true;
    }
    ResetCounters(this->network);
    for (int second = 0; second < aSeconds; ++second) {
      for (double change = 0; change < aChangesPerSecond; ++change) {
        this->ToggleRandomEndpoint();
        this->network.Run(static_cast<Millis>(1000 / aChangesPerSecond));
      }
      if (aChangesPerSecond == 0) {
        this->network.Run(1000);
      } else if (second == 10) {
        // More than the target rate of 470 restarts and 7 failures per day.
        this->network.Start(this->members - 1);
      } else if (second == 20) {
        this->network.Crash(this->members - 2);
      }
    }
    this->Report(aCase, aSeconds, relay, other);
  }

  std::size_t FindMember(bool aIsRelay)
  {
    std::size_t node = 0;
    while (this->network.At(node).IsRelay() != aIsRelay) {
      ++node;
    }
    return node;
  }

  void Report(const std::string& aCase,
              int aSeconds,
              std::size_t aRelay,
              std::size_t aOther)
  {
    const Traffic traffic = SumTraffic(this->network, this->members);
    const double seconds = aSeconds;
    const std::string label =
      fmt::format("{} members, {}", this->members, aCase);
    const auto row =
      [this, &label](const char* aWhat, double aValue, const char* aUnit) {
        Print(this->options, aWhat, label, aValue, aUnit);
      };
    row("gossip per daemon", traffic.datagramBytes / seconds, "B/s");
    row("control per daemon", traffic.controlBytes / seconds, "B/s");
    row("busiest daemon", traffic.largestSenderBytes / seconds, "B/s");
    row("between domains, all", traffic.betweenDomainsBytes / seconds, "B/s");
    row("between regions, all", traffic.betweenRegionsBytes / seconds, "B/s");
    row("CPU of a relay",
        this->network.nodes[aRelay].busyMillis / seconds,
        "ms/s");
    row("CPU of another member",
        this->network.nodes[aOther].busyMillis / seconds,
        "ms/s");
  }

  void MeasurePropagation()
  {
    std::array<double, 2> worstMillis = { 0, 0 };
    Announcement probe{ "probe", 9999, 4, 40, wire::EndpointState::READY };
    for (std::size_t round = 0; round < 6; ++round) {
      probe.state = round % 2 == 0 ? wire::EndpointState::READY
                                   : wire::EndpointState::DRAINING;
      this->network.Announce(this->members / 2, probe);
      const int expected = round % 2 == 0 ? 1 : 0;
      std::array<double, 2> knownAfterMillis = { 0, 0 };
      for (Millis waited = 0; waited <= 20000; waited += 50) {
        for (const bool isOwn : { true, false }) {
          double& at = knownAfterMillis.at(isOwn ? 0 : 1);
          if (at == 0 && this->IsKnown(isOwn, expected)) {
            at = static_cast<double>(waited);
          }
        }
        this->network.Run(50);
      }
      worstMillis[0] = std::max(
        worstMillis[0], knownAfterMillis[0] > 0 ? knownAfterMillis[0] : 99999);
      worstMillis[1] = std::max(
        worstMillis[1], knownAfterMillis[1] > 0 ? knownAfterMillis[1] : 99999);
    }
    const std::string label = fmt::format("{} members", this->members);
    Print(this->options,
          "change known in its domain, worst",
          label,
          worstMillis[0],
          "ms");
    Print(this->options,
          "change known elsewhere, worst",
          label,
          worstMillis[1],
          "ms");
  }

  bool IsKnown(bool aIsOwn, int aExpected)
  {
    const std::size_t begin = aIsOwn ? 0 : this->members;
    const std::size_t end = aIsOwn ? this->members : this->network.nodes.size();
    for (std::size_t node = begin; node < end; ++node) {
      if (this->network.IsUp(node) && this->ReadyEndpoints(node) != aExpected) {
        return false;
      }
    }
    return true;
  }

  /** Number of ready endpoints of the probe service in the view of a daemon. */
  int ReadyEndpoints(std::size_t aNode)
  {
    const Membership& membership = this->network.At(aNode);
    if (aNode < this->members) {
      const std::string& host =
        this->network.nodes[this->members / 2].config.host;
      const wire::MemberRecord* const record = membership.Table().Find(host);
      return record == nullptr
               ? 0
               : static_cast<int>(std::ranges::count_if(
                   record->endpoints, [](const wire::Endpoint& aEndpoint) {
                     return aEndpoint.serviceName == "probe" &&
                            aEndpoint.state == wire::EndpointState::READY;
                   }));
    }
    const HeldSummary* const held = membership.Summaries().Find("first");
    if (held == nullptr || !held->services.contains("probe")) {
      return 0;
    }
    return held->services.at("probe").ready;
  }

  const Options& options;
  std::size_t members;
  std::size_t otherDomainMembers;
  MemoryNetwork network;
};

void
MeasureMemory(const Options& aOptions)
{
  constexpr int kRecords = 1600;
  MemberTable table("first");
  const auto before = mallinfo2().uordblks;
  for (int index = 0; index < kRecords; ++index) {
    wire::MemberRecord record;
    record.host = fmt::format("first-host-name-{:04}", index);
    record.address = fmt::format("10.20.{}.{}", index / 250, index % 250);
    record.region = "north";
    record.domain = "first";
    record.state = wire::MemberState::ALIVE;
    record.endpoints.resize(1);
    record.endpoints[0].serviceName = fmt::format("service-{}", index % 270);
    table.Merge(record, 0);
  }
  const auto used = static_cast<double>(mallinfo2().uordblks - before);
  Print(aOptions, "memory per record", "1600 records", used / kRecords, "B");
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Log::SetLevel(LogLevel::Error);
  Options options;
  std::vector<std::size_t> sizes;
  for (int index = 1; index < aCount; ++index) {
    const std::string argument = aArguments[index];
    if (argument == "--csv") {
      options.isCsv = true;
    } else {
      sizes.push_back(std::strtoul(argument.c_str(), nullptr, 10));
    }
  }
  if (!sizes.empty()) {
    options.sizes = sizes;
  }
  MeasureMemory(options);
  for (const std::size_t size : options.sizes) {
    Fleet(options, size).Run();
  }
  return 0;
}
