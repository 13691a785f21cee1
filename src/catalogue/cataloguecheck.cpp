#include "catalogue/cataloguecheck.h"

#include "catalogue/validation.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

namespace lacewingwharf {

namespace {

/** Returns the valid entries and appends a finding for each other one. */
AcceptedEntries
ParseEntries(const std::vector<ChangedEntry>& aEntries,
             std::vector<Finding>& aFindings)
{
  AcceptedEntries accepted;
  for (const ChangedEntry& changed : aEntries) {
    auto parsed = ParseEntry(changed.name, changed.text);
    if (!parsed) {
      aFindings.push_back(ErrorFinding(parsed.assume_error()));
      continue;
    }
    accepted[changed.name] =
      std::make_shared<const AcceptedEntry>(AcceptedEntry{
        std::move(parsed).assume_value(), changed.revision, changed.text });
  }
  return accepted;
}

/** Appends a warning for each name that occurs several times. */
void
FindRepeatedNames(const std::vector<ChangedEntry>& aEntries,
                  std::vector<Finding>& aFindings)
{
  std::map<std::string_view, int> counts;
  for (const ChangedEntry& entry : aEntries) {
    ++counts[entry.name];
  }
  for (const auto& [name, count] : counts) {
    if (count > 1) {
      aFindings.push_back(
        { FindingLevel::Warning,
          kRepeatedNameCode,
          std::string(name),
          fmt::format("the name is given {} times; only the last entry counts",
                      count) });
    }
  }
}

} // namespace

Finding
ErrorFinding(const CatalogueError& aError)
{
  return { FindingLevel::Error,
           std::string(kCatalogueErrorNames.NameOf(aError.code)),
           aError.entry,
           aError.detail };
}

CatalogueCheck
CheckCatalogue(VersionStamp aStamp, const std::vector<ChangedEntry>& aEntries)
{
  CatalogueCheck check;
  AcceptedEntries accepted = ParseEntries(aEntries, check.findings);
  for (const Conflict& conflict : FindConflicts(accepted)) {
    check.findings.push_back(
      ErrorFinding({ conflict.code, conflict.entry, conflict.detail }));
  }
  const bool isValid = check.findings.empty();
  FindRepeatedNames(aEntries, check.findings);
  std::ranges::stable_sort(check.findings, {}, &Finding::entry);
  if (isValid) {
    check.snapshot =
      Snapshot::Build(aStamp, std::move(accepted)).assume_value();
  }
  return check;
}

} // namespace lacewingwharf
