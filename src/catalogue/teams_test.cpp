// Team entries and key exemptions of the catalogue.

#include "catalogue/delta.h"
#include "common/sha256.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

const std::string kService =
  R"({"kind":"service","owner":"engraving","class":"interactive"})";

std::string
Team(const std::string& aTeam,
     const std::vector<std::string>& aKeys,
     const std::string& aMore = "")
{
  std::string digests;
  for (const std::string& key : aKeys) {
    digests += (digests.empty() ? "\"" : ",\"") + Sha256Hex(key) + '"';
  }
  return R"({"kind":"team","owner":")" + aTeam + R"(","keys":[)" + digests +
         "]" + aMore + "}";
}

std::string
Route(const std::string& aMore)
{
  return R"({"kind":"route","owner":"shop","class":"batch","service":"s",)"
         R"("match":{"path":"/a"})" +
         aMore + "}";
}

CatalogueResult<SnapshotPtr>
BuildFrom(std::vector<ChangedEntry> aEntries)
{
  auto delta =
    DeltaToEntries(*Snapshot::Empty(), { 1, 0, 0 }, std::move(aEntries));
  if (!delta) {
    return std::move(delta).assume_error();
  }
  return Apply(*Snapshot::Empty(), delta.assume_value());
}

std::string
ProblemOf(const std::string& aText)
{
  const auto entry = ParseEntry("e", aText);
  return entry ? "" : entry.assume_error().detail;
}

void
ExpectProblem(const std::string& aText, const std::string& aExpected)
{
  const std::string problem = ProblemOf(aText);
  cr_expect(problem.find(aExpected) != std::string::npos,
            "'%s' lacks '%s'",
            problem.c_str(),
            aExpected.c_str());
}

/** The team of a key, or an empty text. */
std::string
TeamOf(const Snapshot& aSnapshot, const std::string& aKey)
{
  const Entry* const team = aSnapshot.FindTeamByKey(Sha256Hex(aKey));
  return team == nullptr ? "" : team->owner;
}

} // namespace

// A rate must not be read as a burst, and a team without a class must not
// replace that of the route.
Test(teams, fields_are_read)
{
  const auto parsed = ParseEntry(
    "team.tills",
    Team("tills", { "k1", "k2" }, R"(,"rate":7,"burst":9,"class":"critical")"));
  cr_assert(parsed.has_value());
  const TeamPolicy& team = parsed.assume_value().team;
  cr_expect_eq(parsed.assume_value().kind, EntryKind::Team);
  cr_expect_eq(parsed.assume_value().owner, "tills");
  cr_expect_eq(team.keyDigests.size(), 2U);
  cr_expect_eq(team.ratePerSecond, 7);
  cr_expect_eq(team.burst, 9);
  cr_expect(team.workClass == WorkClass::Critical);
  const auto plain = ParseEntry("t", Team("t", {}));
  cr_assert(plain.has_value());
  const TeamPolicy none;
  cr_expect(plain.assume_value().team == none);
}

// An entry that would let callers in by mistake, or cap them at random, must be
// refused. The reason is stored and logged, so it must not repeat a plain key.
Test(teams, invalid_entries_are_refused_without_repeating_keys)
{
  ExpectProblem(R"({"kind":"team","owner":"t"})", "keys is missing");
  ExpectProblem(R"({"kind":"team","owner":"t","keys":"k"})", "must be a list");
  ExpectProblem(R"({"kind":"team","owner":"","keys":[]})", "owner");
  ExpectProblem(R"({"kind":"team","keys":[]})", "owner is missing");
  ExpectProblem(Team("t", {}, R"(,"rate":-1)"), "rate is -1");
  ExpectProblem(Team("t", {}, R"(,"burst":-5)"), "burst is -5");
  ExpectProblem(Team("t", {}, R"(,"rate":"7")"), "rate must be a whole number");
  ExpectProblem(Team("t", {}, R"(,"class":"urgent")"), "class must be");
  ExpectProblem(Team("t", {}, R"(,"limits":{})"),
                "the entry has an unknown field");
  ExpectProblem(Route(R"(,"key_exempt":"yes")"), "key_exempt must be true");
  ExpectProblem(
    R"({"kind":"service","owner":"o","class":"batch","key_exempt":true})",
    "key_exempt is not a known key");
  // A key may have been written where the name of a field belongs.
  for (const std::string& problem :
       { ProblemOf(Team("t", {}, R"(,"secret-key":1)")),
         ProblemOf(
           Team("t", {}, R"(,"change":{"id":"c","size":1,"secret-key":1})")),
         ProblemOf(Team("t", {}, R"(,"change":{"secret-key":1})")) }) {
    cr_expect(problem.find("has an unknown field") != std::string::npos,
              "%s",
              problem.c_str());
    cr_expect(problem.find("secret-key") == std::string::npos);
  }
  std::string capitals = Sha256Hex("k");
  std::ranges::transform(capitals, capitals.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::toupper(aLetter));
  });
  for (const std::string& key :
       { std::string("secret-key"), std::string(), capitals }) {
    const std::string problem =
      ProblemOf(R"({"kind":"team","owner":"t","keys":[")" + key + R"("]})");
    cr_expect(problem.find("SHA-256") != std::string::npos, "%s", key.c_str());
    cr_expect(key.empty() || problem.find(key) == std::string::npos);
  }
  ExpectProblem(R"({"kind":"team","owner":"t","keys":[5]})", "SHA-256");
}

