#include "distribution/acceptedchain.h"

#include "common/log.h"
#include "distribution/storedtext.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// The newest snapshot and the one before it. A reader that has just listed the
// older snapshot can still read the deltas that follow it.
constexpr std::size_t kKeptSnapshots = 2;

std::vector<std::int64_t>
ListedVersions(std::string_view aPrefix, const ObjectList& aList)
{
  std::vector<std::int64_t> versions;
  for (const StoredObject& object : aList.objects) {
    versions.push_back(ParseVersionOfName(aPrefix, object.name));
  }
  std::ranges::sort(versions);
  return versions;
}

/**
 * Appends the deltas that continue from aVersion without a gap, and returns the
 * last version reached. A newer whole version never leaves a gap.
 */
std::int64_t
AppendConsecutiveDeltas(const std::vector<AcceptedObject>& aObjects,
                        std::int64_t aVersion,
                        std::vector<Delta>& aDeltas)
{
  std::int64_t version = aVersion;
  for (const AcceptedObject& object : aObjects) {
    const Delta& delta = object.delta;
    const bool isApplicable = delta.isWhole || delta.base == version;
    if (delta.stamp.version > version && isApplicable) {
      aDeltas.push_back(delta);
      version = delta.stamp.version;
    }
  }
  return version;
}

/** Applies a chain that starts with a whole version or a delta on version 0. */
SnapshotPtr
Replay(const std::vector<Delta>& aDeltas)
{
  SnapshotPtr snapshot = Snapshot::Empty();
  for (const Delta& delta : aDeltas) {
    auto next = Apply(*snapshot, delta);
    if (!next) {
      kLog.Error("accepted version {} cannot be applied: {}",
                 delta.stamp.version,
                 next.assume_error().detail);
      break;
    }
    snapshot = std::move(next).assume_value();
  }
  return snapshot;
}

void
AppendNewestSnapshot(const ObjectList& aSnapshots, std::vector<Delta>& aDeltas)
{
  const auto newest =
    std::ranges::max_element(aSnapshots.objects, {}, &StoredObject::name);
  if (newest == aSnapshots.objects.end()) {
    return;
  }
  auto decoded = DecodeStored(newest->value);
  if (decoded) {
    aDeltas.push_back(std::move(decoded).assume_value().delta);
  } else {
    kLog.Error(
      "{} is malformed: {}", newest->name, decoded.assume_error().detail);
  }
}

PlatformResult<ChainReadResult>
ReadAsWhole(const ObjectStore& aStore,
            const std::vector<AcceptedObject>& aObjects)
{
  const auto snapshots = aStore.list(std::string(kSnapshotPrefix));
  if (!snapshots) {
    return snapshots.assume_error();
  }
  std::vector<Delta> deltas;
  AppendNewestSnapshot(snapshots.assume_value(), deltas);
  const std::int64_t start = deltas.empty() ? 0 : deltas.back().stamp.version;
  AppendConsecutiveDeltas(aObjects, start, deltas);
  const SnapshotPtr newest = Replay(deltas);
  ChainReadResult read;
  read.newest = newest->Version();
  if (read.newest > 0) {
    read.deltas.push_back(MakeWholeDelta(*newest));
  }
  return read;
}

PlatformResult<int>
RemoveOlderVersions(const ObjectStore& aStore,
                    std::string_view aPrefix,
                    const std::vector<std::int64_t>& aVersions,
                    std::int64_t aOldestKept)
{
  int removed = 0;
  for (const std::int64_t version : aVersions) {
    if (version >= aOldestKept) {
      break;
    }
    const std::string name = fmt::format("{}{:020}", aPrefix, version);
    const auto result = aStore.remove(name, kAnyRevision);
    if (!result && result.assume_error().code != PlatformErrorCode::NotFound) {
      return result.assume_error();
    }
    ++removed;
  }
  return removed;
}

} // namespace

