// Measures the latency, the refused calls and the bytes on the region link for
// several methods of choosing a server, on the same sequence of arriving calls.
// Simulates the daemons and servers on a manual clock.

#include "choicesimulation.h"

#include <chrono>

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

namespace {

struct Method
{
  std::string name;
  ChoiceSimulation::MakeChooser makeChooser;
};

std::vector<Method>
Methods()
{
  return { { "random",
             [](
               const EventLoop&, const Random& aRandom, const PublishedLoads&) {
               return MakeSimpleChooser(aRandom, nullptr);
             } },
           { "least-reported",
             [](const EventLoop&,
                const Random& aRandom,
                const PublishedLoads& aPublishedLoads) {
               return MakeSimpleChooser(aRandom, &aPublishedLoads);
             } },
           { "policy",
             [](const EventLoop& aLoop, Random aRandom, const PublishedLoads&) {
               return MakePolicyChooser(aLoop, std::move(aRandom));
             } } };
}

std::vector<DomainSpec>
OneDomain()
{
  return { { "bangor", "gogledd", 4, 0.7 } };
}

/**
 * The first domain receives more calls than it has capacity for; the last one
 * has spare capacity.
 */
std::vector<DomainSpec>
FourDomains(double aNearLoad, double aFarLoad)
{
  return { { "bangor", "gogledd", 4, 1.5 },
           { "wrecsam", "gogledd", 4, aNearLoad },
           { "abertawe", "de-cymru", 12, aFarLoad },
           { "caerfyrddin", "de-cymru", 12, 0.4 } };
}

std::vector<Scenario>
ChoiceScenarios()
{
  Scenario steady{ "steady", OneDomain() };
  Scenario cold{ "cold-start", OneDomain() };
  cold.slowFactor = 5;
  cold.coldStartAt = kStartMillis + kWarmUpMillis + 1000;
  Scenario slow{ "one-slow", OneDomain() };
  slow.slowFactor = 5;
  Scenario zeroLoad{ "lying", OneDomain() };
  zeroLoad.slowFactor = 3;
  zeroLoad.isReportingZeroLoad = true;
  Scenario full{ "domain-full", FourDomains(0.3, 0.7) };
  return { steady, cold, slow, zeroLoad, full };
}

std::vector<Scenario>
DomainScenarios()
{
  Scenario records{ "full-records", FourDomains(1.1, 0.97) };
  records.remoteEndpointDetail = RemoteEndpointDetail::Records;
  Scenario aggregate{ "aggregate", FourDomains(1.1, 0.97) };
  aggregate.remoteEndpointDetail = RemoteEndpointDetail::Aggregate;
  Scenario slowdown{ "with-slowdown", FourDomains(1.1, 0.97) };
  return { records, aggregate, slowdown };
}

/**
 * Calculates the bytes per second that the summaries or records of one service
 * take on the region link. Two relays on each side send them once per second.
 */
double
ControlBytesPerSecond(const Scenario& aScenario)
{
  constexpr double kRecordBytes = 100;
  constexpr double kSummaryBytes = 40;
  constexpr double kSampledEndpointBytes = 48;
  constexpr double kRelays = 2;
  double bytes = 0;
  for (const DomainSpec& domain : aScenario.domains) {
    bytes +=
      aScenario.remoteEndpointDetail == RemoteEndpointDetail::Records
        ? kRecordBytes * domain.servers
        : kSummaryBytes + kSampledEndpointBytes * std::min(8, domain.servers);
  }
  return aScenario.domains.size() > 1 ? bytes * kRelays : 0;
}

void
PrintHeader(bool aIsCsv)
{
  if (aIsCsv) {
    fmt::print("scenario,method,p50_ms,p99_ms,refused_percent,"
               "link_kb_per_s,control_kb_per_s\n");
  } else {
    fmt::print("{:<16}{:<16}{:>8}{:>9}{:>10}{:>11}{:>14}\n",
               "scenario",
               "method",
               "p50 ms",
               "p99 ms",
               "refused%",
               "link KB/s",
               "control KB/s");
  }
}

void
PrintRow(const Scenario& aScenario, const Method& aMethod, bool aIsCsv)
{
  const Results results =
    ChoiceSimulation(aScenario, aMethod.makeChooser).Run();
  const double p50 = QuantileOf(results.latencies, 0.5);
  const double p99 = QuantileOf(results.latencies, 0.99);
  const double refused = 100.0 * results.refused / std::max(1, results.calls);
  const double link = results.linkBytes / kMeasuredMillis; // Bytes/ms are KB/s.
  const double control = ControlBytesPerSecond(aScenario) / 1000;
  if (aIsCsv) {
    fmt::print("{},{},{:.1f},{:.1f},{:.2f},{:.1f},{:.2f}\n",
               aScenario.name,
               aMethod.name,
               p50,
               p99,
               refused,
               link,
               control);
  } else {
    fmt::print("{:<16}{:<16}{:>8.1f}{:>9.1f}{:>10.2f}{:>11.1f}{:>14.2f}\n",
               aScenario.name,
               aMethod.name,
               p50,
               p99,
               refused,
               link,
               control);
  }
}

/**
 * Measures the time of a choice among the endpoints of the largest service,
 * including the reports of the start and the end of the attempt.
 */
void
PrintCost()
{
  constexpr int kEndpoints = 23;
  constexpr int kChoices = 200000;
  auto view = std::make_shared<EndpointView>();
  for (int index = 0; index < kEndpoints; ++index) {
    EndpointInfo info;
    info.host = fmt::format("host{}", index);
    info.domain = "bangor";
    info.port = kPort;
    view->services[kService].endpoints.push_back(info);
  }
  ServerChooser chooser(Clock::Steady(), SeededRandom(1));
  chooser.SetView(view);
  const auto start = std::chrono::steady_clock::now();
  for (int choice = 0; choice < kChoices; ++choice) {
    const auto chosen = chooser.Choose(kService, {});
    const EndpointKey key{ chosen->endpoint.host, kPort };
    chooser.RecordAttemptStart(key);
    chooser.RecordAttemptEnd(key, { CallEnd::Succeeded, 5, 3, 0, 6 });
  }
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  fmt::print("\n{:.2f} us for a choice among {} servers and two reports\n",
             elapsed.count() / kChoices,
             kEndpoints);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const bool isCsv = IsCsv(aCount, aArguments);
  const auto methods = Methods();
  PrintHeader(isCsv);
  for (const Scenario& scenario : ChoiceScenarios()) {
    for (const Method& method : methods) {
      PrintRow(scenario, method, isCsv);
    }
  }
  for (const Scenario& scenario : DomainScenarios()) {
    PrintRow(scenario, methods.back(), isCsv);
  }
  if (!isCsv) {
    PrintCost();
  }
  return 0;
}
