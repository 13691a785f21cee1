#include "catalogue/reviewharness.h"

#include <algorithm>
#include <random>
#include <set>

using namespace lacewingwharf;
using namespace lacewingwharf::reviewtest;

namespace {

/** Returns the warnings about a route with these limits, with others beside. */
Lines
WarningsOfLimits(const std::string& aLimits,
                 std::vector<ChangedEntry> aOthers = {})
{
  aOthers.push_back(Service("orders"));
  aOthers.push_back(Route(
    "a",
    fmt::format(R"("service":"orders","match":{{"path":"/a"}},"limits":{{{}}})",
                aLimits)));
  return WarningsOf(aOthers);
}

} // namespace

// A service that no route names gets no calls. Most often its route is missing
// or names another service.
Test(cataloguereview, services_without_a_route_are_found)
{
  const std::vector<ChangedEntry> entries = {
    Service("orders"),
    Service("fonts"),
    Service("preview"),
    Service("unused"),
    Route("a", R"("service":"orders","match":{"path":"/a"})"),
    // A share of 0 prepares a service for calls, so it is named.
    Route("b",
          R"("split":[{"service":"fonts","weight":1},)"
          R"({"service":"preview","weight":0}],"match":{"path":"/b"})"),
  };
  cr_expect(WarningsOf(entries) == Lines({ "unused service-without-route" }));
}

// Limits of an owner have no effect if its name is spelled differently in the
// routes.
Test(cataloguereview, limits_of_owners_without_routes_are_found)
{
  const std::vector<ChangedEntry> entries = {
    Service("orders"),
    Route("a", R"("service":"orders","match":{"path":"/a"})"),
    { "limit-1", 1, R"({"kind":"owner","owner":"shop","limits":{"rate":5}})" },
    { "limit-2", 1, R"({"kind":"owner","owner":"shops","limits":{"rate":5}})" },
  };
  cr_expect(WarningsOf(entries) == Lines({ "limit-2 owner-without-routes" }));
}

// No caller can be of a team that has no keys.
Test(cataloguereview, teams_without_keys_are_found)
{
  const std::vector<ChangedEntry> entries = {
    { "acme", 1, R"({"kind":"team","owner":"acme","keys":[]})" },
    { "beta", 1, Team(Digest(1), "") },
  };
  cr_expect(WarningsOf(entries) == Lines({ "acme team-without-keys" }));
}

// A route is compared with the whole Host header, so a URL or spaces in its
// place match nothing. Ports, addresses and capitals are possible.
Test(cataloguereview, hosts_that_no_request_has_are_found)
{
  const auto warningsFor = [](const std::string& aHost) {
    return WarningsOf(
      { Service("orders"),
        Route("a",
              fmt::format(R"("service":"orders",)"
                          R"("match":{{"host":"{}","prefix":"/a/"}})",
                          aHost)) });
  };
  for (const char* host : { "https://a.example",
                            "a.example/",
                            " a.example",
                            "a.example ",
                            "a b",
                            "a,b.exa\\nmple",
                            "caf\xc3\xa9.example" }) {
    cr_expect(warningsFor(host) == Lines({ "a impossible-host" }), "%s", host);
  }
  for (const char* host : { "",
                            "a.example",
                            "A.example:8080",
                            "127.0.0.1:80",
                            "[::1]:80",
                            "x_1.internal" }) {
    cr_expect(warningsFor(host).empty(), "%s", host);
  }
}

// There is no warning about routes that are hidden by others. If a valid
// catalogue could have such a route, this test would find it: it asks for the
// path of each route in random catalogues that are dense in conflicts.
Test(cataloguereview, every_route_of_a_valid_catalogue_matches_some_request)
{
  constexpr int kCatalogues = 3000;
  constexpr int kMinValid = 300;
  std::mt19937 random(17);
  const auto pick = [&random](const std::vector<std::string>& aTexts) {
    return aTexts[random() % aTexts.size()];
  };
  int validCount = 0;
  for (int round = 0; round < kCatalogues; ++round) {
    std::vector<ChangedEntry> entries = { Service("orders") };
    for (int route = 0; route < 6; ++route) {
      const std::string path = pick({ R"("path":"/")",
                                      R"("path":"/a")",
                                      R"("path":"/a/b")",
                                      R"("prefix":"/")",
                                      R"("prefix":"/a/")",
                                      R"("prefix":"/a//")",
                                      R"("prefix":"/a/b/")" });
      const std::string host =
        pick({ "", R"(,"host":"a.example")", R"(,"host":"b.example")" });
      const std::string methods = pick({ "",
                                         R"(,"methods":["GET"])",
                                         R"(,"methods":["POST","PUT"])",
                                         R"(,"methods":["GET","PATCH"])" });
      entries.push_back(Route(
        fmt::format("r{}", route),
        fmt::format(
          R"("service":"orders","match":{{{}{}{}}})", path, host, methods)));
    }
    const CatalogueCheck check = CheckCatalogue({}, entries);
    if (!check.snapshot) {
      continue;
    }
    ++validCount;
    for (const auto& [name, accepted] : check.snapshot->Entries()) {
      const Entry& entry = accepted->entry;
      if (entry.kind != EntryKind::Route) {
        continue;
      }
      const RouteMatch& match = entry.match;
      const std::string path =
        match.prefix.empty() ? match.path : match.prefix + "segment";
      const HttpMethod method =
        match.methods.empty() ? HttpMethod::Delete : match.methods.front();
      cr_assert_eq(check.snapshot->MatchRoute(method, path, match.host),
                   &entry);
    }
  }
  cr_expect_geq(validCount, kMinValid, "%d valid", validCount);
}

