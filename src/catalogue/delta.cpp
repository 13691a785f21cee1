#include "catalogue/delta.h"

#include <fmt/format.h>

#include <utility>

namespace lacewingwharf {

namespace {

bool
IsUnchanged(const AcceptedEntry* aOld,
            std::int64_t aRevision,
            std::string_view aText)
{
  return aOld != nullptr && aOld->revision == aRevision && aOld->text == aText;
}

CatalogueResult<std::shared_ptr<const AcceptedEntry>>
ParseChangedEntry(const ChangedEntry& aChanged)
{
  auto parsed = ParseEntry(aChanged.name, aChanged.text);
  if (!parsed) {
    return std::move(parsed).assume_error();
  }
  return std::make_shared<const AcceptedEntry>(AcceptedEntry{
    std::move(parsed).assume_value(), aChanged.revision, aChanged.text });
}

CatalogueResult<AcceptedEntries>
ApplyChanges(const Snapshot& aBase, const Delta& aDelta)
{
  AcceptedEntries entries =
    aDelta.isWhole ? AcceptedEntries{} : aBase.Entries();
  for (const std::string& name : aDelta.removed) {
    entries.erase(name);
  }
  for (const ChangedEntry& changed : aDelta.changed) {
    const auto old = aBase.Entries().find(changed.name);
    if (old != aBase.Entries().end() &&
        IsUnchanged(old->second.get(), changed.revision, changed.text)) {
      entries[changed.name] = old->second;
      continue;
    }
    auto parsed = ParseChangedEntry(changed);
    if (!parsed) {
      return std::move(parsed).assume_error();
    }
    entries[changed.name] = std::move(parsed).assume_value();
  }
  return entries;
}

ChangedEntry
MakeChangedEntry(const std::string& aName, const AcceptedEntry& aEntry)
{
  return { aName, aEntry.revision, aEntry.text };
}

} // namespace

Delta
DeltaBetween(const Snapshot& aBase, const Snapshot& aNext)
{
  Delta delta;
  delta.base = aBase.Version();
  delta.stamp = aNext.Stamp();
  delta.contentHash = aNext.ContentHash();
  for (const auto& [name, accepted] : aNext.Entries()) {
    if (!IsUnchanged(aBase.Find(name), accepted->revision, accepted->text)) {
      delta.changed.push_back(MakeChangedEntry(name, *accepted));
    }
  }
  for (const auto& [name, accepted] : aBase.Entries()) {
    if (aNext.Find(name) == nullptr) {
      delta.removed.push_back(name);
    }
  }
  return delta;
}

Delta
MakeWholeDelta(const Snapshot& aSnapshot)
{
  Delta delta;
  delta.stamp = aSnapshot.Stamp();
  delta.contentHash = aSnapshot.ContentHash();
  delta.isWhole = true;
  delta.changed.reserve(aSnapshot.Entries().size());
  for (const auto& [name, accepted] : aSnapshot.Entries()) {
    delta.changed.push_back(MakeChangedEntry(name, *accepted));
  }
  return delta;
}

CatalogueResult<Delta>
DeltaToEntries(const Snapshot& aBase,
               VersionStamp aStamp,
               std::vector<ChangedEntry> aEntries)
{
  Delta whole;
  whole.isWhole = true;
  whole.changed = std::move(aEntries);
  auto entries = ApplyChanges(aBase, whole);
  if (!entries) {
    return std::move(entries).assume_error();
  }
  auto next = Snapshot::Build(aStamp, std::move(entries).assume_value());
  if (!next) {
    return std::move(next).assume_error();
  }
  return DeltaBetween(aBase, *next.assume_value());
}

CatalogueResult<SnapshotPtr>
Apply(const Snapshot& aBase, const Delta& aDelta)
{
  if (!aDelta.isWhole && aDelta.base != aBase.Version()) {
    return CatalogueError{ CatalogueErrorCode::WrongBase,
                           "",
                           fmt::format(
                             "the delta to version {} has base version {}, "
                             "but was applied to version {}",
                             aDelta.stamp.version,
                             aDelta.base,
                             aBase.Version()) };
  }
  auto entries = ApplyChanges(aBase, aDelta);
  if (!entries) {
    return std::move(entries).assume_error();
  }
  auto next = Snapshot::Build(aDelta.stamp, std::move(entries).assume_value());
  if (next && next.assume_value()->ContentHash() != aDelta.contentHash) {
    return CatalogueError{
      CatalogueErrorCode::HashMismatch,
      "",
      fmt::format("the content of version {} does not match its hash",
                  aDelta.stamp.version)
    };
  }
  return next;
}

} // namespace lacewingwharf
