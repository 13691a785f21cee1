#pragma once

#include "distribution/acceptor.h"

#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** A new value for an entry, or its deletion. */
struct Edit
{
  std::string name;
  std::int64_t revision = 0;
  std::shared_ptr<const AcceptedEntry> value; // Null for a deletion.
};

/** Edits that are accepted together or not at all. */
struct EditGroup
{
  std::vector<Edit> edits;
  bool isRejected = false;
};

/**
 * The edits that lead from a snapshot to the listed catalogue. An edit is
 * pending until it is rejected.
 */
class Edits
{
public:
  Edits(const Snapshot& aHeld, const ObjectList& aCatalogue);

  /** Returns the held entries with all pending edits applied. */
  AcceptedEntries Apply() const;

  /** These return null if the entry has no pending edit. */
  EditGroup* FindPendingGroup(const std::string& aName);
  const Edit* FindPendingEdit(const std::string& aName);

  /**
   * Returns the pending group with the most text, and among equal ones the
   * newest. Null if no group is pending.
   */
  EditGroup* FindLargestPendingGroup();

  /** Rejects a whole group and records the reason for each of its edits. */
  void Reject(EditGroup& aGroup,
              CatalogueErrorCode aCode,
              const std::string& aReason);

  bool HasPendingEdits() const;

  std::vector<Rejection> TakeRejections();

private:
  void AddObject(const StoredObject& aObject);
  void AddEdit(const std::string& aName, Edit aEdit);
  void AddDeletions(const ObjectList& aCatalogue);
  void RejectIncompleteChangeSets();

  const Snapshot& held;
  std::map<std::string, std::int64_t, std::less<>> listedRevisions;
  std::map<std::string, int> listedCountByChangeSet;
  std::vector<EditGroup> groups;
  std::map<std::string, std::size_t> groupByEntry;
  std::map<std::string, std::size_t> groupByChangeSet;
  std::vector<Rejection> rejections;
};

} // namespace lacewingwharf
