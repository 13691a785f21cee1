#include "execution/teamkeys.h"

#include "admission/admissionharness.h"
#include "common/sha256.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr Millis kMaxAge = 3000;
constexpr const char* kKeyOfTills = "K-tills";

Entry
MakeTeam(const std::string& aTeam, const std::string& aKey)
{
  Entry team;
  team.name = "team." + aTeam;
  team.kind = EntryKind::Team;
  team.owner = aTeam;
  team.team.keyDigests = { Sha256Hex(aKey) };
  return team;
}

/** The catalogue of the harness with these teams. */
SnapshotPtr
CatalogueWithTeams(const std::vector<Entry>& aTeams)
{
  AcceptedEntries entries = CatalogueWith({}, {})->Entries();
  for (const Entry& team : aTeams) {
    AddEntry(entries, team);
  }
  return Snapshot::Build({ 2, 0, 0 }, std::move(entries)).value();
}

/** The decision of one daemon, whose version was confirmed just now. */
struct Keys
{
  std::optional<Refusal> Check(const HttpHeaders& aHeaders)
  {
    this->call = EntryCall();
    this->call.snapshot = this->snapshot;
    this->call.entry = &this->route;
    this->call.http.headers = aHeaders;
    return this->keys.Check(this->call);
  }

  std::optional<Refusal> CheckKey(const std::string& aKey)
  {
    return this->Check({ { "Authorization", "Bearer " + aKey } });
  }

  /** The team of the last request, or an empty text. */
  std::string Team() const
  {
    return this->call.team == nullptr ? "" : this->call.team->owner;
  }

  ManualClock clock{ 100000 };
  SnapshotPtr snapshot = CatalogueWithTeams(
    { MakeTeam("tills", kKeyOfTills), MakeTeam("press", "K-press") });
  Entry route = *snapshot->MatchRoute(HttpMethod::Get, "/orders");
  TeamKeys keys{ clock.View(), kMaxAge };
  EntryCall call;

  Keys() { this->keys.SetConfirmedAt(this->clock.View().Now()); }
};

HttpHeaders
Replaced(HttpHeaders aHeaders, const Entry* aTeam)
{
  ReplaceTeamHeaders(aHeaders, aTeam, "Caller-Team");
  return aHeaders;
}

} // namespace

// A proper caller must not be refused for the spelling of its header.
Test(teamkeys, a_known_key_finds_its_team_in_every_spelling)
{
  Keys keys;
  for (const char* name : { "Authorization", "authorization" }) {
    for (const char* value : { "Bearer K-tills",
                               "bearer K-tills",
                               "BEARER K-tills",
                               "Bearer   K-tills",
                               "Bearer\tK-tills",
                               "  Bearer K-tills  " }) {
      cr_expect_not(keys.Check({ { name, value } }).has_value(), "%s", value);
      cr_expect_eq(keys.Team(), "tills", "%s", value);
    }
  }
  cr_expect_not(keys.CheckKey("K-press").has_value());
  cr_expect_eq(keys.Team(), "press");
}

// A request must not be let in by anything but a whole key of a team: not by
// its digest, a part of it, another scheme or a joined header.
Test(teamkeys, other_credentials_are_no_key)
{
  Keys keys;
  cr_expect(keys.Check({}).has_value());
  const std::string digest = Sha256Hex(kKeyOfTills);
  for (const std::string& value : { std::string("Bearer"),
                                    std::string("Bearer "),
                                    std::string(""),
                                    std::string("K-tills"),
                                    std::string("Basic K-tills"),
                                    std::string("BearerK-tills"),
                                    std::string("Bearers K-tills"),
                                    std::string("Bearer K-till"),
                                    std::string("Bearer k-tills"),
                                    std::string("Bearer K-tills x"),
                                    std::string("Bearer K-tills, Bearer x"),
                                    std::string("Basic x, Bearer K-tills"),
                                    "Bearer " + digest }) {
    const auto refusal = keys.Check({ { "Authorization", value } });
    cr_assert(refusal.has_value(), "%s", value.c_str());
    cr_expect_eq(refusal->reason, RefusalReason::UnknownKey);
    cr_expect_eq(keys.Team(), "");
  }
}

// An operator may put the digest of an empty text into an entry, for example by
// hashing an unset variable. It must not let in requests without a key.
Test(teamkeys, the_digest_of_an_empty_key_lets_nobody_in)
{
  Keys keys;
  keys.snapshot = CatalogueWithTeams({ MakeTeam("empty", "") });
  cr_expect(keys.Check({}).has_value());
  cr_expect(keys.CheckKey("").has_value());
  cr_expect(keys.Check({ { "Authorization", "Basic x" } }).has_value());
}

