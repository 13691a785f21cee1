#pragma once

#include "catalogue/delta.h"
#include "distribution/fakestore.h"

#include <fmt/format.h>

#include <string>

namespace lacewingwharf {

/**
 * These return the texts of catalogue entries for tests. aChange is empty or
 * has the JSON fields of the entry's change set.
 */
inline std::string
ServiceText(const std::string& aOwner, const std::string& aChange = "")
{
  const std::string change =
    aChange.empty() ? "" : fmt::format(R"(,"change":{{{}}})", aChange);
  return fmt::format(
    R"({{"kind":"service","owner":"{}","class":"internal"{}}})",
    aOwner,
    change);
}

inline std::string
RouteText(const std::string& aService,
          const std::string& aPath,
          int aConcurrency = 0,
          const std::string& aChange = "")
{
  const std::string change =
    aChange.empty() ? "" : fmt::format(R"(,"change":{{{}}})", aChange);
  return fmt::format(
    R"({{"kind":"route","owner":"shop","class":"batch","service":"{}",)"
    R"("match":{{"path":"{}"}},"limits":{{"concurrency":{}}}{}}})",
    aService,
    aPath,
    aConcurrency,
    change);
}

/**
 * Checks requirement R2 independently of the production code: returns true if a
 * route refers to a service that does not exist.
 */
inline bool
HasDanglingRoute(const AcceptedEntries& aEntries)
{
  for (const auto& [name, accepted] : aEntries) {
    const Entry& entry = accepted->entry;
    if (entry.kind != EntryKind::Route) {
      continue;
    }
    const auto service = aEntries.find(entry.service);
    if (service == aEntries.end() ||
        service->second->entry.kind != EntryKind::Service) {
      return true;
    }
  }
  return false;
}

} // namespace lacewingwharf
