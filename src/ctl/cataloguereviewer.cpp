#include "ctl/cataloguereviewer.h"

#include "catalogue/cataloguereview.h"
#include "ctl/printable.h"
#include "distribution/edits.h"
#include "execution/entrycall.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>

namespace lacewingwharf {

namespace {

/** Whether an entry is given a change set that it does not have in force. */
bool
HasNewChangeSet(const Entry& aInForce, const Entry& aNext)
{
  const auto& former = aInForce.changeSet;
  const auto& next = aNext.changeSet;
  return next &&
         (!former || former->id != next->id || former->size != next->size);
}

/**
 * Returns an error for each change set that the acceptor would refuse as
 * incomplete if the changed entries were written. An entry with a new change
 * set is a change for the acceptor, which compares texts, even if nothing else
 * differs. Other entries without differences keep the text in force, because
 * their change sets were accepted before.
 */
std::vector<Finding>
FindIncompleteChanges(const Snapshot& aInForce,
                      const Snapshot& aNext,
                      const std::vector<EntryDifference>& aDifferences)
{
  std::set<std::string_view> changed;
  std::ranges::transform(aDifferences,
                         std::inserter(changed, changed.end()),
                         &EntryDifference::entry);
  ObjectList list;
  list.revision =
    std::max(aInForce.HighestRevision(), aInForce.Stamp().floorRevision) + 1;
  for (const auto& [name, accepted] : aNext.Entries()) {
    const AcceptedEntry* const former = aInForce.Find(name);
    const bool isChanged = former == nullptr || changed.contains(name) ||
                           HasNewChangeSet(former->entry, accepted->entry);
    list.objects.push_back({ fmt::format("{}{}", kCataloguePrefix, name),
                             list.revision,
                             isChanged ? accepted->text : former->text,
                             false,
                             {},
                             false });
  }
  std::vector<Finding> findings;
  for (const Rejection& rejection : Edits(aInForce, list).TakeRejections()) {
    if (rejection.code == CatalogueErrorCode::IncompleteChange) {
      findings.push_back(
        ErrorFinding({ rejection.code, rejection.entry, rejection.reason }));
    }
  }
  return findings;
}

Finding
NotPositiveWarning(std::int64_t aVersion)
{
  return { FindingLevel::Warning,
           kVersionNotPositiveCode,
           "",
           fmt::format("daemons ignore version {}, because they start with "
                       "version 0 and take higher ones only",
                       aVersion) };
}

} // namespace

CatalogueReviewer::CatalogueReviewer(ObjectStore aStore,
                                     CtlOptions aOptions,
                                     DocumentFormat aFormat,
                                     Print aOut,
                                     Print aError)
  : store(std::move(aStore))
  , options(std::move(aOptions))
  , format(std::move(aFormat))
  , out(std::move(aOut))
  , error(std::move(aError))
{
}

ExitCode
CatalogueReviewer::Review()
{
  const auto input = ReadInputCatalogue(this->options.arguments, this->format);
  if (!input) {
    this->PrintError(input.assume_error().message);
    return ExitCode::Usage;
  }
  ReviewReport report;
  report.entryCount = input.assume_value().entries.size();
  const CatalogueCheck check = CheckInputCatalogue(input.assume_value());
  report.findings = check.findings;
  ExitCode compared = ExitCode::Ok;
  if (check.snapshot) {
    CatalogueReview review(check.snapshot, { kMaxCallAttempts });
    std::ranges::move(review.FindWarnings(),
                      std::back_inserter(report.findings));
    if (input.assume_value().isDocument && check.snapshot->Version() <= 0) {
      report.findings.push_back(NotPositiveWarning(check.snapshot->Version()));
    }
    compared = this->Compare(input.assume_value(), *check.snapshot, report);
  }
  if (compared == ExitCode::Usage) {
    return compared;
  }
  std::ranges::stable_sort(report.findings, {}, &Finding::entry);
  this->PrintReport(report);
  if (report.Count(FindingLevel::Error) > 0) {
    return ExitCode::Rejected;
  }
  if (compared != ExitCode::Ok) {
    return compared;
  }
  return report.findings.empty() ? ExitCode::Ok : ExitCode::Warnings;
}

/** Adds the differences from the base to the report if there is a base. */
ExitCode
CatalogueReviewer::Compare(const InputCatalogue& aInput,
                           const Snapshot& aSnapshot,
                           ReviewReport& aReport)
{
  if (!this->HasBase()) {
    return ExitCode::Ok;
  }
  const auto base = this->ReadBase(aInput.isDocument);
  if (!base) {
    this->PrintError(base.assume_error().message);
    return base.assume_error().code;
  }
  const Snapshot& inForce = *base.assume_value().snapshot;
  auto differences = FindDifferences(inForce, aSnapshot);
  if (!aInput.isDocument) {
    std::ranges::move(FindIncompleteChanges(inForce, aSnapshot, differences),
                      std::back_inserter(aReport.findings));
  } else if (this->options.against.empty() && !differences.empty() &&
             aSnapshot.Version() > 0 &&
             aSnapshot.Version() <= inForce.Version()) {
    // Files of --against need not be in force, so their version says nothing
    // about daemons.
    aReport.findings.push_back(
      { FindingLevel::Warning,
        kVersionNotNewerCode,
        "",
        fmt::format("daemons ignore version {}, because they have version {}",
                    aSnapshot.Version(),
                    inForce.Version()) });
  }
  aReport.differences = ReviewDifferences{ base.assume_value().description,
                                           std::move(differences) };
  return ExitCode::Ok;
}

bool
CatalogueReviewer::HasBase() const
{
  return !this->options.against.empty() || !this->options.platform.empty();
}

ReviewBaseResult
CatalogueReviewer::ReadBase(bool aIsDocument) const
{
  if (!this->options.against.empty()) {
    return ReadBaseFromFiles(this->options.against, this->format, aIsDocument);
  }
  return aIsDocument ? ReadDocumentBase(this->format)
                     : ReadAcceptedBase(this->store);
}

void
CatalogueReviewer::PrintError(const std::string& aMessage)
{
  this->error(Printable(aMessage) + '\n');
}

void
CatalogueReviewer::PrintReport(const ReviewReport& aReport)
{
  this->out(this->options.isJson ? FormatReviewJson(aReport)
                                 : FormatReviewText(aReport));
}

} // namespace lacewingwharf
