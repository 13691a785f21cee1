#include "distribution/acceptorround.h"

#include "distribution/acceptedchain.h"
#include "distribution/storedtext.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace lacewingwharf {

namespace {

/** How the held version relates to the accepted versions in the store. */
enum class Position
{
  Present,  // The store has the held version with the same content.
  Behind,   // The store is ahead and does not have the held version.
  Restored, // All versions in the store are older than the held one.
  Diverged  // The store has different content for the held version.
};

RoundOutcome
FailureOutcome(const PlatformError& aError)
{
  RoundOutcome outcome;
  outcome.detail = fmt::format(
    "{} {}", kPlatformErrorNames.NameOf(aError.code), aError.detail);
  return outcome;
}

RoundOutcome
AdoptionOutcome(PlatformResult<ChainReadResult> aRead)
{
  if (!aRead) {
    return FailureOutcome(aRead.assume_error());
  }
  RoundOutcome outcome;
  outcome.result = RoundResult::Adopted;
  outcome.deltas = std::move(aRead).assume_value().deltas;
  return outcome;
}

PlatformResult<Position>
PositionInList(const ObjectStore& aStore, std::int64_t aVersion)
{
  const auto read = ReadChain(aStore, aVersion);
  if (!read) {
    return read.assume_error();
  }
  if (read.assume_value().newest > aVersion) {
    return Position::Behind;
  }
  return aVersion == 0 ? Position::Present : Position::Restored;
}

PlatformResult<Position>
FindPosition(const ObjectStore& aStore, const Snapshot& aHeld)
{
  if (aHeld.Version() == 0) {
    return PositionInList(aStore, 0);
  }
  const auto object = aStore.get(AcceptedObjectName(aHeld.Version()));
  if (!object) {
    if (object.assume_error().code != PlatformErrorCode::NotFound) {
      return object.assume_error();
    }
    return PositionInList(aStore, aHeld.Version());
  }
  const auto decoded = DecodeStored(object.assume_value().value);
  const bool isSame =
    decoded && decoded.assume_value().delta.contentHash == aHeld.ContentHash();
  return isSame ? Position::Present : Position::Diverged;
}

/**
 * Returns true if the number of a version that was just written had been used
 * before. A create-only write does not prevent this if the earlier object was
 * compacted away: an acceptor that was paused for more than 64 versions would
 * create it again. In this case the object of the base version is gone too; for
 * base 0, a snapshot exists.
 */
PlatformResult<bool>
IsReusedNumber(const ObjectStore& aStore, const Delta& aDelta)
{
  if (aDelta.isWhole) {
    return false;
  }
  if (aDelta.base == 0) {
    const auto snapshots = aStore.list(std::string(kSnapshotPrefix));
    if (!snapshots) {
      return snapshots.assume_error();
    }
    return !snapshots.assume_value().objects.empty();
  }
  const auto base = aStore.get(AcceptedObjectName(aDelta.base));
  if (base) {
    return false;
  }
  if (base.assume_error().code == PlatformErrorCode::NotFound) {
    return true;
  }
  return base.assume_error();
}

RoundOutcome
PublicationOutcome(const Delta& aDelta, std::string aDetail)
{
  RoundOutcome outcome;
  outcome.result = RoundResult::Published;
  outcome.deltas = { aDelta };
  outcome.detail = std::move(aDetail);
  return outcome;
}

RoundOutcome
ConfirmWrite(const ObjectStore& aStore,
             const Delta& aDelta,
             std::int64_t aRevision,
             std::string aDetail)
{
  const auto isReused = IsReusedNumber(aStore, aDelta);
  if (!isReused) {
    return FailureOutcome(isReused.assume_error());
  }
  if (!isReused.assume_value()) {
    return PublicationOutcome(aDelta, std::move(aDetail));
  }
  const auto removed =
    aStore.remove(AcceptedObjectName(aDelta.stamp.version), aRevision);
  if (!removed) {
    return FailureOutcome(removed.assume_error());
  }
  return AdoptionOutcome(ReadNewestWhole(aStore));
}

/**
 * Reads the object after a lost answer or a conflict. Its nonce tells whether
 * this round or another acceptor wrote it.
 */
RoundOutcome
ResolveUncertainWrite(const ObjectStore& aStore,
                      const RoundInput& aInput,
                      const Delta& aDelta)
{
  const auto object = aStore.get(AcceptedObjectName(aDelta.stamp.version));
  if (!object) {
    return FailureOutcome(object.assume_error());
  }
  const StoredObject& found = object.assume_value();
  const auto decoded = DecodeStored(found.value);
  if (decoded && decoded.assume_value().nonce == aInput.nonce) {
    return ConfirmWrite(
      aStore, aDelta, found.revision, "recognised by its nonce");
  }
  return AdoptionOutcome(ReadChain(aStore, aInput.held->Version()));
}

RoundOutcome
Publish(const ObjectStore& aStore,
        const RoundInput& aInput,
        const Delta& aDelta)
{
  const std::string text =
    EncodeStored({ aDelta, aInput.writer, aInput.nonce });
  const auto written =
    aStore.put(AcceptedObjectName(aDelta.stamp.version), text, kCreateOnly);
  if (written) {
    return ConfirmWrite(aStore, aDelta, written.assume_value(), "");
  }
  const PlatformError& error = written.assume_error();
  if (error.code == PlatformErrorCode::Conflict ||
      error.code == PlatformErrorCode::TimedOut) {
    return ResolveUncertainWrite(aStore, aInput, aDelta);
  }
  RoundOutcome outcome = FailureOutcome(error);
  outcome.isTooLarge = error.code == PlatformErrorCode::TooLarge;
  return outcome;
}

/**
 * Returns a rejection for each edit of a version that the platform refuses to
 * store.
 */
std::vector<Rejection>
TooLargeRejections(const Snapshot& aHeld, const Delta& aDelta)
{
  const std::string reason = fmt::format(
    "the platform refuses to store version {} with {} changed entries: too "
    "large",
    aDelta.stamp.version,
    aDelta.changed.size());
  std::vector<Rejection> rejections;
  for (const ChangedEntry& changed : aDelta.changed) {
    rejections.push_back(
      { changed.name, changed.revision, CatalogueErrorCode::TooLarge, reason });
  }
  for (const std::string& name : aDelta.removed) {
    rejections.push_back({ name,
                           aHeld.Find(name)->revision,
                           CatalogueErrorCode::TooLarge,
                           reason });
  }
  return rejections;
}

RoundOutcome
PublishDecision(const ObjectStore& aStore,
                const RoundInput& aInput,
                Decision aDecision)
{
  RoundOutcome outcome;
  if (aDecision.delta) {
    outcome = Publish(aStore, aInput, *aDecision.delta);
  } else {
    outcome.result = RoundResult::Nothing;
  }
  outcome.rejections = std::move(aDecision.rejections);
  if (outcome.isTooLarge) {
    outcome.result = RoundResult::Nothing;
    std::ranges::move(TooLargeRejections(*aInput.held, *aDecision.delta),
                      std::back_inserter(outcome.rejections));
    std::ranges::sort(outcome.rejections, {}, &Rejection::entry);
  }
  outcome.hasDecision = outcome.result == RoundResult::Nothing ||
                        outcome.result == RoundResult::Published;
  return outcome;
}

RoundOutcome
StartNewEpoch(const ObjectStore& aStore,
              const RoundInput& aInput,
              const ObjectList& aCatalogue)
{
  if (!aInput.mayStartEpoch) {
    RoundOutcome outcome;
    outcome.result = RoundResult::Restored;
    outcome.revision = aCatalogue.revision;
    return outcome;
  }
  const Decision decision =
    DecideNextEpoch(*aInput.held, aCatalogue, aInput.floorRevision);
  RoundOutcome outcome = Publish(aStore, aInput, *decision.delta);
  outcome.detail += " in a new store epoch";
  return outcome;
}

} // namespace

RoundOutcome
RunAcceptorRound(const ObjectStore& aStore, const RoundInput& aInput)
{
  const auto position = FindPosition(aStore, *aInput.held);
  if (!position) {
    return FailureOutcome(position.assume_error());
  }
  if (position.assume_value() == Position::Behind) {
    return AdoptionOutcome(ReadChain(aStore, aInput.held->Version()));
  }
  const auto catalogue = aStore.list(std::string(kCataloguePrefix));
  if (!catalogue) {
    return FailureOutcome(catalogue.assume_error());
  }
  const ObjectList& list = catalogue.assume_value();
  const bool isStoreRestored = list.revision < aInput.held->HighestRevision();
  if (position.assume_value() != Position::Present || isStoreRestored) {
    return StartNewEpoch(aStore, aInput, list);
  }
  return PublishDecision(aStore, aInput, DecideNext(*aInput.held, list));
}

} // namespace lacewingwharf
