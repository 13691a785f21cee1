#pragma once

#include "store/objectstore.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lacewingwharf {

/** A write's result; with Conflict the revision is the present one, or 0. */
struct WriteResult
{
  std::optional<PlatformErrorCode> error;
  std::int64_t revision = 0;
};

/** The objects, their store-wide revisions and a bounded history of changes. */
class ObjectTable
{
public:
  explicit ObjectTable(std::size_t aMaxHistory);

  std::int64_t Revision() const;
  const StoredObject* Find(const std::string& aName) const;
  WriteResult Put(const std::string& aName,
                  const std::string& aValue,
                  std::int64_t aExpected);
  WriteResult Remove(const std::string& aName, std::int64_t aExpected);
  ObjectList List(const std::string& aPrefix) const;

  /** The last change of each object after aSince, or Compacted. */
  PlatformResult<ObjectList> Changes(const std::string& aPrefix,
                                     std::int64_t aSince) const;

  /** Forgets the history, so that only a watch from now on works. */
  void Compact();
  void Save(const std::string& aName);

  /** Goes back to a saved state and its revision; false if there is none. */
  bool Restore(const std::string& aName);

private:
  struct State
  {
    std::int64_t revision = 0;
    std::map<std::string, StoredObject> objects;
  };

  std::optional<WriteResult> CheckExpected(const std::string& aName,
                                           std::int64_t aExpected) const;
  void Remember(StoredObject aChange);

  std::size_t maxHistory;
  State state;
  std::map<std::string, State> savedStates;
  std::deque<StoredObject> history;
  std::int64_t compactedRevision = 0; // Changes up to here are gone.
};

inline std::int64_t
ObjectTable::Revision() const
{
  return this->state.revision;
}

} // namespace lacewingwharf
