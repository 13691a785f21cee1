#include "ctl/cataloguereviewer.h"

#include "catalogue/cataloguereview.h"
#include "distribution/storedtext.h"
#include "execution/entrycall.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

/** Checks aInput as the acceptor does, or as the daemons of a site do. */
CatalogueCheck
CheckInput(InputCatalogue aInput)
{
  if (!aInput.findings.empty()) {
    return { std::move(aInput.findings), nullptr };
  }
  CatalogueCheck check = CheckCatalogue(aInput.stamp, aInput.entries);
  // Documents are stored as they are, not as snapshots.
  if (check.snapshot && !aInput.isDocument && !FitsInStore(*check.snapshot)) {
    check.findings.push_back(ErrorFinding(
      { CatalogueErrorCode::TooLarge,
        "",
        fmt::format("the catalogue does not fit in one object of {} bytes of "
                    "the platform",
                    kMaxStoredBytes) }));
    check.snapshot = nullptr;
  }
  return check;
}

} // namespace

CatalogueReviewer::CatalogueReviewer(CtlOptions aOptions,
                                     DocumentFormat aFormat,
                                     Print aOut,
                                     Print aError)
  : options(std::move(aOptions))
  , format(std::move(aFormat))
  , out(std::move(aOut))
  , error(std::move(aError))
{
}

ExitCode
CatalogueReviewer::Review()
{
  auto input = ReadInputCatalogue(this->options.arguments, this->format);
  if (!input) {
    this->error(input.assume_error().message + '\n');
    return ExitCode::Usage;
  }
  ReviewReport report;
  report.entryCount = input.assume_value().entries.size();
  const CatalogueCheck check = CheckInput(std::move(input).assume_value());
  report.findings = check.findings;
  if (check.snapshot) {
    CatalogueReview review(check.snapshot, { kMaxCallAttempts });
    std::ranges::move(review.FindWarnings(),
                      std::back_inserter(report.findings));
    std::ranges::stable_sort(report.findings, {}, &Finding::entry);
  }
  this->PrintReport(report);
  if (report.Count(FindingLevel::Error) > 0) {
    return ExitCode::Rejected;
  }
  return report.findings.empty() ? ExitCode::Ok : ExitCode::Warnings;
}

void
CatalogueReviewer::PrintReport(const ReviewReport& aReport)
{
  this->out(this->options.isJson ? FormatReviewJson(aReport)
                                 : FormatReviewText(aReport));
}

} // namespace lacewingwharf
