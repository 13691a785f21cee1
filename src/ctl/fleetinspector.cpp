#include "ctl/fleetinspector.h"

#include "common/hash.h"
#include "common/jsonvalue.h"
#include "ctl/catalogueeditor.h"
#include "status/explanation.h"
#include "status/teamsummary.h"

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

// Longer than the interval for daemons because the platform serves the whole
// fleet.
constexpr Millis kPlatformCheckInterval = 500;

// wait reports a rejection only after this time or at its timeout. An entry is
// rejected temporarily if its service or the rest of its change set is written
// just after it.
constexpr Millis kRejectionSettleTime = 1500;

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
  ExitCode result = ExitCode::Ok;
  for (const std::string& daemon : this->options.daemons) {
    const auto state = this->daemons.FetchState(daemon);
    if (!state) {
      this->error(fmt::format("{}: {}; check that the daemon runs and that "
                              "this is its admin port\n",
                              daemon,
                              state.error().detail));
      result = ExitCode::PlatformFailed;
      continue;
    }
    rows.push_back(state.value());
    if (this->options.isJson) {
      continue;
    }
    const Json& row = state.value();
    this->out(
      fmt::format("{:<20} {:<14} {:<14} version {:<8} {} members {:<5} {}{}\n",
                  FieldOr<std::string>(row, "host", "?"),
                  FieldOr<std::string>(row, "region", "?"),
                  FieldOr<std::string>(row, "domain", "?"),
                  FieldOr(row, "version", std::int64_t{ 0 }),
                  FieldOr(row, "ready", false) ? "ready    " : "not ready",
                  FieldOr(row, "members", 0),
                  FieldOr(row, "feeder", false) ? "feeder " : "",
                  FieldOr(row, "acceptor", false) ? "acceptor" : ""));
    this->ShowRollouts(row);
  }
  if (this->options.isJson) {
    this->out(rows.dump() + "\n");
  }
  return result;
}

/** Shows the rollouts that the daemon knows, and what it decides by. */
void
FleetInspector::ShowRollouts(const Json& aState)
{
  for (const Json& row : FieldOr(aState, "rollouts", Json::array())) {
    this->out(fmt::format("  rollout {} {} -> {} {} decider {}\n",
                          FieldOr<std::string>(row, "service", "?"),
                          FieldOr<std::string>(row, "base", "?"),
                          FieldOr<std::string>(row, "target", "?"),
                          FieldOr<std::string>(row, "state", "?"),
                          FieldOr<std::string>(row, "decider", "?")));
    const Json evidence = FieldOr(row, "evidence", Json::object());
    if (evidence.empty()) {
      continue;
    }
    this->out(
      fmt::format("    sent {} of at most {}, {} requests in all; strongest "
                  "sign {} on route {}: {} of {} bad, by chance {:.2g}\n",
                  FieldOr(evidence, "exposure", std::int64_t{ 0 }),
                  FieldOr(evidence, "budget", std::int64_t{ 0 }),
                  FieldOr(evidence, "requests", std::int64_t{ 0 }),
                  FieldOr<std::string>(evidence, "kind", "?"),
                  FieldOr<std::string>(evidence, "route", "?"),
                  FieldOr(evidence, "bad", std::int64_t{ 0 }),
                  FieldOr(evidence, "of", std::int64_t{ 0 }),
                  FieldOr(evidence, "chance", 1.0)));
  }
}

bool
FleetInspector::HasReached(PendingDaemon& aDaemon, const StoredObject& aObject)
{
  return aObject.revision > 0 ? this->HasEntry(aDaemon, aObject)
                              : this->HasVersion(aDaemon);
}

/**
 * Compares the text rather than the revision if the daemon reports a text hash.
 * When the same text is written again, daemons keep its old revision. After the
 * store is restored from a backup, daemons have newer texts than the store.
 */
bool
FleetInspector::HasEntry(PendingDaemon& aDaemon, const StoredObject& aObject)
{
  const auto held =
    this->daemons.FetchEntry(aDaemon.address, this->options.arguments.front());
  if (!held) {
    aDaemon.lastObservation = held.error().detail;
    return false;
  }
  const HeldEntry& entry = held.value();
  aDaemon.lastObservation =
    entry.revision == 0
      ? "does not hold the entry"
      : fmt::format("holds another text, accepted at revision {}",
                    entry.revision);
  return entry.revision > 0 &&
         (entry.textHash ? *entry.textHash == Hash64(aObject.value)
                         : entry.revision >= aObject.revision);
}

