#include "ctl/fleetinspector.h"

#include "common/hash.h"
#include "common/jsonvalue.h"
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

// The platform serves the whole fleet, so it is asked less often.
constexpr Millis kPlatformInterval = 500;

// An entry is rejected for a moment when what it needs (its service, the rest
// of its change set) is written right after it.
constexpr Millis kRejectionSettles = 1500;

} // namespace

FleetInspector::FleetInspector(ObjectStore aStore,
                               CtlOptions aOptions,
                               Clock aClock,
                               Print aOut,
                               Print aError,
                               DaemonClient aDaemons)
  : store(std::move(aStore))
  , options(std::move(aOptions))
  , clock(std::move(aClock))
  , out(std::move(aOut))
  , error(std::move(aError))
  , daemons(std::move(aDaemons))
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
      this->error(fmt::format("{}: {}; check that the daemon runs and that "
                              "this is its admin port\n",
                              daemon,
                              state.error().detail));
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
                  ValueOr<std::string>(row, "host", "?"),
                  ValueOr<std::string>(row, "region", "?"),
                  ValueOr<std::string>(row, "domain", "?"),
                  ValueOr(row, "version", std::int64_t{ 0 }),
                  ValueOr(row, "ready", false) ? "ready    " : "not ready",
                  ValueOr(row, "members", 0),
                  ValueOr(row, "feeder", false) ? "feeder " : "",
                  ValueOr(row, "acceptor", false) ? "acceptor" : ""));
  }
  if (this->options.isJson) {
    this->out(rows.dump() + "\n");
  }
  return worst;
}

bool
FleetInspector::HasReached(WaitingDaemon& aDaemon, const StoredObject& aObject)
{
  return aObject.revision > 0 ? this->HasEntry(aDaemon, aObject)
                              : this->HasVersion(aDaemon);
}

/**
 * The text decides: daemons keep the revision of a text that is written again,
 * and after a restore of the store they hold newer texts than it has.
 */
bool
FleetInspector::HasEntry(WaitingDaemon& aDaemon, const StoredObject& aObject)
{
  const auto held =
    this->daemons.Entry(aDaemon.address, this->options.arguments.front());
  if (!held) {
    aDaemon.seen = held.error().detail;
    return false;
  }
  const HeldEntry& entry = held.value();
  aDaemon.seen = entry.revision == 0
                   ? "does not hold the entry"
                   : fmt::format("holds another text, accepted at revision {}",
                                 entry.revision);
  return entry.revision > 0 &&
         (entry.textHash ? *entry.textHash == Hash64(aObject.value)
                         : entry.revision >= aObject.revision);
}

bool
FleetInspector::HasVersion(WaitingDaemon& aDaemon)
{
  const auto state = this->daemons.State(aDaemon.address);
  if (!state) {
    aDaemon.seen = state.error().detail;
    return false;
  }
  const auto held = ValueOr(state.value(), "version", std::int64_t{ 0 });
  const bool isReady = ValueOr(state.value(), "ready", false);
  aDaemon.seen =
    fmt::format("holds version {}{}", held, isReady ? "" : ", not ready");
  return isReady && held >= this->options.version;
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
      ValueOr(status, "revision", std::int64_t{ 0 }) != aRevision) {
    return std::nullopt;
  }
  return ValueOr<std::string>(status, "reason", "no reason given");
}

