#pragma once

#include "catalogue/cataloguecheck.h"
#include "catalogue/snapshot.h"

#include <string>
#include <vector>

namespace lacewingwharf {

enum class WarningCode
{
  ImpossibleHost,
  ServiceWithoutRoute,
  OwnerWithoutRoutes,
  TeamWithoutKeys
};

inline constexpr auto kWarningNames = MakeNameTable<WarningCode>(
  { { WarningCode::ImpossibleHost, "impossible-host" },
    { WarningCode::ServiceWithoutRoute, "service-without-route" },
    { WarningCode::OwnerWithoutRoutes, "owner-without-routes" },
    { WarningCode::TeamWithoutKeys, "team-without-keys" } });

/**
 * Finds what is allowed in a catalogue, but can't be meant: entries that no
 * call ever uses. Designed for catalogues of some ten thousand entries; the
 * time is proportional to their number.
 */
class CatalogueReview
{
public:
  explicit CatalogueReview(SnapshotPtr aSnapshot);

  /** Returns all warnings, sorted by entry. */
  std::vector<Finding> FindWarnings();

private:
  void CheckUse();
  void CheckHost(const Entry& aRoute);
  void Warn(WarningCode aCode, const Entry& aEntry, std::string aDetail);

  SnapshotPtr snapshot;
  std::vector<Finding> findings;
};

} // namespace lacewingwharf
