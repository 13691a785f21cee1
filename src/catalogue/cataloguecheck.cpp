#include "catalogue/cataloguecheck.h"

#include "catalogue/validation.h"

#include <algorithm>
#include <memory>
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
  std::ranges::stable_sort(check.findings, {}, &Finding::entry);
  if (check.findings.empty()) {
    check.snapshot =
      Snapshot::Build(aStamp, std::move(accepted)).assume_value();
  }
  return check;
}

} // namespace lacewingwharf
