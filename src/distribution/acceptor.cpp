#include "distribution/acceptor.h"

#include "catalogue/validation.h"
#include "distribution/edits.h"
#include "distribution/storedtext.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

/**
 * The first version of an epoch is the next multiple of this step. A daemon
 * that missed the last versions of the old epoch and a daemon that has them
 * then choose the same number, so that the create-only write lets only one of
 * them succeed. No number of the old epoch is reused with different content.
 */
constexpr std::int64_t kEpochVersionStep = 1024;

/**
 * Returns the edit group to reject for a conflict. A deleted service is kept
 * while a route refers to it, because calls on that route would fail. If two
 * entries have the same match, the later edit is rejected.
 */
EditGroup*
GroupToReject(Edits& aEdits, const Conflict& aConflict)
{
  EditGroup* const group = aEdits.FindPendingGroup(aConflict.entry);
  EditGroup* const other = aEdits.FindPendingGroup(aConflict.other);
  if (group == nullptr || other == nullptr) {
    return group == nullptr ? other : group;
  }
  const Edit& edit = *aEdits.FindPendingEdit(aConflict.entry);
  const Edit& otherEdit = *aEdits.FindPendingEdit(aConflict.other);
  if (aConflict.code == CatalogueErrorCode::DanglingReference) {
    return otherEdit.value ? group : other;
  }
  return edit.revision >= otherEdit.revision ? group : other;
}

std::size_t
TextBytes(const Snapshot& aSnapshot)
{
  std::size_t bytes = 0;
  for (const auto& [name, accepted] : aSnapshot.Entries()) {
    bytes += name.size() + accepted->text.size();
  }
  return bytes;
}

/**
 * Rejects the edit group behind the first conflict that has one. Returns true
 * if a group was rejected; the remaining edits must then be applied and checked
 * again.
 */
bool
RejectFirstConflict(Edits& aEdits, const AcceptedEntries& aEntries)
{
  for (const Conflict& conflict : FindConflicts(aEntries)) {
    EditGroup* const group = GroupToReject(aEdits, conflict);
    if (group != nullptr) {
      aEdits.Reject(*group, conflict.code, conflict.detail);
      return true;
    }
  }
  return false;
}

AcceptedEntries
ApplyWithoutConflicts(Edits& aEdits)
{
  AcceptedEntries entries = aEdits.Apply();
  // Each iteration rejects one group, so the loop terminates.
  while (RejectFirstConflict(aEdits, entries)) {
    entries = aEdits.Apply();
  }
  return entries;
}

/**
 * Builds the version with all pending edits. Returns null if no edit is
 * pending.
 */
SnapshotPtr
BuildNextVersion(const Snapshot& aHeld, Edits& aEdits)
{
  AcceptedEntries entries = ApplyWithoutConflicts(aEdits);
  if (!aEdits.HasPendingEdits()) {
    return nullptr;
  }
  VersionStamp stamp = aHeld.Stamp();
  ++stamp.version;
  auto next = Snapshot::Build(stamp, std::move(entries));
  return next ? std::move(next).assume_value() : nullptr;
}

/**
 * Rejects the largest edits until the store can keep the catalogue as one
 * snapshot. Smaller edits made at the same time are still accepted. A version
 * that is not larger than the held one is always accepted.
 */
SnapshotPtr
BuildNextVersionThatFits(const Snapshot& aHeld, Edits& aEdits)
{
  SnapshotPtr next = BuildNextVersion(aHeld, aEdits);
  while (next && !FitsInStore(*next) && TextBytes(*next) > TextBytes(aHeld)) {
    aEdits.Reject(*aEdits.FindLargestPendingGroup(),
                  CatalogueErrorCode::TooLarge,
                  fmt::format("the catalogue would not fit in one object of "
                              "{} bytes of the platform",
                              kMaxStoredBytes));
    next = BuildNextVersion(aHeld, aEdits);
  }
  return next;
}

} // namespace

Decision
DecideNext(const Snapshot& aHeld, const ObjectList& aCatalogue)
{
  Edits edits(aHeld, aCatalogue);
  Decision decision;
  decision.next = BuildNextVersionThatFits(aHeld, edits);
  if (decision.next) {
    decision.delta = DeltaBetween(aHeld, *decision.next);
  }
  decision.rejections = edits.TakeRejections();
  return decision;
}

Decision
DecideNextEpoch(const Snapshot& aHeld,
                const ObjectList& aCatalogue,
                std::int64_t aFloorRevision)
{
  AcceptedEntries entries;
  for (const auto& [name, accepted] : aHeld.Entries()) {
    AcceptedEntry lost = *accepted;
    lost.revision = 0;
    entries[name] = std::make_shared<const AcceptedEntry>(std::move(lost));
  }
  for (const StoredObject& object : aCatalogue.objects) {
    const std::string name = object.name.substr(kCataloguePrefix.size());
    const auto found = entries.find(name);
    if (found != entries.end()) {
      AcceptedEntry present = *found->second;
      present.revision = std::min(object.revision, aFloorRevision);
      found->second = std::make_shared<const AcceptedEntry>(std::move(present));
    }
  }
  VersionStamp stamp = aHeld.Stamp();
  stamp.version = (stamp.version / kEpochVersionStep + 1) * kEpochVersionStep;
  ++stamp.storeEpoch;
  stamp.floorRevision = aFloorRevision;
  Decision decision;
  auto next = Snapshot::Build(stamp, std::move(entries));
  if (next) {
    decision.next = std::move(next).assume_value();
    decision.delta = MakeWholeDelta(*decision.next);
  }
  return decision;
}

} // namespace lacewingwharf
