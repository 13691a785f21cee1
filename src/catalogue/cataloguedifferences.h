#pragma once

#include "catalogue/snapshot.h"

#include <string>
#include <vector>

namespace lacewingwharf {

enum class EntryChange
{
  Added,
  Removed,
  Changed
};

inline constexpr auto kEntryChangeNames =
  MakeNameTable<EntryChange>({ { EntryChange::Added, "added" },
                               { EntryChange::Removed, "removed" },
                               { EntryChange::Changed, "changed" } });

/** Values are texts for operators; an absent field has an empty one. */
struct FieldDifference
{
  std::string field;
  std::string from;
  std::string to;

  bool operator==(const FieldDifference&) const = default;
};

struct EntryDifference
{
  std::string entry;
  EntryKind kind = EntryKind::Service; // Of a changed entry the new one.
  EntryChange change = EntryChange::Changed;
  std::vector<FieldDifference> fields; // Of changed entries only.
};

/**
 * Compares what the entries of two catalogues mean, sorted by name. Neither the
 * layout of a text, a default that it spells out nor its change set is a
 * difference. The keys of teams are compared, but only counts of them are
 * returned.
 */
std::vector<EntryDifference>
FindDifferences(const Snapshot& aFrom, const Snapshot& aTo);

} // namespace lacewingwharf