ExitCode
FleetInspector::Explain()
{
  const std::string& name = this->options.arguments.front();
  const auto objects = this->store.list(fmt::format("status/{}/", name));
  if (!objects) {
    this->error(
      fmt::format("{}: the platform did not answer ({}); while it is down, ask "
                  "the daemons: status, GET /metrics\n",
                  name,
                  kPlatformErrorNames.NameOf(objects.error().code)));
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
  if (this->options.arguments.empty()) {
    return this->WaitFor(StoredObject());
  }
  const auto object =
    this->store.get(CatalogueObject(this->options.arguments.front()));
  return object ? this->WaitFor(object.value())
                : this->ReportMissing(object.error());
}

ExitCode
FleetInspector::ReportMissing(const PlatformError& aError)
{
  const std::string& name = this->options.arguments.front();
  if (aError.code == PlatformErrorCode::NotFound) {
    this->error(
      fmt::format("{}: not in the platform; after a delete, wait with "
                  "--version\n",
                  name));
    return ExitCode::NotFound;
  }
  this->error(fmt::format("{}: the platform did not answer ({}); try again\n",
                          name,
                          kPlatformErrorNames.NameOf(aError.code)));
  return ExitCode::PlatformFailed;
}

/** Why waiting for this revision of the entry is pointless, if it is. */
std::optional<ExitCode>
FleetInspector::CheckEntry(const StoredObject& aObject, bool aIsLastTime)
{
  const std::string& name = this->options.arguments.front();
  const auto reason = this->RejectionOf(name, aObject.revision);
  const Millis now = this->clock.Now();
  if (!reason) {
    this->rejectedAt.reset();
  } else if (aIsLastTime ||
             now - this->rejectedAt.value_or(now) >= kRejectionSettles) {
    this->error(fmt::format("{}: revision {} was rejected: {}; mend the entry "
                            "and put it with --expect {}\n",
                            name,
                            aObject.revision,
                            *reason,
                            aObject.revision));
    return ExitCode::Rejected;
  } else if (!this->rejectedAt) {
    this->rejectedAt = now;
  }
  return this->CheckUnchanged(aObject);
}

/** Another text may be in force once the entry was changed again. */
std::optional<ExitCode>
FleetInspector::CheckUnchanged(const StoredObject& aObject)
{
  const std::string& name = this->options.arguments.front();
  const auto present = this->store.get(CatalogueObject(name));
  if (present && present.value().revision != aObject.revision) {
    this->error(fmt::format("{}: changed again while waiting: revision {} "
                            "instead of {}; get it, then wait again\n",
                            name,
                            present.value().revision,
                            aObject.revision));
    return ExitCode::Conflict;
  }
  if (!present && present.error().code == PlatformErrorCode::NotFound) {
    this->error(fmt::format("{}: removed while waiting\n", name));
    return ExitCode::Conflict;
  }
  return std::nullopt;
}

ExitCode
FleetInspector::WaitFor(const StoredObject& aObject)
{
  const Millis limit = this->clock.Now() + this->options.timeout;
  Millis platformDueAt = this->clock.Now();
  std::vector<WaitingDaemon> waiting;
  std::ranges::for_each(this->options.daemons, [&](const std::string& aDaemon) {
    waiting.push_back({ aDaemon, {} });
  });
  while (true) {
    if (aObject.revision > 0 && this->clock.Now() >= platformDueAt) {
      if (const auto end = this->CheckEntry(aObject, false)) {
        return *end;
      }
      platformDueAt = this->clock.Now() + kPlatformInterval;
    }
    std::erase_if(waiting, [this, &aObject](WaitingDaemon& aDaemon) {
      return this->HasReached(aDaemon, aObject);
    });
    if (waiting.empty()) {
      if (const auto changed = aObject.revision > 0
                                 ? this->CheckUnchanged(aObject)
                                 : std::nullopt) {
        return *changed;
      }
      this->out("in force on every --daemon\n");
      return ExitCode::Ok;
    }
    if (this->clock.Now() >= limit) {
      return this->TimeOut(waiting, aObject);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

ExitCode
FleetInspector::TimeOut(const std::vector<WaitingDaemon>& aWaiting,
                        const StoredObject& aObject)
{
  if (aObject.revision > 0) {
    if (const auto end = this->CheckEntry(aObject, true)) {
      return *end;
    }
  }
  std::ranges::for_each(aWaiting, [this](const WaitingDaemon& aDaemon) {
    this->error(
      fmt::format("{}: not yet in force: {}\n", aDaemon.address, aDaemon.seen));
  });
  return ExitCode::TimedOut;
}

} // namespace lacewingwharf
