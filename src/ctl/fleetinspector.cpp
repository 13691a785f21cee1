#include "ctl/fleetinspector.h"

#include "ctl/catalogueeditor.h"
#include "status/explanation.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval(100);

} // namespace

FleetInspector::FleetInspector(ObjectStore aStore,
                               CtlOptions aOptions,
                               Clock aClock,
                               Print aOut,
                               Print aError)
  : store(std::move(aStore))
  , options(std::move(aOptions))
  , clock(std::move(aClock))
  , out(std::move(aOut))
  , error(std::move(aError))
{
}

ExitCode
FleetInspector::Status()
{
  Json rows = Json::array();
  ExitCode worst = ExitCode::Ok;
  for (const std::string& daemon : this->options.daemons) {
    const auto state = this->daemons.State(daemon);
    if (!state) {
      this->error(fmt::format("{}: {}\n", daemon, state.error().detail));
      worst = ExitCode::PlatformFailed;
      continue;
    }
    rows.push_back(state.value());
    if (this->options.isJson) {
      continue;
    }
    const Json& row = state.value();
    this->out(
      fmt::format("{:<20} {:<14} {:<14} version {:<8} {} members {:<5} {}{}\n",
                  row.value("host", "?"),
                  row.value("region", "?"),
                  row.value("domain", "?"),
                  row.value("version", 0),
                  row.value("ready", false) ? "ready    " : "not ready",
                  row.value("members", 0),
                  row.value("feeder", false) ? "feeder " : "",
                  row.value("acceptor", false) ? "acceptor" : ""));
  }
  if (this->options.isJson) {
    this->out(rows.dump() + "\n");
  }
  return worst;
}

bool
FleetInspector::HasReached(const std::string& aDaemon, std::int64_t aRevision)
{
  if (aRevision > 0) {
    const auto revision =
      this->daemons.EntryRevision(aDaemon, this->options.arguments.front());
    return revision && revision.value() >= aRevision;
  }
  const auto state = this->daemons.State(aDaemon);
  return state && state.value().value("version", std::int64_t{ 0 }) >=
                    this->options.version;
}

std::optional<std::string>
FleetInspector::RejectionOf(const std::string& aName, std::int64_t aRevision)
{
  const auto object =
    this->store.get(fmt::format("status/{}/acceptance", aName));
  if (!object) {
    return std::nullopt;
  }
  const Json status = Json::parse(object.value().value, nullptr, false);
  // The object exists only while the last edit of the entry is rejected.
  if (!status.is_object() ||
      status.value("revision", std::int64_t{ 0 }) != aRevision) {
    return std::nullopt;
  }
  return status.value("reason", "rejected");
}

ExitCode
FleetInspector::Explain()
{
  const std::string& name = this->options.arguments.front();
  const auto objects = this->store.list(fmt::format("status/{}/", name));
  if (!objects) {
    this->error(fmt::format(
      "{}: {}\n", name, kPlatformErrorNames.NameOf(objects.error().code)));
    return ExitCode::PlatformFailed;
  }
  const auto explanation = Explanation::From(name, objects.value().objects);
  this->out(this->options.isJson ? explanation.ToJson() + "\n"
                                 : explanation.Text(Clock::Wall().Now()));
  return ExitCode::Ok;
}

ExitCode
FleetInspector::Wait()
{
  std::int64_t revision = 0;
  if (!this->options.arguments.empty()) {
    const auto object =
      this->store.get(CatalogueObject(this->options.arguments.front()));
    if (!object) {
      this->error(fmt::format("{}: {}\n",
                              this->options.arguments.front(),
                              kPlatformErrorNames.NameOf(object.error().code)));
      return object.error().code == PlatformErrorCode::NotFound
               ? ExitCode::NotFound
               : ExitCode::PlatformFailed;
    }
    revision = object.value().revision;
  }
  const Millis limit = this->clock.Now() + this->options.timeout;
  std::vector<std::string> waiting = this->options.daemons;
  while (true) {
    std::erase_if(waiting, [this, revision](const std::string& aDaemon) {
      return this->HasReached(aDaemon, revision);
    });
    if (waiting.empty()) {
      this->out("in force everywhere\n");
      return ExitCode::Ok;
    }
    if (revision > 0) {
      const auto reason =
        this->RejectionOf(this->options.arguments.front(), revision);
      if (reason) {
        this->error(fmt::format("rejected: {}\n", *reason));
        return ExitCode::Rejected;
      }
    }
    if (this->clock.Now() >= limit) {
      std::ranges::for_each(waiting, [this](const std::string& aDaemon) {
        this->error(fmt::format("{}: not yet in force\n", aDaemon));
      });
      return ExitCode::TimedOut;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

} // namespace lacewingwharf
