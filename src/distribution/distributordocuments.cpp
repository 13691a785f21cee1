// The part of Distributor that handles catalogues given as whole documents.

#include "common/log.h"
#include "distribution/distributor.h"

#include <memory>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// Delay until a starting process repeats a read that failed.
constexpr Millis kDocumentRetryDelay = 300;

} // namespace

PlatformJob
Distributor::MakeDocumentJob()
{
  const std::weak_ptr<bool> guard = this->alive;
  return
    [this, guard, read = this->hooks.readDocument](const ObjectStore& aStore) {
      return Completion([this, guard, result = read(aStore)] {
        if (!guard.expired()) {
          this->HandleDocumentRead(result);
        }
      });
    };
}

void
Distributor::HandleDocumentRead(
  const PlatformResult<std::optional<CatalogueDocument>>& aRead)
{
  this->isPlatformReadRunning = false;
  if (!aRead) {
    kLog.Warning("cannot read the catalogue: {} {}",
                 kPlatformErrorNames.NameOf(aRead.assume_error().code),
                 aRead.assume_error().detail);
    this->isPlatformReadStarted = false;
    this->platformReadDueAt = this->clock.Now() + kDocumentRetryDelay;
    return;
  }
  this->startRule.RecordPlatformAnswer();
  if (aRead.assume_value()) {
    this->HandleDocument(*aRead.assume_value());
  }
}

void
Distributor::HandleDocument(CatalogueDocument aDocument)
{
  if (aDocument.version <= this->HeldSnapshot()->Version()) {
    return;
  }
  const auto delta = DeltaToEntries(*this->HeldSnapshot(),
                                    { aDocument.version, 0, 0 },
                                    std::move(aDocument.entries));
  if (!delta) {
    const CatalogueError& error = delta.assume_error();
    kLog.Error("version {} refused: {} {}: {}",
               aDocument.version,
               kCatalogueErrorNames.NameOf(error.code),
               error.entry,
               error.detail);
    return;
  }
  this->OfferAcceptedVersion(delta.assume_value(), false);
  this->SendDuePushes();
}

} // namespace lacewingwharf