bool
FleetInspector::HasVersion(PendingDaemon& aDaemon)
{
  const auto state = this->daemons.FetchState(aDaemon.address);
  if (!state) {
    aDaemon.lastObservation = state.error().detail;
    return false;
  }
  const auto held = FieldOr(state.value(), "version", std::int64_t{ 0 });
  const bool isReady = FieldOr(state.value(), "ready", false);
  aDaemon.lastObservation =
    fmt::format("holds version {}{}", held, isReady ? "" : ", not ready");
  return isReady && held >= this->options.version;
}

std::optional<std::string>
FleetInspector::ReadRejectionReason(const std::string& aName,
                                    std::int64_t aRevision)
{
  const auto object =
    this->store.get(fmt::format("status/{}/acceptance", aName));
  if (!object) {
    return std::nullopt;
  }
  const Json status = Json::parse(object.value().value, nullptr, false);
  // The object exists only while the last write of the entry is rejected.
  if (!status.is_object() ||
      FieldOr(status, "revision", std::int64_t{ 0 }) != aRevision) {
    return std::nullopt;
  }
  return FieldOr<std::string>(status, "reason", "no reason given");
}

/** Returns nothing if no --daemon has a team of that name. */
std::optional<ExitCode>
FleetInspector::ExplainTeam()
{
  const std::string& name = this->options.arguments.front();
  TeamSummary summary;
  bool hasFailed = false;
  for (const std::string& daemon : this->options.daemons) {
    const auto team = this->daemons.FetchTeam(daemon, name);
    if (team) {
      summary.Add(team.value());
      continue;
    }
    hasFailed = true;
    this->error(fmt::format(
      "{}: {}; its calls are missing\n", daemon, team.error().detail));
  }
  if (summary.IsEmpty()) {
    return std::nullopt;
  }
  this->out(this->options.isJson ? summary.ToJson().dump(2) + "\n"
                                 : summary.Text());
  return hasFailed ? ExitCode::PlatformFailed : ExitCode::Ok;
}

ExitCode
FleetInspector::Explain()
{
  if (const auto code = this->ExplainTeam()) {
    return *code;
  }
  if (this->options.platform.empty()) {
    this->error(fmt::format("{}: no --daemon has a team of this name; for "
                            "entries of other kinds, give --platform\n",
                            this->options.arguments.front()));
    return ExitCode::NotFound;
  }
  const std::string& name = this->options.arguments.front();
  const auto objects = this->store.list(fmt::format("status/{}/", name));
  if (!objects) {
    this->error(
      fmt::format("{}: the platform did not answer ({}); while it is down, use "
                  "the status command or GET /metrics of the daemons\n",
                  name,
                  kPlatformErrorNames.NameOf(objects.error().code)));
    return ExitCode::PlatformFailed;
  }
  const auto explanation =
    Explanation::FromObjects(name, objects.value().objects);
  this->out(this->options.isJson ? explanation.ToJson() + "\n"
                                 : explanation.Text(Clock::Wall().Now()));
  return ExitCode::Ok;
}

ExitCode
FleetInspector::Usage()
{
  const std::string& team = this->options.arguments.front();
  Json rows = Json::object();
  ExitCode result = ExitCode::Ok;
  for (const std::string& daemon : this->options.daemons) {
    const auto usage = this->daemons.FetchUsage(daemon, team);
    if (!usage) {
      this->error(fmt::format("{}: {}; check that the daemon runs and that "
                              "this is its admin port\n",
                              daemon,
                              usage.error().detail));
      result = ExitCode::PlatformFailed;
      continue;
    }
    const Json& row = usage.value();
    rows[daemon] = row;
    if (this->options.isJson) {
      continue;
    }
    if (row.empty()) {
      this->out(fmt::format("{:<20} no cap\n", daemon));
      continue;
    }
    this->out(fmt::format(
      "{:<20} rate {} burst {} granted {} returned {} refused {} "
      "accountants {} pooled halves {} left {}\n",
      daemon,
      FieldOr(row, "rate", 0),
      FieldOr(row, "burst", 0),
      FieldOr(row, "granted", std::int64_t{ 0 }),
      FieldOr(row, "returned", std::int64_t{ 0 }),
      FieldOr(row, "refused", std::int64_t{ 0 }),
      fmt::join(FieldOr(row, "accountants", std::vector<std::string>()), ","),
      FieldOr(row, "halves", 0),
      FieldOr(row, "left", 0)));
  }
  if (this->options.isJson) {
    this->out(rows.dump() + "\n");
  }
  return result;
}

