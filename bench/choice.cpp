#include "choiceworld.h"

#include <chrono>

using namespace lacewingwharf;
using namespace lacewingwharf::bench;

// Compares ways to choose a server on the same arrivals.
namespace {

struct Method
{
  std::string name;
  ChoiceWorld::MakeChooser make;
};

std::vector<Method>
Methods()
{
  return {
    { "random",
      [](const EventLoop&, const Random& aRandom, const Published&) {
        return SimpleChooser(aRandom, nullptr);
      } },
    { "least-reported",
      [](const EventLoop&, const Random& aRandom, const Published& aPublished) {
        return SimpleChooser(aRandom, &aPublished);
      } },
    { "policy",
      [](const EventLoop& aLoop, Random aRandom, const Published&) {
        return PolicyChooser(aLoop, std::move(aRandom));
      } }
  };
}

std::vector<DomainSpec>
OneDomain()
{
  return { { "bangor", "gogledd", 4, 0.7 } };
}

/** The first domain gets more calls than it can run; the last has room. */
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
  cold.coldAt = kStart + kWarmUp + 1000;
  Scenario slow{ "one-slow", OneDomain() };
  slow.slowFactor = 5;
  Scenario lying{ "lying", OneDomain() };
  lying.slowFactor = 3;
  lying.isLying = true;
  Scenario full{ "domain-full", FourDomains(0.3, 0.7) };
  return { steady, cold, slow, lying, full };
}

std::vector<Scenario>
DomainScenarios()
{
  Scenario records{ "full-records", FourDomains(1.1, 0.97) };
  records.knowledge = Knowledge::Records;
  Scenario aggregate{ "aggregate", FourDomains(1.1, 0.97) };
  aggregate.knowledge = Knowledge::Aggregate;
  Scenario slowdown{ "with-slowdown", FourDomains(1.1, 0.97) };
  return { records, aggregate, slowdown };
}

/**
 * Bytes a second that the summaries or records of one service take on the
 * region link, calculated: two feeders on each side, once a second.
 */
double
ControlBytes(const Scenario& aScenario)
{
  constexpr double kRecord = 100;
  constexpr double kSummary = 40;
  constexpr double kSampled = 48;
  constexpr double kFeeders = 2;
  double bytes = 0;
  for (const DomainSpec& domain : aScenario.domains) {
    bytes += aScenario.knowledge == Knowledge::Records
               ? kRecord * domain.servers
               : kSummary + kSampled * std::min(8, domain.servers);
  }
  return aScenario.domains.size() > 1 ? bytes * kFeeders : 0;
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
  const Figures figures = ChoiceWorld(aScenario, aMethod.make).Run();
  const double p50 = QuantileOf(figures.latencies, 0.5);
  const double p99 = QuantileOf(figures.latencies, 0.99);
  const double refused = 100.0 * figures.refused / std::max(1, figures.calls);
  const double link = figures.linkBytes / kMeasured; // Bytes/ms are KB/s.
  const double control = ControlBytes(aScenario) / 1000;
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

/** Processor time of one choice among the endpoints of the largest service. */
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
  const auto begin = std::chrono::steady_clock::now();
  for (int choice = 0; choice < kChoices; ++choice) {
    const auto chosen = chooser.Choose(kService, {});
    const EndpointKey key{ chosen->endpoint.host, kPort };
    chooser.RecordAttemptStart(key);
    chooser.RecordAttemptEnd(key, { CallEnd::Succeeded, 5, 3, 0, 6 });
  }
  const std::chrono::duration<double, std::micro> taken =
    std::chrono::steady_clock::now() - begin;
  fmt::print("\n{:.2f} us for a choice among {} with both reports\n",
             taken.count() / kChoices,
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