std::string
AcceptedObjectName(std::int64_t aVersion)
{
  return fmt::format("{}{:020}", kAcceptedPrefix, aVersion);
}

std::string
SnapshotObjectName(std::int64_t aVersion)
{
  return fmt::format("{}{:020}", kSnapshotPrefix, aVersion);
}

std::int64_t
ParseVersionOfName(std::string_view aPrefix, std::string_view aName)
{
  if (!aName.starts_with(aPrefix)) {
    return 0;
  }
  const std::string_view digits = aName.substr(aPrefix.size());
  std::int64_t version = 0;
  const char* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, version);
  return parsed.ptr == end ? version : 0;
}

std::vector<AcceptedObject>
DecodeAcceptedList(const ObjectList& aList)
{
  std::vector<AcceptedObject> objects;
  for (const StoredObject& object : aList.objects) {
    if (object.isDeleted || !object.name.starts_with(kAcceptedPrefix)) {
      continue;
    }
    auto decoded = DecodeStored(object.value);
    if (!decoded) {
      kLog.Error(
        "{} is malformed: {}", object.name, decoded.assume_error().detail);
      continue;
    }
    objects.push_back(std::move(decoded).assume_value());
  }
  std::ranges::sort(objects, {}, [](const AcceptedObject& aObject) {
    return aObject.delta.stamp.version;
  });
  return objects;
}

PlatformResult<ChainReadResult>
ReadChain(const ObjectStore& aStore, std::int64_t aHeld)
{
  const auto list = aStore.list(std::string(kAcceptedPrefix));
  if (!list) {
    return list.assume_error();
  }
  const auto objects = DecodeAcceptedList(list.assume_value());
  ChainReadResult read;
  read.newest = objects.empty() ? 0 : objects.back().delta.stamp.version;
  const std::int64_t reached =
    AppendConsecutiveDeltas(objects, aHeld, read.deltas);
  if (reached >= read.newest) {
    return read;
  }
  return ReadAsWhole(aStore, objects);
}

PlatformResult<ChainReadResult>
ReadNewestWhole(const ObjectStore& aStore)
{
  const auto list = aStore.list(std::string(kAcceptedPrefix));
  if (!list) {
    return list.assume_error();
  }
  return ReadAsWhole(aStore, DecodeAcceptedList(list.assume_value()));
}

PlatformResult<CompactionCounts>
WriteSnapshot(const ObjectStore& aStore,
              const Snapshot& aSnapshot,
              const std::string& aWriter)
{
  const std::string text =
    EncodeStored({ MakeWholeDelta(aSnapshot), aWriter, aWriter });
  const auto written =
    aStore.put(SnapshotObjectName(aSnapshot.Version()), text, kCreateOnly);
  if (!written && written.assume_error().code != PlatformErrorCode::Conflict) {
    return written.assume_error();
  }
  const auto snapshots = aStore.list(std::string(kSnapshotPrefix));
  if (!snapshots) {
    return snapshots.assume_error();
  }
  const auto versions =
    ListedVersions(kSnapshotPrefix, snapshots.assume_value());
  if (versions.size() < kKeptSnapshots) {
    return CompactionCounts{};
  }
  const std::int64_t oldestKept = versions[versions.size() - kKeptSnapshots];
  const auto accepted = aStore.list(std::string(kAcceptedPrefix));
  if (!accepted) {
    return accepted.assume_error();
  }
  const auto removedAccepted = RemoveOlderVersions(
    aStore,
    kAcceptedPrefix,
    ListedVersions(kAcceptedPrefix, accepted.assume_value()),
    oldestKept);
  if (!removedAccepted) {
    return removedAccepted.assume_error();
  }
  const auto removedSnapshots =
    RemoveOlderVersions(aStore, kSnapshotPrefix, versions, oldestKept);
  if (!removedSnapshots) {
    return removedSnapshots.assume_error();
  }
  return CompactionCounts{ removedAccepted.assume_value(),
                           removedSnapshots.assume_value() };
}

} // namespace lacewingwharf
