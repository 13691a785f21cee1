#include "testkit/fleetreport.h"

#include "testkit/fleet.h"
#include "testkit/fleetcaller.h"
#include "testkit/site.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace lacewingwharf {

namespace {

// Daemons write the lines of a log at each tick of their control thread.
constexpr Millis kLogDelay = 200;

const std::vector<std::string>&
TextsOfFleetChanges()
{
  static const std::vector<std::string> sTexts{
    "level=warning",   "level=error",      "event=start",   "event=stop",
    "event=version-",  "event=relay-",     "part=acceptor", "part=main",
    "part=membership", "part=distribution"
  };
  return sTexts;
}

/** Leaves out the lines about calls, of which there may be thousands. */
std::string
WithoutCalls(const std::string& aLog)
{
  std::istringstream log(aLog);
  std::string kept;
  for (std::string line; std::getline(log, line);) {
    const bool isAboutCall = line.find(" call=") != std::string::npos;
    kept += isAboutCall ? std::string() : "  " + line + "\n";
  }
  return kept;
}

} // namespace

std::string
SelectLines(const std::string& aLog, const std::vector<std::string>& aTexts)
{
  std::istringstream log(aLog);
  std::string selected;
  for (std::string line; std::getline(log, line);) {
    const bool isSelected =
      std::ranges::any_of(aTexts, [&line](const std::string& aText) {
        return line.find(aText) != std::string::npos;
      });
    if (isSelected) {
      selected += "  " + line + "\n";
    }
  }
  return selected;
}

std::string
DescribeFleet(const Fleet& aFleet, const std::vector<std::string>& aTexts)
{
  PauseFor(kLogDelay);
  std::vector<std::string> texts = TextsOfFleetChanges();
  texts.insert(texts.end(), aTexts.begin(), aTexts.end());
  std::string text;
  for (const std::size_t host : aFleet.AllHosts()) {
    const auto state = aFleet.State(host);
    text += fmt::format("{} at {}: {}\n{}",
                        aFleet.HostName(host),
                        aFleet.Address(host),
                        state.is_object() ? state.dump() : "no answer",
                        SelectLines(aFleet.Log(host), texts));
  }
  for (const auto& [host, port] : aFleet.Backends()) {
    auto counts = aFleet.AllRuns(host, port);
    if (counts.is_object()) { // Null if the server does not answer.
      counts.erase("calls");
      counts.erase("keys");
    }
    text += fmt::format(
      "backend server {}:{}: {}\n", aFleet.HostName(host), port, counts.dump());
  }
  return text;
}

void
PrintProblems(const Fleet& aFleet, const FleetCalls& aCalls)
{
  if (!aCalls.problems.empty()) {
    fmt::print(stderr, "{}", DescribeFleet(aFleet, aCalls.problemIds));
  }
}

std::string
DescribeSite(const Site& aSite, const std::string& aPath)
{
  const TestAnswer answer = aSite.Call(aPath);
  PauseFor(kLogDelay);
  std::string text = fmt::format("{}: status {}, connected {}, headers\n{}{}\n",
                                 aPath,
                                 answer.status,
                                 answer.wasConnected,
                                 answer.headers,
                                 answer.body);
  for (std::size_t host = 0; host < aSite.daemons.size(); ++host) {
    text += fmt::format("host-{}: runs {}, ready {}, relay {}, stored {}\n{}",
                        host,
                        aSite.daemons[host]->IsRunning(),
                        aSite.IsReady(host),
                        aSite.IsRelay(host),
                        aSite.StoredMember(host),
                        WithoutCalls(aSite.Log(host)));
  }
  return text;
}

} // namespace lacewingwharf
