#include "daemon/controlservice.h"

#include "common/hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

/** Returns the name of a Thrift enum value in lower case. */
template<typename State>
std::string
NameOf(State aState)
{
  std::string name = wire::to_string(aState);
  std::ranges::transform(name, name.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return name;
}

} // namespace

Millis
ControlService::LastPlatformAnswerTime() const
{
  return std::max(this->acceptedWatch.LastAnswerTime(),
                  this->catalogueWatch.LastAnswerTime());
}

ControlService::Json
ControlService::State()
{
  Json state = Json::object();
  this->loop.Run([this, &state] {
    const SnapshotPtr& held = this->distributor.HeldSnapshot();
    const Millis lastAnswerAt = this->LastPlatformAnswerTime();
    state = {
      { "host", this->settings.host },
      { "region", this->settings.region },
      { "domain", this->settings.domain },
      { "incarnation", this->membership.Self().incarnation },
      { "storeEra", this->storeEra->Highest().value_or(0) },
      { "version", held->Version() },
      { "contentHash", held->ContentHash() },
      { "ready", this->distributor.IsReady() },
      { "feeder", this->distributor.IsRelay() },
      { "feederSubstitute", this->distributor.IsRelaySubstitute() },
      { "acceptor", this->distributor.IsAcceptor() },
      { "members", this->membership.LiveHosts(this->settings.domain).size() },
      { "platformAgeMs",
        lastAnswerAt == 0 ? Json() : Json(this->clock.Now() - lastAnswerAt) }
    };
    if (this->rollouts) {
      state["rollouts"] = this->rollouts->State();
    }
  });
  return state;
}

ControlService::Json
ControlService::Members()
{
  Json rows = Json::array();
  this->loop.Run([this, &rows] {
    this->membership.Table().ForEach(
      [&rows](const wire::MemberRecord& aRecord) {
        Json endpoints = Json::array();
        std::ranges::transform(
          aRecord.endpoints,
          std::back_inserter(endpoints),
          [](const wire::Endpoint& aEndpoint) {
            return Json{ { "service", aEndpoint.serviceName },
                         { "port", aEndpoint.port },
                         { "slots", aEndpoint.slots },
                         { "state", NameOf(aEndpoint.state) } };
          });
        rows.push_back({ { "host", aRecord.host },
                         { "domain", aRecord.domain },
                         { "incarnation", aRecord.incarnation },
                         { "sequence", aRecord.sequence },
                         { "state", NameOf(aRecord.state) },
                         { "endpoints", std::move(endpoints) } });
      });
  });
  return rows;
}

ControlService::Json
ControlService::EntryState(const std::string& aName)
{
  Json state;
  this->loop.Run([this, &aName, &state] {
    const SnapshotPtr& held = this->distributor.HeldSnapshot();
    const AcceptedEntry* const accepted = held->Find(aName);
    if (accepted != nullptr && this->distributor.IsReady()) {
      state = { { "name", aName },
                { "revision", accepted->revision },
                { "textHash", Hash64(accepted->text) },
                { "version", held->Version() } };
    }
  });
  return state;
}

void
ControlService::PublishMetrics()
{
  if (this->clock.Now() < this->metricsDueAt) {
    return;
  }
  constexpr Millis kInterval = 1000;
  this->metricsDueAt = this->clock.Now() + kInterval;
  const auto set = [this](const char* aName, const char* aHelp, double aValue) {
    this->metrics.Gauge(aName, aHelp)->Set(aValue);
  };
  set("lacewingwharf_version",
      "Accepted version that this daemon holds",
      static_cast<double>(this->distributor.HeldSnapshot()->Version()));
  set("lacewingwharf_divergent_peers",
      "Peers with other content under the version that this daemon holds",
      static_cast<double>(this->distributor.DivergentPeerCount()));
  set("lacewingwharf_members",
      "Live members of the failure domain",
      static_cast<double>(
        this->membership.LiveHosts(this->settings.domain).size()));
  set("lacewingwharf_claim_writes",
      "Writes of claim shards by this daemon",
      static_cast<double>(this->claimWriter.Writes()));
  set("lacewingwharf_control_overflows",
      "Items that the control thread's ring rejected",
      static_cast<double>(this->loop.Overflows()));
  if (const Millis lastAnswerAt = this->LastPlatformAnswerTime();
      lastAnswerAt > 0) {
    set("lacewingwharf_platform_age_ms",
        "Time since the platform last answered a watch, in milliseconds",
        static_cast<double>(this->clock.Now() - lastAnswerAt));
  }
  if (const auto era = this->storeEra->Highest()) {
    set("lacewingwharf_store_era",
        "Highest era of the store that this daemon knows",
        static_cast<double>(*era));
    set("lacewingwharf_store_rises",
        "Restores of the store that this daemon has noticed",
        static_cast<double>(this->storeEra->Rises()));
  }
  if (this->distributor.HeldSnapshot()->RequiresKeys()) {
    constexpr Millis kNeverConfirmed = -1;
    const auto confirmedAt = this->distributor.ConfirmedAt();
    set("lacewingwharf_version_confirmed_age_ms",
        "Age of the last evidence that no newer version exists, in "
        "milliseconds; -1 without evidence",
        static_cast<double>(confirmedAt ? this->clock.Now() - *confirmedAt
                                        : kNeverConfirmed));
  }
  if (this->rollouts) {
    this->rollouts->SetMetrics(this->metrics);
  }
  const auto addCalls = [this](const CallCounts& aCounts, const char* aSource) {
    std::ranges::for_each(kCallKindNames.Rows(), [&](const auto& aRow) {
      this->metrics
        .Gauge("lacewingwharf_platform_calls",
               "Calls to the platform by kind and thread",
               { { "kind", std::string(aRow.second) }, { "thread", aSource } })
        ->Set(static_cast<double>(aCounts.Calls(aRow.first)));
    });
  };
  addCalls(this->platform.Counts(), "platform");
  addCalls(this->claimPlatform.Counts(), "claims");
  addCalls(this->acceptedWatch.Counts(), "accepted-watch");
  addCalls(this->catalogueWatch.Counts(), "catalogue-watch");
}

} // namespace lacewingwharf
