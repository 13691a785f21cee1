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

/** Where the held version stands among the store's accepted versions. */
enum class Position
{
  Present,  // The store has the held version with the same content.
  Behind,   // The store is ahead and no longer has the held version.
  Restored, // The store has nothing as new as the held version.
  Diverged  // The store has other content under the held version's number.
};

RoundOutcome
FailedBy(const PlatformError& aError)
{
  RoundOutcome outcome;
  outcome.detail = fmt::format(
    "{} {}", kPlatformErrorNames.NameOf(aError.code), aError.detail);
  return outcome;
}

RoundOutcome
AdoptedFrom(PlatformResult<ChainRead> aRead)
{
  if (!aRead) {
    return FailedBy(aRead.assume_error());
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
  const auto object = aStore.get(AcceptedName(aHeld.Version()));
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
 * A create-only write is no fence for a number whose object was compacted
 * away: an acceptor that paused for more than 64 versions would create it
 * again. Then the object before it is gone too.
 */
PlatformResult<bool>
IsStray(const ObjectStore& aStore, const Delta& aDelta)
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
  const auto base = aStore.get(AcceptedName(aDelta.base));
  if (base) {
    return false;
  }
  if (base.assume_error().code == PlatformErrorCode::NotFound) {
    return true;
  }
  return base.assume_error();
}

RoundOutcome
Published(const Delta& aDelta, std::string aDetail)
{
  RoundOutcome outcome;
  outcome.result = RoundResult::Published;
  outcome.deltas = { aDelta };
  outcome.detail = std::move(aDetail);
  return outcome;
}

RoundOutcome
CheckWritten(const ObjectStore& aStore,
             const Delta& aDelta,
             std::int64_t aRevision,
             std::string aDetail)
{
  const auto isStray = IsStray(aStore, aDelta);
  if (!isStray) {
    return FailedBy(isStray.assume_error());
  }
  if (!isStray.assume_value()) {
    return Published(aDelta, std::move(aDetail));
  }
  const auto removed =
    aStore.remove(AcceptedName(aDelta.stamp.version), aRevision);
  if (!removed) {
    return FailedBy(removed.assume_error());
  }
  return AdoptedFrom(ReadNewestWhole(aStore));
}

/** After a lost answer or a conflict: whose object is it? */
RoundOutcome
ReadBack(const ObjectStore& aStore,
         const RoundInput& aInput,
         const Delta& aDelta)
{
  const auto object = aStore.get(AcceptedName(aDelta.stamp.version));
  if (!object) {
    return FailedBy(object.assume_error());
  }
  const StoredObject& found = object.assume_value();
  const auto decoded = DecodeStored(found.value);
  if (decoded && decoded.assume_value().nonce == aInput.nonce) {
    return CheckWritten(
      aStore, aDelta, found.revision, "recognised by its nonce");
  }
  return AdoptedFrom(ReadChain(aStore, aInput.held->Version()));
}

RoundOutcome
Publish(const ObjectStore& aStore,
        const RoundInput& aInput,
        const Delta& aDelta)
{
  const std::string text =
    EncodeStored({ aDelta, aInput.writer, aInput.nonce });
  const auto written =
    aStore.put(AcceptedName(aDelta.stamp.version), text, kCreateOnly);
  if (written) {
    return CheckWritten(aStore, aDelta, written.assume_value(), "");
  }
  const PlatformError& error = written.assume_error();
  if (error.code == PlatformErrorCode::Conflict ||
      error.code == PlatformErrorCode::TimedOut) {
    return ReadBack(aStore, aInput, aDelta);
  }
  RoundOutcome outcome = FailedBy(error);
  outcome.isTooLarge = error.code == PlatformErrorCode::TooLarge;
  return outcome;
}

/** Every edit of a version that the platform refuses to store. */
std::vector<Rejection>
TooLargeEdits(const Snapshot& aHeld, const Delta& aDelta)
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
    std::ranges::move(TooLargeEdits(*aInput.held, *aDecision.delta),
                      std::back_inserter(outcome.rejections));
    std::ranges::sort(outcome.rejections, {}, &Rejection::entry);
  }
  outcome.isDecided = outcome.result == RoundResult::Nothing ||
                      outcome.result == RoundResult::Published;
  return outcome;
}

RoundOutcome
RestartEpoch(const ObjectStore& aStore,
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
    return FailedBy(position.assume_error());
  }
  if (position.assume_value() == Position::Behind) {
    return AdoptedFrom(ReadChain(aStore, aInput.held->Version()));
  }
  const auto catalogue = aStore.list(std::string(kCataloguePrefix));
  if (!catalogue) {
    return FailedBy(catalogue.assume_error());
  }
  const ObjectList& list = catalogue.assume_value();
  const bool isOlder = list.revision < aInput.held->HighestRevision();
  if (position.assume_value() != Position::Present || isOlder) {
    return RestartEpoch(aStore, aInput, list);
  }
  return PublishDecision(aStore, aInput, DecideNext(*aInput.held, list));
}

} // namespace lacewingwharf
