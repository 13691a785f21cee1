#include "catalogue/cataloguedifferences.h"
#include "catalogue/reviewharness.h"

using namespace lacewingwharf;
using namespace lacewingwharf::reviewtest;

namespace {

SnapshotPtr
SnapshotOf(const std::vector<ChangedEntry>& aEntries)
{
  SnapshotPtr snapshot = CheckCatalogue({}, aEntries).snapshot;
  cr_assert(snapshot != nullptr);
  return snapshot;
}

std::vector<EntryDifference>
DifferencesOf(const std::vector<ChangedEntry>& aFrom,
              const std::vector<ChangedEntry>& aTo)
{
  return FindDifferences(*SnapshotOf(aFrom), *SnapshotOf(aTo));
}

/** Returns the field differences of two texts of the same entry. */
std::vector<FieldDifference>
FieldsBetween(const std::string& aFrom, const std::string& aTo)
{
  const std::vector<ChangedEntry> services = { Service("orders"),
                                               Service("fonts") };
  auto from = services;
  auto to = services;
  from.push_back({ "a", 1, aFrom });
  to.push_back({ "a", 1, aTo });
  const auto differences = DifferencesOf(from, to);
  if (differences.empty()) {
    return {};
  }
  cr_assert_eq(differences.size(), 1U);
  cr_expect_eq(differences[0].change, EntryChange::Changed);
  return differences[0].fields;
}

using Fields = std::vector<FieldDifference>;

} // namespace

// Added, removed and changed entries must be told apart, in the order of names.
Test(cataloguedifferences, entries_are_added_removed_and_changed)
{
  const auto differences =
    DifferencesOf({ Service("a"),
                    Service("c"),
                    Route("r", R"("service":"a","match":{"path":"/a"})") },
                  { Service("a"),
                    Service("b"),
                    Route("r", R"("service":"b","match":{"path":"/a"})") });
  cr_assert_eq(differences.size(), 3U);
  cr_expect_eq(differences[0].entry, "b");
  cr_expect_eq(differences[0].change, EntryChange::Added);
  cr_expect_eq(differences[1].entry, "c");
  cr_expect_eq(differences[1].change, EntryChange::Removed);
  cr_expect_eq(differences[2].entry, "r");
  cr_expect_eq(differences[2].kind, EntryKind::Route);
  cr_expect_eq(differences[2].change, EntryChange::Changed);
  cr_expect(differences[2].fields == Fields({ { "service", "a", "b" } }));
}

// The layout of a text, defaults that it spells out, the order of methods and
// keys, and change sets change nothing for calls.
Test(cataloguedifferences, what_means_the_same_is_no_difference)
{
  const std::string route = Route("a",
                                  R"("service":"orders","match":{"path":"/a",)"
                                  R"("methods":["GET","PUT"]})")
                              .text;
  const std::string same =
    R"({ "match": {"methods": ["PUT", "GET"], "path": "/a"},
         "change": {"id": "c", "size": 1}, "class": "interactive",
         "key_exempt": false, "service": "orders", "owner": "shop",
         "limits": {"retries": 1, "deadline_ms": 5000}, "kind": "route" })";
  cr_expect(FieldsBetween(route, same).empty());
  const auto team = [](int aFirst, int aSecond) {
    return fmt::format(R"({{"kind":"team","owner":"acme","keys":["{}","{}"]}})",
                       Digest(aFirst),
                       Digest(aSecond));
  };
  cr_expect(FieldsBetween(team(1, 2), team(2, 1)).empty());
  const auto large = LargeCatalogue();
  cr_expect(DifferencesOf(large, large).empty());
}

