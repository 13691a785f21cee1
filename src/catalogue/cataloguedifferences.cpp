#include "catalogue/cataloguedifferences.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace lacewingwharf {

namespace {

/** The fields of an entry that daemons use, without the keys of teams. */
using Fields = std::map<std::string, std::string>;

std::string
TextOf(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string
TextOf(const std::vector<HttpMethod>& aMethods)
{
  std::set<std::string_view> names;
  for (const HttpMethod method : aMethods) {
    names.insert(kHttpMethodNames.NameOf(method));
  }
  return aMethods.empty() ? "all" : fmt::format("{}", fmt::join(names, " "));
}

std::string
TextOf(const std::vector<ServiceShare>& aSplit)
{
  std::vector<std::string> shares;
  std::ranges::transform(
    aSplit, std::back_inserter(shares), [](const ServiceShare& aShare) {
      return fmt::format("{}:{}", aShare.service, aShare.weight);
    });
  return fmt::format("{}", fmt::join(shares, " "));
}

void
AddCommonLimits(const Limits& aLimits, Fields& aFields)
{
  aFields["limits.concurrency"] = std::to_string(aLimits.concurrency);
  aFields["limits.rate"] = std::to_string(aLimits.ratePerSecond);
}

void
AddRoute(const Entry& aRoute, Fields& aFields)
{
  aFields["class"] = kWorkClassNames.NameOf(aRoute.workClass);
  aFields["service"] = aRoute.service;
  aFields["split"] = TextOf(aRoute.split);
  aFields["match.host"] = aRoute.match.host;
  aFields["match.path"] = aRoute.match.path;
  aFields["match.prefix"] = aRoute.match.prefix;
  aFields["match.methods"] = TextOf(aRoute.match.methods);
  aFields["idempotent"] =
    aRoute.idempotent ? TextOf(*aRoute.idempotent) : "by method";
  aFields["key_exempt"] = TextOf(aRoute.isKeyExempt);
  aFields["large_answers"] = TextOf(aRoute.hasLargeAnswers);
  aFields["large_requests"] = TextOf(aRoute.hasLargeRequests);
  const Limits& limits = aRoute.limits;
  AddCommonLimits(limits, aFields);
  aFields["limits.deadline_ms"] = std::to_string(limits.deadline);
  aFields["limits.target_ms"] = std::to_string(limits.target);
  aFields["limits.queue_ms"] = std::to_string(limits.queueWait);
  aFields["limits.body_bytes"] = std::to_string(limits.bodyBytes);
  aFields["limits.retries"] = std::to_string(limits.retries);
}

void
AddListener(const ListenerLimits& aLimits, Fields& aFields)
{
  aFields["limits.head_bytes"] = std::to_string(aLimits.headBytes);
  aFields["limits.body_bytes"] = std::to_string(aLimits.bodyBytes);
  aFields["limits.head_ms"] = std::to_string(aLimits.headTime);
  aFields["limits.idle_ms"] = std::to_string(aLimits.idleTime);
}

void
AddTeam(const TeamPolicy& aTeam, Fields& aFields)
{
  aFields["rate"] = std::to_string(aTeam.ratePerSecond);
  aFields["burst"] = std::to_string(aTeam.burst);
  aFields["class"] = aTeam.workClass ? kWorkClassNames.NameOf(*aTeam.workClass)
                                     : "that of the route";
}

Fields
FieldsOf(const Entry& aEntry)
{
  Fields fields;
  fields["kind"] = kEntryKindNames.NameOf(aEntry.kind);
  fields["owner"] = aEntry.owner;
  switch (aEntry.kind) {
    case EntryKind::Service:
      fields["class"] = kWorkClassNames.NameOf(aEntry.workClass);
      break;
    case EntryKind::Route:
      AddRoute(aEntry, fields);
      break;
    case EntryKind::Owner:
      AddCommonLimits(aEntry.limits, fields);
      break;
    case EntryKind::Listener:
      AddListener(aEntry.listenerLimits, fields);
      break;
    case EntryKind::Team:
      AddTeam(aEntry.team, fields);
      break;
  }
  return fields;
}

std::vector<FieldDifference>
CompareFields(const Fields& aFrom, const Fields& aTo)
{
  std::set<std::string> names;
  for (const Fields* const fields : { &aFrom, &aTo }) {
    std::ranges::transform(
      *fields, std::inserter(names, names.end()), &Fields::value_type::first);
  }
  const auto valueOf = [](const Fields& aFields, const std::string& aName) {
    const auto found = aFields.find(aName);
    return found == aFields.end() ? std::string() : found->second;
  };
  std::vector<FieldDifference> differences;
  for (const std::string& name : names) {
    FieldDifference difference{ name,
                                valueOf(aFrom, name),
                                valueOf(aTo, name) };
    if (difference.from != difference.to) {
      differences.push_back(std::move(difference));
    }
  }
  return differences;
}

/** Appends the numbers of keys of a team if it has other keys than before. */
void
CompareKeys(const TeamPolicy& aFrom,
            const TeamPolicy& aTo,
            std::vector<FieldDifference>& aDifferences)
{
  const auto keysOf = [](const TeamPolicy& aTeam) {
    return std::set<std::string_view>(aTeam.keyDigests.begin(),
                                      aTeam.keyDigests.end());
  };
  const auto from = keysOf(aFrom);
  const auto to = keysOf(aTo);
  const auto countMissing = [](const auto& aKeys, const auto& aOthers) {
    return std::ranges::count_if(aKeys, [&aOthers](std::string_view aKey) {
      return !aOthers.contains(aKey);
    });
  };
  const auto added = countMissing(to, from);
  const auto removed = countMissing(from, to);
  if (added + removed > 0) {
    aDifferences.push_back(
      { "keys",
        std::to_string(from.size()),
        fmt::format("{} ({} added, {} removed)", to.size(), added, removed) });
  }
}

std::vector<FieldDifference>
CompareEntries(const Entry& aFrom, const Entry& aTo)
{
  std::vector<FieldDifference> differences =
    CompareFields(FieldsOf(aFrom), FieldsOf(aTo));
  CompareKeys(aFrom.team, aTo.team, differences);
  return differences;
}

} // namespace

std::vector<EntryDifference>
FindDifferences(const Snapshot& aFrom, const Snapshot& aTo)
{
  std::vector<EntryDifference> differences;
  for (const auto& [name, accepted] : aTo.Entries()) {
    const Entry& entry = accepted->entry;
    const AcceptedEntry* const former = aFrom.Find(name);
    if (former == nullptr) {
      differences.push_back({ name, entry.kind, EntryChange::Added, {} });
      continue;
    }
    auto fields = CompareEntries(former->entry, entry);
    if (!fields.empty()) {
      differences.push_back(
        { name, entry.kind, EntryChange::Changed, std::move(fields) });
    }
  }
  for (const auto& [name, accepted] : aFrom.Entries()) {
    if (aTo.Find(name) == nullptr) {
      differences.push_back(
        { name, accepted->entry.kind, EntryChange::Removed, {} });
    }
  }
  std::ranges::sort(differences, {}, &EntryDifference::entry);
  return differences;
}

} // namespace lacewingwharf
