#pragma once

#include "store/objectstore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/**
 * An object store in memory for tests. It can be unavailable, lose the answer
 * to a write that took effect, and be restored to an older state.
 */
class FakeStore
{
public:
  using Objects = std::map<std::string, StoredObject>;

  bool isDown = false;
  std::size_t maxValueBytes = 1U << 20U;
  int refusedAsTooLarge = 0;
  int answersToLose = 0;           // To the next writes under accepted/.
  std::function<void()> beforePut; // Runs once before the next such write.
  bool mustLoseNextAnswer = false; // To the next write of any name.
  std::map<std::string, int> puts; // Successful writes by name.
  int gets = 0;
  std::optional<std::int64_t> era; // Reported in each response if set.
  std::function<void()> onList;    // Runs before each list.

  ObjectStore Hooks()
  {
    ObjectStore store;
    store.get = [this](const std::string& aName) {
      return this->Respond(this->Get(aName));
    };
    store.put = [this](const std::string& aName,
                       const std::string& aValue,
                       std::int64_t aExpected) {
      return this->Respond(this->Put(aName, aValue, aExpected));
    };
    store.remove = [this](const std::string& aName, std::int64_t) {
      return this->Respond(this->Remove(aName));
    };
    store.list = [this](const std::string& aPrefix) {
      return this->Respond(this->List(aPrefix));
    };
    store.watch =
      [this](const std::string& aPrefix, std::int64_t aSince, Millis) {
        return this->Respond(this->Watch(aPrefix, aSince));
      };
    return store;
  }

  /** Writes as an operator does. The simulated failures do not apply. */
  void Edit(const std::string& aName, const std::string& aValue)
  {
    this->Write({ aName, 0, aValue, false });
  }

  void Erase(const std::string& aName) { this->Write({ aName, 0, "", true }); }

  const Objects& All() const { return this->objects; }

  /** Restores an older state and its revision; the era rises if it is set. */
  void Restore(const Objects& aObjects, std::int64_t aRevision)
  {
    this->era = this->era ? std::optional(*this->era + 1) : std::nullopt;
    this->objects = aObjects;
    this->revision = aRevision;
    this->events.clear();
  }

  std::int64_t Revision() const { return this->revision; }

private:
  template<typename Value>
  PlatformResult<Value> Respond(PlatformResult<Value> aResult) const
  {
    // A store that is down does not respond.
    aResult.era = this->isDown ? std::nullopt : this->era;
    return aResult;
  }

  static PlatformError Error(PlatformErrorCode aCode) { return { aCode, "" }; }

  PlatformResult<StoredObject> Get(const std::string& aName)
  {
    ++this->gets;
    if (this->isDown) {
      return Error(PlatformErrorCode::TimedOut);
    }
    const auto found = this->objects.find(aName);
    if (found == this->objects.end()) {
      return Error(PlatformErrorCode::NotFound);
    }
    return found->second;
  }

  PlatformResult<std::int64_t> Put(const std::string& aName,
                                   const std::string& aValue,
                                   std::int64_t aExpected)
  {
    const bool isAccepted = aName.starts_with("accepted/");
    if (isAccepted && this->beforePut) {
      const auto hook = std::move(this->beforePut);
      this->beforePut = nullptr;
      hook();
    }
    if (this->isDown) {
      return Error(PlatformErrorCode::Unreachable);
    }
    if (aValue.size() > this->maxValueBytes) {
      ++this->refusedAsTooLarge;
      return Error(PlatformErrorCode::TooLarge);
    }
    const auto present = this->objects.find(aName);
    const std::int64_t presentRevision =
      present == this->objects.end() ? kCreateOnly : present->second.revision;
    if (aExpected != kAnyRevision && aExpected != presentRevision) {
      return Error(PlatformErrorCode::Conflict);
    }
    ++this->puts[aName];
    this->Write({ aName, 0, aValue, false });
    if (isAccepted && this->answersToLose > 0) {
      --this->answersToLose;
      return Error(PlatformErrorCode::TimedOut);
    }
    if (std::exchange(this->mustLoseNextAnswer, false)) {
      return Error(PlatformErrorCode::TimedOut);
    }
    return this->revision;
  }

  PlatformResult<std::int64_t> Remove(const std::string& aName)
  {
    if (this->isDown) {
      return Error(PlatformErrorCode::Unreachable);
    }
    if (!this->objects.contains(aName)) {
      return Error(PlatformErrorCode::NotFound);
    }
    this->Write({ aName, 0, "", true });
    return this->revision;
  }

  PlatformResult<ObjectList> List(const std::string& aPrefix)
  {
    if (this->onList) {
      this->onList();
    }
    if (this->isDown) {
      return Error(PlatformErrorCode::TimedOut);
    }
    ObjectList list{ this->revision, {} };
    for (auto object = this->objects.lower_bound(aPrefix);
         object != this->objects.end() && object->first.starts_with(aPrefix);
         ++object) {
      list.objects.push_back(object->second);
    }
    return list;
  }

  PlatformResult<ObjectList> Watch(const std::string& aPrefix,
                                   std::int64_t aSince)
  {
    if (this->isDown) {
      return Error(PlatformErrorCode::TimedOut);
    }
    ObjectList list{ this->revision, {} };
    for (const StoredObject& event : this->events) {
      if (event.revision > aSince && event.name.starts_with(aPrefix)) {
        list.objects.push_back(event);
      }
    }
    return list;
  }

  void Write(StoredObject aObject)
  {
    aObject.revision = ++this->revision;
    this->events.push_back(aObject);
    if (aObject.isDeleted) {
      this->objects.erase(aObject.name);
    } else {
      this->objects[aObject.name] = aObject;
    }
  }

  std::int64_t revision = 0;
  Objects objects;
  std::vector<StoredObject> events;
};

} // namespace lacewingwharf
