// What a destination daemon knows of the teams of calls.

#include "admission/admissionharness.h"
#include "execution/destinationcalls.h"

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

SnapshotPtr
CatalogueWithTeam(bool aHasTeam)
{
  AcceptedEntries entries = CatalogueWith({}, {})->Entries();
  if (aHasTeam) {
    Entry team;
    team.name = "team.tills";
    team.kind = EntryKind::Team;
    team.owner = "tills";
    team.team.keyDigests = { "digest" };
    AddEntry(entries, team);
  }
  return Snapshot::Build({ 2, 0, 0 }, std::move(entries)).value();
}

/** A destination daemon with one slot that records what it counts by team. */
struct TeamDestination
{
  explicit TeamDestination(bool aHasTeam)
  {
    DestinationCallsConfig config;
    config.host = "host-a";
    config.incarnation = 1;
    config.dialect.teamHeader = "Caller-Team";
    DestinationCallsHooks hooks;
    hooks.answer = [](SessionId, const wire::CallAnswer&) {};
    hooks.submit = [](const HttpExchange&) { return true; };
    hooks.cancel = [](const std::string&) {};
    hooks.isQuarantined = [](std::uint64_t) { return false; };
    hooks.serverLost = [](std::uint64_t) {};
    hooks.isListening = [](int) { return true; };
    hooks.teamSlotUsed = [this](const std::string& aTeam, double aMillis) {
      this->used[aTeam] += aMillis;
    };
    hooks.teamRefused = [this](const std::string& aTeam, RefusalReason) {
      ++this->refused[aTeam];
    };
    this->calls = std::make_unique<DestinationCalls>(
      config, this->clock.View(), std::move(hooks));
    this->calls->SetConfiguration(CatalogueWithTeam(aHasTeam),
                                  ViewOf({ { "host-a", 1 } }));
    this->calls->GetAdmission().SetEndpoint(
      kService, kPort, 1, 10, EndpointState::Ready);
  }

  /** Runs a call for 30 ms, and refuses another one beside it. */
  void RunAndRefuse(const std::map<std::string, std::string>& aHeaders)
  {
    this->Request("runs", aHeaders, 60000);
    this->Request("waits", aHeaders, 20);
    this->clock.Advance(30);
    this->calls->Tick();
    ExchangeResult result;
    result.id = "runs";
    result.end = ExchangeEnd::Answered;
    this->calls->HandleExchange(result);
  }

  void Request(const std::string& aId,
               const std::map<std::string, std::string>& aHeaders,
               Millis aRemaining)
  {
    wire::CallRequest request;
    request.headers = aHeaders;
    request.callId = aId;
    request.entry = "tills";
    request.serviceName = kService;
    request.port = kPort;
    request.method = "GET";
    request.target = "/orders";
    request.remainingMillis = aRemaining;
    request.idempotent = true;
    this->calls->HandleRequest(1, request);
  }

  ManualClock clock{ 1000 };
  std::map<std::string, double> used;
  std::map<std::string, int> refused;
  std::unique_ptr<DestinationCalls> calls;
};

} // namespace

// Slot time and refusals must be counted for the team of the call.
Test(destinationteams, calls_are_counted_for_their_team)
{
  TeamDestination destination(true);
  destination.RunAndRefuse({ { "Caller-Team", "tills" } });
  cr_expect_float_eq(destination.used["tills"], 30, 0.001);
  cr_expect_eq(destination.refused["tills"], 1);
}

// A caller must not leave the shares by sending the header of the team in
// another spelling, which the header of the entry daemon then has.
Test(destinationteams, the_spelling_of_the_header_does_not_matter)
{
  TeamDestination destination(true);
  destination.RunAndRefuse({ { "caller-TEAM", "tills" } });
  cr_expect_float_eq(destination.used["tills"], 30, 0.001);
  cr_expect_eq(destination.refused["tills"], 1);
}

// Without teams in the catalogue the header is the caller's own, and a name
// that the catalogue does not have may be one as well.
Test(destinationteams, names_that_the_catalogue_does_not_have_are_no_teams)
{
  TeamDestination without(false);
  without.RunAndRefuse({ { "Caller-Team", "tills" } });
  cr_expect(without.used.empty());
  cr_expect(without.refused.empty());
  TeamDestination with(true);
  with.RunAndRefuse({ { "Caller-Team", "unknown" } });
  with.RunAndRefuse({});
  cr_expect(with.used.empty());
  cr_expect(with.refused.empty());
}