// Every field that daemons use must be compared, or a review would hide the
// change of it.
Test(cataloguedifferences, every_field_of_an_entry_is_compared)
{
  const std::string head = R"({"kind":"route","owner":"shop","class":"batch",)";
  const auto of = [&head](const std::string& aFields) {
    return FieldsBetween(head + R"("service":"orders","match":{"path":"/a"}})",
                         head + aFields + "}");
  };
  const std::string same = R"("service":"orders","match":{"path":"/a"})";
  cr_expect(of(R"("service":"fonts","match":{"path":"/a"})") ==
            Fields({ { "service", "orders", "fonts" } }));
  cr_expect(of(R"("service":"orders","match":{"path":"/b"})") ==
            Fields({ { "match.path", "/a", "/b" } }));
  cr_expect(
    of(R"("service":"orders","match":{"prefix":"/a/"})") ==
    Fields({ { "match.path", "/a", "" }, { "match.prefix", "", "/a/" } }));
  cr_expect(of(R"("service":"orders","match":{"path":"/a","host":"h"})") ==
            Fields({ { "match.host", "", "h" } }));
  cr_expect(
    of(R"("service":"orders","match":{"path":"/a","methods":["PUT"]})") ==
    Fields({ { "match.methods", "all", "PUT" } }));
  cr_expect(of(R"("split":[{"service":"orders","weight":1},)"
               R"({"service":"fonts","weight":2}],"match":{"path":"/a"})") ==
            Fields({ { "service", "orders", "" },
                     { "split", "", "orders:1 fonts:2" } }));
  cr_expect(of(same + R"(,"idempotent":false)") ==
            Fields({ { "idempotent", "by method", "false" } }));
  cr_expect(of(same + R"(,"key_exempt":true)") ==
            Fields({ { "key_exempt", "false", "true" } }));
  cr_expect(of(same + R"(,"large_answers":true)") ==
            Fields({ { "large_answers", "false", "true" } }));
  cr_expect(of(same + R"(,"large_requests":true)") ==
            Fields({ { "large_requests", "false", "true" } }));
  for (const auto& [limit, from] :
       std::vector<std::pair<std::string, std::string>>{
         { "concurrency", "0" },
         { "rate", "0" },
         { "deadline_ms", "5000" },
         { "queue_ms", "500" },
         { "body_bytes", "1048576" },
         { "retries", "1" } }) {
    const auto fields =
      of(same + fmt::format(R"(,"limits":{{"{}":7}})", limit));
    cr_expect(fields == Fields({ { "limits." + limit, from, "7" } }),
              "%s",
              limit.c_str());
  }
  // A target replaces the default of the wait for a slot.
  cr_expect(of(same + R"(,"limits":{"target_ms":7})") ==
            Fields({ { "limits.queue_ms", "500", "0" },
                     { "limits.target_ms", "0", "7" } }));
  cr_expect(
    FieldsBetween(R"({"kind":"service","owner":"x","class":"batch"})",
                  R"({"kind":"service","owner":"y","class":"critical"})") ==
    Fields({ { "class", "batch", "critical" }, { "owner", "x", "y" } }));
  cr_expect(
    FieldsBetween(
      R"({"kind":"owner","owner":"x","limits":{}})",
      R"({"kind":"owner","owner":"x","limits":{"rate":1,"concurrency":2}})") ==
    Fields(
      { { "limits.concurrency", "0", "2" }, { "limits.rate", "0", "1" } }));
  cr_expect(FieldsBetween(R"({"kind":"listener","owner":"x","limits":{}})",
                          R"({"kind":"listener","owner":"x","limits":)"
                          R"({"head_bytes":1,"body_bytes":2,"head_ms":3,)"
                          R"("idle_ms":4}})") ==
            Fields({ { "limits.body_bytes", "0", "2" },
                     { "limits.head_bytes", "0", "1" },
                     { "limits.head_ms", "0", "3" },
                     { "limits.idle_ms", "0", "4" } }));
  cr_expect(
    FieldsBetween(Team(Digest(1), ""),
                  Team(Digest(1), R"(,"rate":1,"burst":2,"class":"batch")")) ==
    Fields({ { "burst", "0", "2" },
             { "class", "that of the route", "batch" },
             { "rate", "0", "1" } }));
  cr_expect(FieldsBetween(R"({"kind":"service","owner":"x","class":"batch"})",
                          R"({"kind":"owner","owner":"x","limits":{}})") ==
            Fields({ { "class", "batch", "" },
                     { "kind", "service", "owner" },
                     { "limits.concurrency", "", "0" },
                     { "limits.rate", "", "0" } }));
}

// A changed key must be seen, also if the number of keys stays, but neither a
// key nor its digest may be shown.
Test(cataloguedifferences, keys_are_compared_and_only_counted)
{
  const auto team = [](const std::vector<int>& aKeys) {
    Lines digests;
    std::ranges::transform(aKeys, std::back_inserter(digests), [](int aKey) {
      return '"' + Digest(aKey) + '"';
    });
    return fmt::format(R"({{"kind":"team","owner":"acme","keys":[{}]}})",
                       fmt::join(digests, ","));
  };
  cr_expect(FieldsBetween(team({ 1, 2 }), team({ 2, 3 })) ==
            Fields({ { "keys", "2", "2 (1 added, 1 removed)" } }));
  cr_expect(FieldsBetween(team({ 1, 2 }), team({})) ==
            Fields({ { "keys", "2", "0 (0 added, 2 removed)" } }));
  cr_expect(FieldsBetween(team({}), team({ 1, 2, 3 })) ==
            Fields({ { "keys", "0", "3 (3 added, 0 removed)" } }));
}