// Calls that a server makes while it runs a request carry no key, so an exempt
// route must not refuse them. A known key counts there as elsewhere.
Test(teamkeys, an_exempt_route_takes_every_request)
{
  Keys keys;
  keys.route.isKeyExempt = true;
  cr_expect_not(keys.Check({}).has_value());
  cr_expect_eq(keys.Team(), "");
  cr_expect_not(keys.CheckKey("unknown").has_value());
  cr_expect_eq(keys.Team(), "");
  cr_expect_not(keys.CheckKey(kKeyOfTills).has_value());
  cr_expect_eq(keys.Team(), "tills");
}

// A deployment without teams must not refuse anything.
Test(teamkeys, without_teams_no_key_is_needed)
{
  Keys keys;
  keys.snapshot = CatalogueWith({}, {});
  keys.keys.SetConfirmedAt(std::nullopt);
  cr_expect_not(keys.Check({}).has_value());
  cr_expect_not(keys.CheckKey(kKeyOfTills).has_value());
  cr_expect_eq(keys.Team(), "");
}

// A caller does not repeat a request after 401, so a daemon that may lack a
// newer version, which may have the key, must not answer with it.
Test(teamkeys, an_unknown_key_is_refused_for_good_only_with_a_current_version)
{
  Keys keys;
  const auto expect = [&keys](RefusalReason aReason, Millis aAge) {
    const auto refusal = keys.CheckKey("new");
    cr_assert(refusal.has_value());
    cr_expect_eq(refusal->reason, aReason, "age %ld", long(aAge));
    cr_expect_eq(refusal->seen, aAge);
    cr_expect_eq(refusal->bound, kMaxAge);
    cr_expect_eq(refusal->retryAfter > 0,
                 aReason == RefusalReason::UnconfirmedKey);
  };
  expect(RefusalReason::UnknownKey, 0);
  keys.clock.Advance(kMaxAge);
  expect(RefusalReason::UnknownKey, kMaxAge);
  keys.clock.Advance(1);
  expect(RefusalReason::UnconfirmedKey, kMaxAge + 1);
  // Keys that are known stay valid for a daemon that is cut off.
  keys.clock.Advance(3600000);
  cr_expect_not(keys.CheckKey(kKeyOfTills).has_value());
  keys.keys.SetConfirmedAt(keys.clock.View().Now());
  expect(RefusalReason::UnknownKey, 0);
  keys.keys.SetConfirmedAt(std::nullopt);
  expect(RefusalReason::UnconfirmedKey, -1);
}

// A key that was removed or moved must count with the version that says so, for
// a daemon that took decisions before.
Test(teamkeys, keys_change_with_the_version)
{
  Keys keys;
  const auto teamAfter = [&keys](const std::vector<Entry>& aTeams) {
    keys.snapshot = CatalogueWithTeams(aTeams);
    return keys.CheckKey("k").has_value() ? "refused" : keys.Team();
  };
  const Entry other = MakeTeam("other", "x");
  cr_expect_eq(teamAfter({ MakeTeam("a", "k"), other }), "a");
  cr_expect_eq(teamAfter({ MakeTeam("b", "k"), other }), "b");
  cr_expect_eq(teamAfter({ MakeTeam("a", "k"), other }), "a");
  cr_expect_eq(teamAfter({ other }), "refused");
  cr_expect_eq(teamAfter({ MakeTeam("a", "k"), other }), "a");
}

// A server must receive neither a key nor a team that the caller claims to be,
// whatever the spelling, and must still receive other credentials.
Test(teamkeys, headers_for_the_server_name_the_team_and_hold_no_key)
{
  const Entry team = MakeTeam("tills", "k");
  const HttpHeaders known = Replaced({ { "authorization", "bearer k" },
                                       { "caller-team", "forged" },
                                       { "A", "1" } },
                                     &team);
  cr_expect_eq(known.size(), 2U);
  cr_expect_eq(known.at("Caller-Team"), "tills");
  cr_expect_eq(known.at("A"), "1");
  cr_expect(Replaced({ { "CALLER-TEAM", "forged" } }, nullptr).empty());
  for (const char* value : { "Bearer k",
                             "Bearer",
                             "bearer\tk",
                             "Basic x, Bearer k",
                             "Basic x,bearer k",
                             "Bearer,Basic x" }) {
    cr_expect(
      Replaced({ { "Authorization", value } }, nullptr).empty(), "%s", value);
  }
  for (const char* value :
       { "Basic Bearer", "Digest user=\"Bearer k\"", "Bearers k", "" }) {
    cr_expect_eq(Replaced({ { "Authorization", value } }, nullptr).size(),
                 1U,
                 "%s",
                 value);
  }
}