// A call ends at its deadline, so a target above it can't be reached. The
// deadline of the default counts, because it applies.
Test(cataloguereview, targets_above_the_deadline_are_found)
{
  const Lines expected = { "a target-above-deadline" };
  cr_expect(WarningsOfLimits(R"("target_ms":300,"deadline_ms":299)") ==
            expected);
  cr_expect(WarningsOfLimits(R"("target_ms":5001)") == expected);
  cr_expect(WarningsOfLimits(R"("target_ms":300,"deadline_ms":300)").empty());
  cr_expect(WarningsOfLimits(R"("target_ms":5000)").empty());
}

// A call can't wait longer than its deadline. A short deadline beside the
// default of the wait is no contradiction.
Test(cataloguereview, waits_above_the_deadline_are_found)
{
  cr_expect(WarningsOfLimits(R"("queue_ms":500,"deadline_ms":499)") ==
            Lines({ "a queue-above-deadline" }));
  cr_expect(WarningsOfLimits(R"("deadline_ms":499)").empty());
  cr_expect(WarningsOfLimits(R"("queue_ms":500,"deadline_ms":500)").empty());
}

// Retries above the number of attempts that daemons make, or above what fits in
// the deadline at 1 ms each, never happen.
Test(cataloguereview, retries_that_never_happen_are_found)
{
  cr_expect(WarningsOfLimits(R"("retries":5)") ==
            Lines({ "a retries-above-attempts" }));
  cr_expect(WarningsOfLimits(R"("retries":4)").empty());
  cr_expect(WarningsOfLimits(R"("retries":3,"deadline_ms":3)") ==
            Lines({ "a retries-above-deadline" }));
  cr_expect(WarningsOfLimits(R"("retries":3,"deadline_ms":4)").empty());
  cr_expect(WarningsOfLimits(R"("deadline_ms":1)").empty());
  // Attempts that a call does not make need no time.
  cr_expect(WarningsOfLimits(R"("retries":10,"deadline_ms":5)") ==
            Lines({ "a retries-above-attempts" }));
  cr_expect(WarningsOfLimits(R"("retries":10,"deadline_ms":4)") ==
            Lines({ "a retries-above-attempts", "a retries-above-deadline" }));
}

// The listener refuses larger bodies before their route is known. Routes that
// leave the limit to the listener, by a default or by the highest value, as
// those of documents, contradict nothing.
Test(cataloguereview, bodies_above_the_listener_are_found)
{
  const auto warnings = [](const char* aLimits, const char* aListener) {
    return WarningsOfLimits(
      aLimits,
      { { "callers",
          1,
          fmt::format(R"({{"kind":"listener","owner":"x","limits":{{{}}}}})",
                      aListener) } });
  };
  const char* const listener = R"("body_bytes":65536)";
  cr_expect(warnings(R"("body_bytes":65537)", listener) ==
            Lines({ "a body-above-listener" }));
  cr_expect(warnings(R"("body_bytes":65536)", listener).empty());
  cr_expect(warnings(R"("body_bytes":7340032)", listener).empty());
  cr_expect(warnings(R"("body_bytes":0)", listener).empty());
  cr_expect(warnings(R"("rate":1)", listener).empty());
  cr_expect(warnings(R"("body_bytes":65537)", R"("body_bytes":0)").empty());
}

