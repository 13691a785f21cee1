#include "distribution/edits.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

/**
 * Returns false for objects that are unchanged since they were accepted, and
 * for older objects that a restored store brought back. Those have a revision
 * that is not above the floor revision.
 */
bool
IsEdit(const Snapshot& aHeld,
       const AcceptedEntry* aOld,
       const StoredObject& aObject)
{
  if (aObject.revision <= aHeld.Stamp().floorRevision) {
    return false;
  }
  if (aOld == nullptr) {
    return true;
  }
  return aObject.revision > aOld->revision && aObject.value != aOld->text;
}

} // namespace

Edits::Edits(const Snapshot& aHeld, const ObjectList& aCatalogue)
  : held(aHeld)
{
  for (const StoredObject& object : aCatalogue.objects) {
    if (!object.isDeleted && object.name.starts_with(kCataloguePrefix)) {
      this->AddObject(object);
    }
  }
  this->AddDeletions(aCatalogue);
  this->RejectIncompleteChangeSets();
}

void
Edits::AddObject(const StoredObject& aObject)
{
  const std::string name = aObject.name.substr(kCataloguePrefix.size());
  this->listedRevisions.emplace(name, aObject.revision);
  const AcceptedEntry* const old = this->held.Find(name);
  const bool isEdit = IsEdit(this->held, old, aObject);
  if (!isEdit) {
    if (old != nullptr && old->entry.changeSet) {
      ++this->listedCountByChangeSet[old->entry.changeSet->id];
    }
    return;
  }
  auto parsed = ParseEntry(name, aObject.value);
  if (!parsed) {
    const CatalogueError& error = parsed.assume_error();
    this->rejections.push_back(
      { name, aObject.revision, error.code, error.detail });
    return;
  }
  const auto value = std::make_shared<const AcceptedEntry>(AcceptedEntry{
    std::move(parsed).assume_value(), aObject.revision, aObject.value });
  if (value->entry.changeSet) {
    ++this->listedCountByChangeSet[value->entry.changeSet->id];
  }
  this->AddEdit(name, { name, aObject.revision, value });
}

void
Edits::AddEdit(const std::string& aName, Edit aEdit)
{
  std::size_t group = this->groups.size();
  if (aEdit.value && aEdit.value->entry.changeSet) {
    const std::string& id = aEdit.value->entry.changeSet->id;
    group = this->groupByChangeSet.emplace(id, group).first->second;
  }
  if (group == this->groups.size()) {
    this->groups.emplace_back();
  }
  this->groupByEntry[aName] = group;
  this->groups[group].edits.push_back(std::move(aEdit));
}

void
Edits::AddDeletions(const ObjectList& aCatalogue)
{
  for (const auto& [name, accepted] : this->held.Entries()) {
    // Entries with revision 0 were lost by a restored store, so they were not
    // deleted by an operator. If an entry is newer than the list, the list was
    // read before the entry was written.
    const bool shouldBeListed =
      accepted->revision > 0 && accepted->revision <= aCatalogue.revision;
    if (shouldBeListed && !this->listedRevisions.contains(name)) {
      this->AddEdit(name, { name, accepted->revision, nullptr });
    }
  }
}

void
Edits::RejectIncompleteChangeSets()
{
  for (const auto& [id, index] : this->groupByChangeSet) {
    EditGroup& group = this->groups[index];
    const int present = this->listedCountByChangeSet[id];
    const bool isComplete =
      std::ranges::all_of(group.edits, [present](const Edit& aEdit) {
        return aEdit.value->entry.changeSet->size == present;
      });
    if (!isComplete) {
      this->Reject(
        group,
        CatalogueErrorCode::IncompleteChange,
        fmt::format("change set '{}' has {} valid entries, not as many as its "
                    "size says",
                    id,
                    present));
    }
  }
}

AcceptedEntries
Edits::Apply() const
{
  AcceptedEntries entries = this->held.Entries();
  for (const EditGroup& group : this->groups) {
    if (group.isRejected) {
      continue;
    }
    for (const Edit& edit : group.edits) {
      if (edit.value) {
        entries[edit.name] = edit.value;
      } else {
        entries.erase(edit.name);
      }
    }
  }
  return entries;
}

EditGroup*
Edits::FindPendingGroup(const std::string& aName)
{
  const auto found = this->groupByEntry.find(aName);
  if (found == this->groupByEntry.end() ||
      this->groups[found->second].isRejected) {
    return nullptr;
  }
  return &this->groups[found->second];
}

const Edit*
Edits::FindPendingEdit(const std::string& aName)
{
  const EditGroup* const group = this->FindPendingGroup(aName);
  if (group == nullptr) {
    return nullptr;
  }
  return &*std::ranges::find(group->edits, aName, &Edit::name);
}

EditGroup*
Edits::FindLargestPendingGroup()
{
  using Rank = std::pair<std::size_t, std::int64_t>;
  EditGroup* largest = nullptr;
  Rank highest;
  for (EditGroup& group : this->groups) {
    Rank rank{ 0, 0 };
    for (const Edit& edit : group.edits) {
      rank.first += edit.value ? edit.value->text.size() : 0;
      rank.second = std::max(rank.second, edit.revision);
    }
    if (!group.isRejected && (largest == nullptr || rank > highest)) {
      largest = &group;
      highest = rank;
    }
  }
  return largest;
}

void
Edits::Reject(EditGroup& aGroup,
              CatalogueErrorCode aCode,
              const std::string& aReason)
{
  aGroup.isRejected = true;
  for (const Edit& edit : aGroup.edits) {
    this->rejections.push_back({ edit.name, edit.revision, aCode, aReason });
  }
}

bool
Edits::HasPendingEdits() const
{
  return std::ranges::any_of(
    this->groups, [](const EditGroup& aGroup) { return !aGroup.isRejected; });
}

std::vector<Rejection>
Edits::TakeRejections()
{
  std::ranges::sort(this->rejections, {}, &Rejection::entry);
  return std::move(this->rejections);
}

} // namespace lacewingwharf
