// The part of Distributor for catalogues that are given as whole documents.

#include "common/log.h"
#include "distribution/distributor.h"

#include <memory>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// Pause after the platform did not answer a process that starts.
constexpr Millis kAskAgain = 300;

} // namespace

PlatformJob
Distributor::DocumentJob()
{
  const std::weak_ptr<bool> guard = this->alive;
  return
    [this, guard, read = this->hooks.readDocument](const ObjectStore& aStore) {
      return Completion([this, guard, result = read(aStore)] {
        if (!guard.expired()) {
          this->DocumentAnswered(result);
        }
      });
    };
}

void
Distributor::DocumentAnswered(
  const PlatformResult<std::optional<CatalogueDocument>>& aRead)
{
  this->isPlatformBusy = false;
  if (!aRead) {
    kLog.Warning("the catalogue cannot be read: {} {}",
                 kPlatformErrorNames.NameOf(aRead.assume_error().code),
                 aRead.assume_error().detail);
    this->isPlatformAsked = false;
    this->platformDueAt = this->clock.Now() + kAskAgain;
    return;
  }
  this->startRule.PlatformAnswered();
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
  this->TakeAccepted(delta.assume_value(), false);
  this->TickPush();
}

} // namespace lacewingwharf
