// The part of Distributor that handles catalogues given as whole documents.

#include "common/log.h"
#include "distribution/distributor.h"

#include <algorithm>
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
  return [this, guard, now = this->clock, read = this->hooks.readDocument](
           const ObjectStore& aStore) {
    const Millis startedAt = now.Now();
    return Completion([this, guard, startedAt, result = read(aStore)] {
      if (!guard.expired()) {
        this->HandleDocumentRead(result, startedAt);
      }
    });
  };
}

void
Distributor::HandleDocumentRead(
  const PlatformResult<std::optional<CatalogueDocument>>& aRead,
  Millis aStartedAt)
{
  this->isPlatformReadRunning = false;
  if (!aRead) {
    kLog.Warning("cannot read the catalogue: {} {}",
                 kPlatformErrorNames.NameOf(aRead.assume_error().code),
                 aRead.assume_error().detail);
    this->isPlatformReadStarted = false;
    this->platformReadDueAt = this->clock.Now() + kDocumentRetryDelay;
    this->aloneReadDueAt = this->platformReadDueAt;
    return;
  }
  this->startRule.RecordPlatformAnswer();
  if (aRead.assume_value()) {
    this->HandleDocument(*aRead.assume_value());
  }
  this->evidence.Confirm(aStartedAt);
}

/**
 * Pushes a version from a member of another group. If the store refuses all
 * relays of this group, it gets its versions only in this way, and gossip alone
 * takes longer to reach every member. A whole version is too large to be pushed
 * by each daemon that fetches one.
 */
void
Distributor::ForwardFetched(const std::string& aFromHost,
                            const wire::ConfigBody& aBody)
{
  const bool isFromOwnGroup =
    std::ranges::binary_search(this->members, aFromHost);
  if (this->HasAcceptor() || isFromOwnGroup || aBody.whole) {
    return;
  }
  kLog.Decision(
    "fetched-pushed", "version={} from={}", aBody.version, aFromHost);
  this->SendPush(aBody, this->config.host);
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
