#include "ctl/reviewbase.h"

#include "distribution/acceptedchain.h"
#include "distribution/storedtext.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

std::string
DescribeVersion(const Snapshot& aSnapshot)
{
  return fmt::format("version {} in force", aSnapshot.Version());
}

ReviewBaseError
PlatformFailure(const PlatformError& aError)
{
  return { ExitCode::PlatformFailed,
           fmt::format("the version in force cannot be read: {}{}{}; check "
                       "--platform, or compare with --against FILE",
                       kPlatformErrorNames.NameOf(aError.code),
                       aError.detail.empty() ? "" : ": ",
                       aError.detail) };
}

ReviewBaseError
InvalidVersion(const CatalogueError& aError)
{
  return { ExitCode::PlatformFailed,
           fmt::format("the version in the store is refused by daemons ({} {}: "
                       "{}), so an earlier one is in force; compare with "
                       "--against FILE",
                       kCatalogueErrorNames.NameOf(aError.code),
                       aError.entry,
                       aError.detail) };
}

bool
HasErrors(const std::vector<Finding>& aFindings)
{
  return std::ranges::find(aFindings, FindingLevel::Error, &Finding::level) !=
         aFindings.end();
}

} // namespace

CatalogueCheck
CheckInputCatalogue(const InputCatalogue& aInput)
{
  CatalogueCheck check = CheckCatalogue(aInput.stamp, aInput.entries);
  std::ranges::copy(aInput.findings, std::back_inserter(check.findings));
  if (HasErrors(aInput.findings)) {
    check.snapshot = nullptr;
  }
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

ReviewBaseResult
ReadBaseFromFiles(const std::vector<std::string>& aFiles,
                  const DocumentFormat& aFormat,
                  bool aIsDocument)
{
  const auto input = ReadInputCatalogue(aFiles, aFormat);
  if (!input) {
    return failure(
      ReviewBaseError{ ExitCode::Usage, input.assume_error().message });
  }
  if (input.assume_value().isDocument != aIsDocument) {
    return failure(ReviewBaseError{
      ExitCode::Usage,
      "--against: a document can only be compared with a document, and "
      "entries with entries" });
  }
  const CatalogueCheck check = CheckInputCatalogue(input.assume_value());
  if (!check.snapshot) {
    const auto error =
      std::ranges::find(check.findings, FindingLevel::Error, &Finding::level);
    return failure(ReviewBaseError{
      ExitCode::Usage,
      fmt::format("--against: the catalogue is not valid: {} {}: {}",
                  error->code,
                  error->entry,
                  error->detail) });
  }
  return success(
    ReviewBase{ check.snapshot, fmt::format("{}", fmt::join(aFiles, " ")) });
}

ReviewBaseResult
ReadAcceptedBase(const ObjectStore& aStore)
{
  const auto read = ReadNewestWhole(aStore);
  if (!read) {
    return failure(PlatformFailure(read.assume_error()));
  }
  SnapshotPtr snapshot = Snapshot::Empty();
  for (const Delta& delta : read.assume_value().deltas) {
    auto next = Apply(*snapshot, delta);
    if (!next) {
      return failure(InvalidVersion(next.assume_error()));
    }
    snapshot = std::move(next).assume_value();
  }
  return success(ReviewBase{ snapshot, DescribeVersion(*snapshot) });
}

ReviewBaseResult
ReadDocumentBase(const DocumentFormat& aFormat)
{
  const auto object = aFormat.makeStore().get(aFormat.object);
  if (!object && object.assume_error().code == PlatformErrorCode::NotFound) {
    return success(
      ReviewBase{ Snapshot::Empty(), DescribeVersion(*Snapshot::Empty()) });
  }
  if (!object) {
    return failure(PlatformFailure(object.assume_error()));
  }
  const auto document = aFormat.read(object.assume_value().value);
  if (!document) {
    return failure(InvalidVersion(document.assume_error()));
  }
  const CatalogueDocument& read = document.assume_value();
  const auto delta =
    DeltaToEntries(*Snapshot::Empty(), { read.version, 0, 0 }, read.entries);
  if (!delta) {
    return failure(InvalidVersion(delta.assume_error()));
  }
  const SnapshotPtr snapshot =
    Apply(*Snapshot::Empty(), delta.assume_value()).assume_value();
  return success(ReviewBase{ snapshot, DescribeVersion(*snapshot) });
}

} // namespace lacewingwharf