// A catalogue without teams must need no keys, also if a route is exempt.
Test(teams, a_catalogue_without_teams_needs_no_keys)
{
  cr_expect_not(Snapshot::Empty()->RequiresKeys());
  const auto built = BuildFrom(
    { { "s", 1, kService }, { "r", 1, Route(R"(,"key_exempt":true)") } });
  cr_assert(built.has_value());
  const Snapshot& snapshot = *built.assume_value();
  cr_expect_not(snapshot.RequiresKeys());
  cr_expect(snapshot.Teams().empty());
  cr_expect(snapshot.MatchRoute(HttpMethod::Get, "/a")->isKeyExempt);
  cr_expect_null(snapshot.FindTeamByKey(Sha256Hex("k")));
}

// A service or another entry may have the name of a team, and a key must find
// its own team only.
Test(teams, keys_find_their_team)
{
  const auto built = BuildFrom({ { "s", 1, kService },
                                 { "r", 1, Route("") },
                                 { "team.b", 1, Team("b", { "k2", "k3" }) },
                                 { "team.s", 1, Team("s", { "k1" }) } });
  cr_assert(built.has_value());
  const Snapshot& snapshot = *built.assume_value();
  cr_expect(snapshot.RequiresKeys());
  cr_assert_eq(snapshot.Teams().size(), 2U);
  cr_expect_eq(snapshot.Teams().front()->owner, "b");
  cr_expect_eq(TeamOf(snapshot, "k1"), "s");
  cr_expect_eq(TeamOf(snapshot, "k2"), "b");
  cr_expect_eq(TeamOf(snapshot, "k3"), "b");
  cr_expect_eq(TeamOf(snapshot, "k4"), "");
  cr_expect_null(snapshot.FindTeamByKey("k1"), "a key is not its own digest");
  cr_expect_not(snapshot.MatchRoute(HttpMethod::Get, "/a")->isKeyExempt);
}

// With a key in two teams, the order of names would decide who pays for a call.
// The whole version is refused. A key that is listed twice is harmless.
Test(teams, a_key_in_two_teams_is_a_conflict)
{
  const auto built = BuildFrom({ { "team.a", 1, Team("a", { "k1", "k2" }) },
                                 { "team.b", 1, Team("b", { "k2" }) } });
  cr_assert_not(built.has_value());
  cr_expect_eq(built.assume_error().code, CatalogueErrorCode::DuplicateMatch);
  cr_expect_eq(built.assume_error().detail,
               "teams 'team.a' and 'team.b' have the same key");
  cr_expect(
    BuildFrom({ { "team.a", 1, Team("a", { "k1", "k1" }) } }).has_value());
}

// A key must work for its new team with the version that moves it, and for the
// old team again with the version that moves it back.
Test(teams, keys_move_with_versions)
{
  const auto versionOf = [](const Snapshot& aBase,
                            std::int64_t aVersion,
                            const std::string& aA,
                            const std::string& aB) {
    const auto delta = DeltaToEntries(aBase,
                                      { aVersion, 0, 0 },
                                      { { "team.a", 1, Team("a", { aA }) },
                                        { "team.b", 1, Team("b", { aB }) } });
    cr_assert(delta.has_value());
    return Apply(aBase, delta.assume_value()).assume_value();
  };
  const auto first = versionOf(*Snapshot::Empty(), 1, "k", "other");
  const auto moved = versionOf(*first, 2, "other", "k");
  const auto back = versionOf(*moved, 3, "k", "other");
  const auto removed = versionOf(*back, 4, "third", "other");
  cr_expect_eq(TeamOf(*first, "k"), "a");
  cr_expect_eq(TeamOf(*moved, "k"), "b");
  cr_expect_eq(TeamOf(*back, "k"), "a");
  cr_expect_eq(TeamOf(*removed, "k"), "");
}
