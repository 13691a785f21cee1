#pragma once

#include "catalogue/cataloguecheck.h"
#include "catalogue/cataloguereview.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

/** Catalogues for tests of reviews. */
namespace lacewingwharf::reviewtest {

using Lines = std::vector<std::string>;

/** A digest as of a key; each number gives another one. */
inline std::string
Digest(int aNumber)
{
  return fmt::format("{:064x}", aNumber);
}

inline ChangedEntry
Service(const std::string& aName)
{
  return { aName,
           1,
           R"({"kind":"service","owner":"shop","class":"interactive"})" };
}

/** aFields are the fields of a route in addition to owner and class. */
inline ChangedEntry
Route(const std::string& aName, const std::string& aFields)
{
  return { aName,
           1,
           fmt::format(
             R"({{"kind":"route","owner":"shop","class":"interactive",{}}})",
             aFields) };
}

/** aFields begin with a comma or are empty. */
inline std::string
Team(const std::string& aDigest, const std::string& aFields)
{
  return fmt::format(
    R"({{"kind":"team","owner":"acme","keys":["{}"]{}}})", aDigest, aFields);
}

/** Returns the warnings about a valid catalogue. */
inline std::vector<Finding>
FindingsOf(const std::vector<ChangedEntry>& aEntries)
{
  const CatalogueCheck check = CheckCatalogue({}, aEntries);
  cr_assert(check.snapshot != nullptr,
            "%s: %s",
            check.findings.empty() ? "" : check.findings[0].entry.c_str(),
            check.findings.empty() ? "" : check.findings[0].detail.c_str());
  return CatalogueReview(check.snapshot, { 5 }).FindWarnings();
}

/** Returns entry and code of the warnings about a valid catalogue. */
inline Lines
WarningsOf(const std::vector<ChangedEntry>& aEntries)
{
  Lines lines;
  std::ranges::transform(FindingsOf(aEntries),
                         std::back_inserter(lines),
                         [](const Finding& aFinding) {
                           return aFinding.entry + ' ' + aFinding.code;
                         });
  return lines;
}

/**
 * A correct catalogue of more than 10,000 entries with every field. Limits that
 * are compared are equal where they may be, or are defaults.
 */
inline std::vector<ChangedEntry>
LargeCatalogue()
{
  constexpr int kServices = 2500;
  constexpr int kTeams = 83;
  constexpr int kOwners = 40;
  const std::vector<std::string> limits = {
    R"({})",
    R"({"deadline_ms":200})",
    R"({"deadline_ms":200,"target_ms":200,"queue_ms":200,"retries":4})",
    R"({"deadline_ms":1})",
    R"({"deadline_ms":2,"retries":1})",
    R"({"target_ms":300,"deadline_ms":800,"body_bytes":65536})",
    R"({"body_bytes":0,"concurrency":100,"rate":500})",
    R"({"body_bytes":7340032,"rate":1,"queue_ms":0})",
    R"({"retries":0,"target_ms":0,"deadline_ms":3600000})",
  };
  std::vector<ChangedEntry> entries;
  for (int i = 0; i < kServices; ++i) {
    const std::string name = fmt::format("s{}", i);
    const std::string owner = fmt::format("owner-{}", i % kOwners);
    const std::string& limit = limits[i % limits.size()];
    entries.push_back(Service(name));
    entries.push_back(
      { "by-path." + name,
        1,
        fmt::format(
          R"({{"kind":"route","owner":"{}","class":"batch","service":"{}",)"
          R"("match":{{"path":"/{}","methods":["GET","HEAD"]}},"limits":{}}})",
          owner,
          name,
          name,
          limit) });
    entries.push_back(
      { "writes." + name,
        1,
        fmt::format(
          R"({{"kind":"route","owner":"{}","class":"critical","service":"{}",)"
          R"("match":{{"path":"/{}","methods":["POST"]}},"idempotent":true,)"
          R"("key_exempt":true,"limits":{}}})",
          owner,
          name,
          name,
          limit) });
    entries.push_back(
      { "by-prefix." + name,
        1,
        fmt::format(R"({{"kind":"route","owner":"{0}","class":"internal",)"
                    R"("split":[{{"service":"{1}","weight":{2}}},)"
                    R"({{"service":"s{3}","weight":{4}}}],)"
                    R"("match":{{"host":"h{5}.example","prefix":"/{1}/"}},)"
                    R"("large_answers":true,"limits":{6}}})",
                    owner,
                    name,
                    i % 3 == 0 ? 0 : 90,
                    (i + 1) % kServices,
                    i % 3 == 1 ? 0 : 10,
                    i % 7,
                    limit) });
  }
  for (int i = 0; i < kOwners; ++i) {
    entries.push_back(
      { fmt::format("limits-{}", i),
        1,
        fmt::format(R"({{"kind":"owner","owner":"owner-{}","limits":{}}})",
                    i,
                    i % 2 == 0 ? R"({"concurrency":100,"rate":500})"
                               : R"({"concurrency":0,"rate":0})") });
  }
  const std::vector<std::string> policies = {
    "",
    R"(,"rate":1)",
    R"(,"rate":400,"burst":800,"class":"batch")",
    R"(,"rate":0,"burst":0)",
  };
  for (int i = 0; i < kTeams; ++i) {
    entries.push_back({ fmt::format("team-{}", i),
                        1,
                        Team(Digest(i), policies[i % policies.size()]) });
  }
  entries.push_back(
    { "callers",
      1,
      R"({"kind":"listener","owner":"platform","limits":{"head_bytes":16384,)"
      R"("body_bytes":65536,"head_ms":3000,"idle_ms":15000}})" });
  return entries;
}

} // namespace lacewingwharf::reviewtest
