#pragma once

#include "store/objectstore.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lacewingwharf {

/**
 * The result of a write. On Conflict the revision is the current one of the
 * object, or 0 if the object does not exist.
 */
struct WriteResult
{
  std::optional<PlatformErrorCode> error;
  std::int64_t revision = 0;
};

/** Objects, their store-wide revisions and a bounded history of changes. */
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

  /**
   * The last change of each object after aSince. Fails with Compacted if the
   * history does not reach back to aSince.
   */
  PlatformResult<ObjectList> Changes(const std::string& aPrefix,
                                     std::int64_t aSince) const;

  /** Clears the history, so that a watch from an earlier revision fails. */
  void Compact();
  void Save(const std::string& aName);

  /**
   * Restores a saved state with its revision. Returns false if there is no
   * state of this name.
   */
  bool Restore(const std::string& aName);

private:
  struct State
  {
    std::int64_t revision = 0;
    std::map<std::string, StoredObject> objects;
  };

  std::optional<WriteResult> CheckExpected(const std::string& aName,
                                           std::int64_t aExpected) const;
  void AppendToHistory(StoredObject aChange);

  std::size_t maxHistory;
  State state;
  std::map<std::string, State> savedStates;
  std::deque<StoredObject> history;
  std::int64_t compactedRevision = 0; // Changes up to it are dropped.
};

inline std::int64_t
ObjectTable::Revision() const
{
  return this->state.revision;
}

} // namespace lacewingwharf
