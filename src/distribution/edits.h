#pragma once

#include "distribution/acceptor.h"

#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** One entry that is to be replaced or removed. */
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

/** The edits between a snapshot and the listed catalogue. */
class Edits
{
public:
  Edits(const Snapshot& aHeld, const ObjectList& aCatalogue);

  /** The held entries with all edits applied that are not rejected. */
  AcceptedEntries Apply() const;

  /** Null when the entry has no edit that still stands. */
  EditGroup* FindPendingGroup(const std::string& aName);
  const Edit* FindPendingEdit(const std::string& aName);

  /** The one with most text, of equal ones the newest; null without any. */
  EditGroup* FindLargestPendingGroup();

  /** Rejects a whole group and notes the reason for each of its edits. */
  void Reject(EditGroup& aGroup,
              CatalogueErrorCode aCode,
              const std::string& aReason);

  bool HasPendingEdits() const;

  std::vector<Rejection> TakeRejections();

private:
  void AddObject(const StoredObject& aObject);
  void AddEdit(const std::string& aName, Edit aEdit);
  void AddDeletions(const ObjectList& aCatalogue);
  void CheckChangeSets();

  const Snapshot& held;
  std::map<std::string, std::int64_t, std::less<>>
    listedRevisions; // Revisions.
  std::map<std::string, int> listedCountByChangeSet;
  std::vector<EditGroup> groups;
  std::map<std::string, std::size_t> groupByEntry;
  std::map<std::string, std::size_t> groupByChangeSet;
  std::vector<Rejection> rejections;
};

} // namespace lacewingwharf