// The limit of a route above that of its owner never applies. The sum of the
// routes may be above it, and a limit of 0 is none.
Test(cataloguereview, limits_above_those_of_the_owner_are_found)
{
  const auto warnings = [](const char* aLimits, const char* aOwner) {
    return WarningsOfLimits(
      aLimits,
      { { "limits",
          1,
          fmt::format(R"({{"kind":"owner","owner":"shop","limits":{{{}}}}})",
                      aOwner) },
        Route("b",
              R"("service":"orders","match":{"path":"/b"},)"
              R"("limits":{"rate":50,"concurrency":10})") });
  };
  const char* const owner = R"("rate":50,"concurrency":10)";
  cr_expect(warnings(R"("rate":51)", owner) == Lines({ "a rate-above-owner" }));
  cr_expect(warnings(R"("concurrency":11)", owner) ==
            Lines({ "a concurrency-above-owner" }));
  cr_expect(warnings(R"("rate":50,"concurrency":10)", owner).empty());
  cr_expect(warnings(R"("rate":0)", owner).empty());
  cr_expect(warnings(R"("rate":51,"concurrency":11)", "").empty());
}

// The text must say what the limits do: a target above the deadline can't be
// reached, because the call has ended by then, and the limits of owners hold
// over the whole fleet.
Test(cataloguereview, texts_say_how_limits_apply)
{
  const auto findings = FindingsOf(
    { Service("orders"),
      { "limits",
        1,
        R"({"kind":"owner","owner":"shop","limits":{"rate":5,"concurrency":3}})" },
      Route(
        "a",
        R"("service":"orders","match":{"path":"/a"},"limits":)"
        R"({"target_ms":300,"deadline_ms":200,"rate":6,"concurrency":4})") });
  Lines found;
  std::ranges::transform(findings, std::back_inserter(found), &Finding::detail);
  const Lines expected = {
    "the target of 300 ms cannot be reached, because the deadline is 200 ms",
    "the concurrency of 4 is above 3, the limit of the owner 'shop' over the "
    "whole fleet in entry 'limits'",
    "the rate of 6 is above 5, the limit of the owner 'shop' over the whole "
    "fleet in entry 'limits'",
  };
  cr_expect(
    found == expected, "%s", fmt::format("{}", fmt::join(found, "\n")).c_str());
}

// Two weights for one service in a split are most often a wrong name.
Test(cataloguereview, splits_that_repeat_a_service_are_found)
{
  const auto warnings = [](const char* aOther) {
    return WarningsOf(
      { Service("orders"),
        Service("fonts"),
        Route("a",
              fmt::format(R"("split":[{{"service":"orders","weight":1}},)"
                          R"({{"service":"{}","weight":1}},)"
                          R"({{"service":"fonts","weight":0}}],)"
                          R"("match":{{"path":"/a"}})",
                          aOther)) });
  };
  cr_expect(warnings("orders") == Lines({ "a split-repeats-service" }));
  cr_expect(warnings("fonts") == Lines({ "a split-repeats-service" }));
}

// The weights of a service that a split repeats add up; an operator who takes
// one of them for the whole would change a split that is correct.
Test(cataloguereview, the_weights_of_a_repeated_service_are_added)
{
  const auto findings =
    FindingsOf({ Service("orders"),
                 Service("fonts"),
                 Route("a",
                       R"("split":[{"service":"orders","weight":1},)"
                       R"({"service":"fonts","weight":5},)"
                       R"({"service":"orders","weight":2}],)"
                       R"("match":{"path":"/a"})") });
  cr_assert_eq(findings.size(), 1U);
  cr_expect_eq(findings[0].detail,
               "the split names the service 'orders' several times; its "
               "weights add up to 3",
               "%s",
               findings[0].detail.c_str());
}

// Without a rate there is no cap, whatever the burst.
Test(cataloguereview, bursts_without_a_rate_are_found)
{
  const auto warnings = [](const char* aFields) {
    return WarningsOf({ { "acme", 1, Team(Digest(1), aFields) } });
  };
  cr_expect(warnings(R"(,"burst":5)") == Lines({ "acme burst-without-rate" }));
  cr_expect(warnings(R"(,"burst":5,"rate":0)") ==
            Lines({ "acme burst-without-rate" }));
  cr_expect(warnings(R"(,"burst":5,"rate":1)").empty());
  cr_expect(warnings(R"(,"burst":0)").empty());
}

// A warning about a correct catalogue would make operators ignore all of them.
Test(cataloguereview, a_large_correct_catalogue_gives_nothing)
{
  const std::vector<ChangedEntry> entries = LargeCatalogue();
  cr_expect_gt(entries.size(), 10000U);
  const Lines found = WarningsOf(entries);
  cr_expect(found.empty(), "%s", found.empty() ? "" : found.front().c_str());
}
