// Calls of teams at their entry daemon: what servers, other daemons and callers
// receive.

#include "common/log.h"
#include "common/sha256.h"
#include "execution/entryharness.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr Millis kRolloutTime = 3000;
constexpr const char* kKey = "K-secret";

EntryCallsConfig
TeamConfig(bool aIsSite)
{
  EntryCallsConfig config;
  config.host = "host-a";
  config.incarnation = 1;
  config.rolloutTime = kRolloutTime;
  if (aIsSite) {
    config.dialect.teamHeader = "Caller-Team";
    config.dialect.addsOwnHeaders = false;
    config.dialect.allowsFractionalRetryAfter = true;
    config.dialect.statusGuaranteesNotRun = true;
  }
  return config;
}

/** The catalogue of the harness with one team, whose class is "critical". */
SnapshotPtr
TeamCatalogue(bool aIsExempt)
{
  Limits limits;
  limits.deadline = kDeadline;
  limits.bodyBytes = 10;
  AcceptedEntries entries = CatalogueWith(limits, {})->Entries();
  Entry route = entries.at("tills")->entry;
  route.isKeyExempt = aIsExempt;
  route.workClass = WorkClass::Batch;
  AddEntry(entries, route);
  Entry team;
  team.name = "team.tills";
  team.kind = EntryKind::Team;
  team.owner = "tills";
  team.team.keyDigests = { Sha256Hex(kKey) };
  team.team.workClass = WorkClass::Critical;
  AddEntry(entries, team);
  return Snapshot::Build({ 2, 0, 0 }, std::move(entries)).value();
}

/** An entry daemon with teams, whose version was confirmed just now. */
struct TeamDaemon : EntryHarness
{
  explicit TeamDaemon(bool aIsExempt = false, bool aIsSite = true)
    : EntryHarness(TeamConfig(aIsSite), 3, kDeadline)
  {
    Log::SetLevel(LogLevel::Error);
    this->calls->SetSnapshot(TeamCatalogue(aIsExempt));
    this->calls->SetVersionConfirmed(this->clock.View().Now());
  }

  /** Begins a call with these headers. Returns whether it was sent. */
  bool IsSent(const HttpHeaders& aHeaders)
  {
    const std::size_t before = this->sent.size();
    this->Begin(++this->request, "GET", aHeaders);
    return this->sent.size() > before;
  }

  /** The headers of the last request that was sent. */
  HttpHeaders LastHeaders() const
  {
    const auto& headers = this->LastRequest().headers;
    return { headers.begin(), headers.end() };
  }

  const HttpAnswer& LastAnswer() { return this->answers[this->request]; }

  RequestId request = 0;
};

HttpHeaders
WithKey(const std::string& aKey)
{
  return { { "Authorization", "Bearer " + aKey }, { "Caller-Team", "forged" } };
}

} // namespace

// The server must know which team sent the request, and must not get its key.
// Neither must the destination daemon, whose messages hold nothing else of it.
Test(teamcalls, a_known_key_becomes_the_name_of_its_team)
{
  TeamDaemon daemon;
  cr_assert(daemon.IsSent(WithKey(kKey)));
  cr_expect_eq(daemon.LastHeaders().at("Caller-Team"), "tills");
  cr_expect_eq(daemon.LastHeaders().count("Authorization"), 0U);
  cr_expect_eq(daemon.LastRequest().workClass,
               static_cast<int>(WorkClass::Critical));
  for (const auto& [name, value] : daemon.LastRequest().headers) {
    cr_expect(value.find(kKey) == std::string::npos, "%s", name.c_str());
  }
}

// Calls that servers make carry no key. Their routes are exempt, no caller can
// claim to be a team there, and they must not wait behind calls that a team's
// class has raised: the requests that need them would have run in vain.
Test(teamcalls, an_exempt_route_needs_no_key)
{
  TeamDaemon daemon(true);
  for (const HttpHeaders& headers :
       { HttpHeaders(),
         HttpHeaders{ { "caller-team", "forged" } },
         WithKey("unknown") }) {
    cr_assert(daemon.IsSent(headers));
    cr_expect_eq(daemon.LastHeaders().count("Caller-Team"), 0U);
    cr_expect_eq(daemon.LastHeaders().count("Authorization"), 0U);
    cr_expect_eq(daemon.LastRequest().workClass,
                 static_cast<int>(WorkClass::Critical));
  }
  cr_assert(daemon.IsSent(WithKey(kKey)));
  cr_expect_eq(daemon.LastHeaders().at("Caller-Team"), "tills");
  cr_expect_eq(daemon.LastRequest().workClass,
               static_cast<int>(WorkClass::Critical));
}

// Other credentials belong to the server and must reach it.
Test(teamcalls, other_credentials_are_forwarded)
{
  TeamDaemon daemon(true);
  cr_assert(daemon.IsSent({ { "Authorization", "Basic eDp5" } }));
  cr_expect_eq(daemon.LastHeaders().at("Authorization"), "Basic eDp5");
}

