#include "catalogue/cataloguecheck.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

using namespace lacewingwharf;

namespace {

using Lines = std::vector<std::string>;

const std::string kService =
  R"({"kind":"service","owner":"shop","class":"interactive"})";
const std::string kRoute =
  R"({"kind":"route","owner":"shop","class":"interactive","service":"orders",)"
  R"("match":{"path":"/orders"}})";

} // namespace

// An entry that is not valid must not hide the errors of the others.
Test(cataloguecheck, reports_every_entry_and_every_conflict)
{
  const CatalogueCheck check = CheckCatalogue({},
                                              { { "r1", 1, kRoute },
                                                { "r2", 1, kRoute },
                                                { "x", 1, "{" },
                                                { ".y", 1, kService } });
  cr_expect_null(check.snapshot.get());
  std::vector<std::string> found;
  for (const Finding& finding : check.findings) {
    cr_expect_eq(finding.level, FindingLevel::Error);
    found.push_back(finding.entry + ' ' + finding.code);
  }
  const std::vector<std::string> expected = {
    ".y bad-field",
    "r1 dangling-reference",
    "r2 dangling-reference",
    "r2 duplicate-match",
    "x bad-json",
  };
  cr_expect(found == expected);
}

// A catalogue with one mistake in all of its routes must not give a finding for
// each pair of them, whose number grows with the square of the routes. Each
// route must still be reported, also if it conflicts with a wrong one only.
Test(cataloguecheck, a_large_invalid_catalogue_gives_one_conflict_per_route)
{
  constexpr std::size_t kRoutes = 2000;
  std::vector<ChangedEntry> entries = { { "orders", 1, kService } };
  for (std::size_t i = 0; i < kRoutes; ++i) {
    entries.push_back({ fmt::format("r{:04}", i), 1, kRoute });
  }
  const CatalogueCheck check = CheckCatalogue({}, entries);
  cr_assert_eq(
    check.findings.size(), kRoutes - 1, "%zu", check.findings.size());
  for (std::size_t i = 0; i < kRoutes - 1; ++i) {
    cr_assert_eq(check.findings[i].code, "duplicate-match");
    cr_assert_eq(check.findings[i].entry, fmt::format("r{:04}", i + 1));
  }
  const auto route = [](const char* aName, const char* aMethods) {
    return ChangedEntry{
      aName,
      1,
      fmt::format(R"({{"kind":"route","owner":"shop","class":"interactive",)"
                  R"("service":"orders",)"
                  R"("match":{{"path":"/orders","methods":[{}]}}}})",
                  aMethods)
    };
  };
  const CatalogueCheck mixed =
    CheckCatalogue({},
                   { { "orders", 1, kService },
                     route("a", R"("GET")"),
                     route("b", R"("GET","POST")"),
                     route("c", R"("POST")"),
                     route("d", R"("PUT")"),
                     route("e", R"("GET","POST","PUT")") });
  Lines found;
  std::ranges::transform(
    mixed.findings, std::back_inserter(found), &Finding::detail);
  const Lines expected = {
    "routes 'a' and 'b' match the same method on '/orders'",
    "routes 'b' and 'c' match the same method on '/orders'",
    "routes 'd' and 'e' match the same method on '/orders'",
  };
  cr_expect(found == expected);
}

// The check must agree with the validation of the daemons: it accepts what
// Apply() accepts, and its first error of a conflict is the one that daemons
// log.
Test(cataloguecheck, agrees_with_the_validation_of_daemons)
{
  const std::vector<std::vector<ChangedEntry>> catalogues = {
    {},
    { { "orders", 1, kService }, { "r1", 1, kRoute } },
    { { "r1", 1, kRoute } },
    { { "orders", 1, kService }, { "r1", 1, kRoute }, { "r2", 1, kRoute } },
    { { "orders", 1, kService }, { "orders", 1, kRoute } },
    { { "r1", 1, kRoute }, { "r1", 1, kService } },
    { { "orders", 1, "5" } },
  };
  for (const auto& entries : catalogues) {
    const auto delta = DeltaToEntries(*Snapshot::Empty(), { 3, 0, 0 }, entries);
    const CatalogueCheck check = CheckCatalogue({ 3, 0, 0 }, entries);
    cr_assert_eq(delta.has_value(), check.snapshot != nullptr);
    if (delta) {
      cr_expect_eq(check.snapshot->ContentHash(),
                   delta.assume_value().contentHash);
      continue;
    }
    cr_assert_not(check.findings.empty());
    cr_expect(
      std::ranges::find(check.findings, ErrorFinding(delta.assume_error())) !=
      check.findings.end());
  }
}

// Daemons take the last of several entries with one name. The others are lost
// without a word, as in a document with two resources of one name.
Test(cataloguecheck, repeated_names_are_a_warning)
{
  const CatalogueCheck check = CheckCatalogue({},
                                              { { "orders", 1, kService },
                                                { "orders", 1, kService },
                                                { "r1", 1, kRoute } });
  cr_expect_not_null(check.snapshot.get());
  cr_assert_eq(check.findings.size(), 1U);
  cr_expect_eq(check.findings[0].level, FindingLevel::Warning);
  cr_expect_eq(check.findings[0].code, kRepeatedNameCode);
  cr_expect_eq(check.findings[0].entry, "orders");
}