ExitCode
FleetInspector::Wait()
{
  if (this->options.arguments.empty()) {
    return this->WaitFor(StoredObject());
  }
  const auto object =
    this->store.get(CatalogueObjectName(this->options.arguments.front()));
  return object ? this->WaitFor(object.value())
                : this->ReportGetError(object.error());
}

ExitCode
FleetInspector::ReportGetError(const PlatformError& aError)
{
  const std::string& name = this->options.arguments.front();
  if (aError.code == PlatformErrorCode::NotFound) {
    this->error(
      fmt::format("{}: not in the platform; to wait for a delete, use "
                  "--version\n",
                  name));
    return ExitCode::NotFound;
  }
  this->error(fmt::format("{}: the platform did not answer ({}); try again\n",
                          name,
                          kPlatformErrorNames.NameOf(aError.code)));
  return ExitCode::PlatformFailed;
}

/**
 * Returns an exit code if there is no reason to wait any longer: the revision
 * was rejected, or the entry was changed or removed.
 */
std::optional<ExitCode>
FleetInspector::CheckStoredEntry(const StoredObject& aObject,
                                 bool aIsFinalCheck)
{
  const std::string& name = this->options.arguments.front();
  const auto reason = this->ReadRejectionReason(name, aObject.revision);
  const Millis now = this->clock.Now();
  if (!reason) {
    this->rejectedAt.reset();
  } else if (aIsFinalCheck ||
             now - this->rejectedAt.value_or(now) >= kRejectionSettleTime) {
    this->error(fmt::format("{}: revision {} was rejected: {}; correct the "
                            "entry and put it with --expect {}\n",
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

/**
 * Returns an exit code if the entry was changed or removed since the wait
 * began, because the daemons may then have another text in force.
 */
std::optional<ExitCode>
FleetInspector::CheckUnchanged(const StoredObject& aObject)
{
  const std::string& name = this->options.arguments.front();
  const auto current = this->store.get(CatalogueObjectName(name));
  if (current && current.value().revision != aObject.revision) {
    this->error(fmt::format("{}: changed while waiting: revision {} "
                            "instead of {}; get it, then wait again\n",
                            name,
                            current.value().revision,
                            aObject.revision));
    return ExitCode::Conflict;
  }
  if (!current && current.error().code == PlatformErrorCode::NotFound) {
    this->error(fmt::format("{}: removed while waiting\n", name));
    return ExitCode::Conflict;
  }
  return std::nullopt;
}

ExitCode
FleetInspector::WaitFor(const StoredObject& aObject)
{
  const Millis deadline = this->clock.Now() + this->options.timeout;
  Millis nextPlatformCheckAt = this->clock.Now();
  std::vector<PendingDaemon> pending;
  std::ranges::for_each(this->options.daemons, [&](const std::string& aDaemon) {
    pending.push_back({ aDaemon, {} });
  });
  while (true) {
    if (aObject.revision > 0 && this->clock.Now() >= nextPlatformCheckAt) {
      if (const auto end = this->CheckStoredEntry(aObject, false)) {
        return *end;
      }
      nextPlatformCheckAt = this->clock.Now() + kPlatformCheckInterval;
    }
    std::erase_if(pending, [this, &aObject](PendingDaemon& aDaemon) {
      return this->HasReached(aDaemon, aObject);
    });
    if (pending.empty()) {
      if (const auto changed = aObject.revision > 0
                                 ? this->CheckUnchanged(aObject)
                                 : std::nullopt) {
        return *changed;
      }
      this->out("in force on every --daemon\n");
      return ExitCode::Ok;
    }
    if (this->clock.Now() >= deadline) {
      return this->ReportTimeout(pending, aObject);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

ExitCode
FleetInspector::ReportTimeout(const std::vector<PendingDaemon>& aPending,
                              const StoredObject& aObject)
{
  if (aObject.revision > 0) {
    if (const auto end = this->CheckStoredEntry(aObject, true)) {
      return *end;
    }
  }
  std::ranges::for_each(aPending, [this](const PendingDaemon& aDaemon) {
    this->error(fmt::format(
      "{}: not yet in force: {}\n", aDaemon.address, aDaemon.lastObservation));
  });
  return ExitCode::TimedOut;
}

} // namespace lacewingwharf