// Callers do not repeat a request after 401, and may do so after 503. Nothing
// may be sent in either case.
Test(teamcalls, unknown_keys_get_401_or_503)
{
  TeamDaemon daemon;
  for (const HttpHeaders& headers : { HttpHeaders(), WithKey("unknown") }) {
    cr_expect_not(daemon.IsSent(headers));
    cr_expect_eq(daemon.LastAnswer().status, 401);
    cr_expect_eq(daemon.LastAnswer().headers.count("Retry-After"), 0U);
    cr_expect_eq(daemon.LastAnswer().headers.at("WWW-Authenticate"), "Bearer");
  }
  daemon.Wait(kRolloutTime + 1);
  cr_expect_not(daemon.IsSent(WithKey("unknown")));
  cr_expect_eq(daemon.LastAnswer().status, 503);
  cr_expect_eq(daemon.LastAnswer().headers.at("Retry-After"), "0.375");
  cr_expect_eq(daemon.LastAnswer().headers.count("WWW-Authenticate"), 0U);
  // The keys that the daemon knows stay valid.
  cr_expect(daemon.IsSent(WithKey(kKey)));
  cr_expect_eq(daemon.LastHeaders().at("Caller-Team"), "tills");
}

// The route is looked up first, and the key is checked before anything else of
// the request, whose sender is unknown.
Test(teamcalls, a_missing_route_is_reported_first_and_a_long_body_later)
{
  TeamDaemon daemon;
  HttpRequest http;
  http.method = "GET";
  http.path = "/missing";
  http.target = http.path;
  daemon.calls->Begin(1, http);
  cr_expect_eq(daemon.answers[1].status, 404);
  http.path = "/orders";
  http.body = std::string(11, 'b');
  daemon.calls->Begin(2, http);
  cr_expect_eq(daemon.answers[2].status, 401);
  http.headers = WithKey(kKey);
  daemon.calls->Begin(3, http);
  cr_expect_eq(daemon.answers[3].status, 413);
  cr_expect(daemon.sent.empty());
}

// The product's own interface has the same rules under its own header name.
Test(teamcalls, the_own_interface_names_the_team)
{
  TeamDaemon daemon(false, false);
  cr_assert(daemon.IsSent({ { "Authorization", "Bearer K-secret" },
                            { "lacewingwharf-team", "forged" },
                            { "Caller-Team", "of the server" } }));
  cr_expect_eq(daemon.LastHeaders().at(kTeamHeader), "tills");
  cr_expect_eq(daemon.LastHeaders().at("Caller-Team"), "of the server");
  daemon.calls->SetVersionConfirmed(std::nullopt);
  cr_expect_not(daemon.IsSent({}));
  cr_expect_eq(daemon.LastAnswer().status, 503);
  cr_expect_eq(daemon.LastAnswer().headers.at("Retry-After"), "1");
  cr_expect_eq(daemon.LastAnswer().headers.at(kReasonHeader),
               "unknown-key-unconfirmed");
}

// A deployment without teams must be served as before: the headers are those
// of the server and its callers.
Test(teamcalls, without_teams_headers_pass_through)
{
  TeamDaemon daemon;
  daemon.calls->SetSnapshot(CatalogueWith({}, {}));
  daemon.calls->SetVersionConfirmed(std::nullopt);
  cr_assert(daemon.IsSent(WithKey("any")));
  cr_expect_eq(daemon.LastHeaders().at("Caller-Team"), "forged");
  cr_expect_eq(daemon.LastHeaders().at("Authorization"), "Bearer any");
  cr_expect(daemon.IsSent({}));
}

// A refusal must be explained by the log without any part of the key.
Test(teamcalls, the_log_explains_a_refusal_without_the_key)
{
  std::FILE* const file = std::tmpfile();
  cr_assert_not_null(file);
  TeamDaemon daemon;
  Log::SetOutput(fileno(file));
  Log::SetLevel(LogLevel::Debug);
  daemon.IsSent(WithKey("K-unknown"));
  daemon.clock.Advance(kRolloutTime + 5);
  daemon.IsSent(WithKey("K-unknown"));
  daemon.IsSent(WithKey(kKey));
  Log::Flush();
  std::rewind(file);
  std::string text(1U << 16U, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), file));
  for (const char* expected :
       { "version=2 outcome=not-run status=401 reason=unknown-key bound=3000 "
         "seen=0",
         "status=503 reason=unknown-key-unconfirmed bound=3000 seen=3005",
         "class=critical" }) {
    cr_expect(text.find(expected) != std::string::npos,
              "no '%s' in %s",
              expected,
              text.c_str());
  }
  for (const char* secret : { "K-unknown", "K-secret", "Bearer" }) {
    cr_expect(text.find(secret) == std::string::npos, "%s", text.c_str());
  }
  cr_expect(text.find(Sha256Hex("K-unknown")) == std::string::npos);
  std::fclose(file);
}
