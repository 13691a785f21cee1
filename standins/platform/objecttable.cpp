#include "objecttable.h"

#include <algorithm>

namespace lacewingwharf {

ObjectTable::ObjectTable(std::size_t aMaxHistory)
  : maxHistory(aMaxHistory)
{
}

const StoredObject*
ObjectTable::Find(const std::string& aName) const
{
  const auto found = this->state.objects.find(aName);
  return found == this->state.objects.end() ? nullptr : &found->second;
}

WriteResult
ObjectTable::Put(const std::string& aName,
                 const std::string& aValue,
                 std::int64_t aExpected)
{
  if (auto conflict = this->CheckExpected(aName, aExpected)) {
    return *conflict;
  }
  StoredObject object{ aName, ++this->state.revision, aValue, false, {} };
  this->state.objects[aName] = object;
  this->AppendToHistory(std::move(object));
  return { std::nullopt, this->state.revision };
}

WriteResult
ObjectTable::Remove(const std::string& aName, std::int64_t aExpected)
{
  if (this->Find(aName) == nullptr) {
    return { PlatformErrorCode::NotFound, 0 };
  }
  if (auto conflict = this->CheckExpected(aName, aExpected)) {
    return *conflict;
  }
  this->state.objects.erase(aName);
  this->AppendToHistory({ aName, ++this->state.revision, {}, true, {} });
  return { std::nullopt, this->state.revision };
}

ObjectList
ObjectTable::List(const std::string& aPrefix) const
{
  ObjectList list;
  list.revision = this->state.revision;
  for (auto object = this->state.objects.lower_bound(aPrefix);
       object != this->state.objects.end() &&
       object->first.starts_with(aPrefix);
       ++object) {
    list.objects.push_back(object->second);
  }
  return list;
}

PlatformResult<ObjectList>
ObjectTable::Changes(const std::string& aPrefix, std::int64_t aSince) const
{
  // A revision above the current one was read before Restore() went back.
  if (aSince < this->compactedRevision || aSince > this->state.revision) {
    return failure(PlatformError{ PlatformErrorCode::Compacted, {} });
  }
  std::map<std::string, const StoredObject*> lastChanges;
  for (auto change = std::ranges::upper_bound(
         this->history, aSince, {}, &StoredObject::revision);
       change != this->history.end();
       ++change) {
    if (change->name.starts_with(aPrefix)) {
      lastChanges[change->name] = &*change;
    }
  }
  ObjectList list;
  list.revision = this->state.revision;
  for (const auto& [name, change] : lastChanges) {
    list.objects.push_back(*change);
  }
  std::ranges::sort(list.objects, {}, &StoredObject::revision);
  return list;
}

void
ObjectTable::Compact()
{
  this->history.clear();
  this->compactedRevision = this->state.revision;
}

void
ObjectTable::Save(const std::string& aName)
{
  this->savedStates[aName] = this->state;
}

bool
ObjectTable::Restore(const std::string& aName)
{
  const auto saved = this->savedStates.find(aName);
  if (saved == this->savedStates.end()) {
    return false;
  }
  this->state = saved->second;
  this->Compact();
  return true;
}

std::optional<WriteResult>
ObjectTable::CheckExpected(const std::string& aName,
                           std::int64_t aExpected) const
{
  const StoredObject* object = this->Find(aName);
  const std::int64_t present = object == nullptr ? 0 : object->revision;
  if (aExpected == kAnyRevision || aExpected == present) {
    return std::nullopt;
  }
  return WriteResult{ PlatformErrorCode::Conflict, present };
}

void
ObjectTable::AppendToHistory(StoredObject aChange)
{
  this->history.push_back(std::move(aChange));
  while (this->history.size() > this->maxHistory) {
    this->compactedRevision = this->history.front().revision;
    this->history.pop_front();
  }
}

} // namespace lacewingwharf
