#include "catalogue/entry.h"

#include "catalogue/jsonfields.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <iterator>

namespace lacewingwharf {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxPathLength = 1024;
constexpr std::int64_t kMaxCount = 1000000000;
constexpr Millis kMaxDeadline = 3600000;
constexpr std::int64_t kMaxRetries = 10;
constexpr std::int64_t kMaxWeight = 1000000;
constexpr std::size_t kMaxHostLength = 253;
constexpr std::int64_t kMaxChangeSetSize = 1000;

// A call travels in one frame of at most 8 MB together with its headers.
constexpr std::int64_t kMaxBodyBytes = 7 << 20;

bool
IsNameCharacter(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return std::isalnum(byte) != 0 || aCharacter == '-' || aCharacter == '_' ||
         aCharacter == '.';
}

bool
IsName(std::string_view aName)
{
  // Names that start with '.' are kept for status objects of the system.
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         !aName.starts_with('.') && std::ranges::all_of(aName, IsNameCharacter);
}

bool
IsPathCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter < 127 && aCharacter != '?' &&
         aCharacter != '#';
}

// A path without a trailing slash has one spelling only, so that two routes
// cannot take the same requests under different paths.
bool
IsRoutePath(std::string_view aPath)
{
  const bool isRoot = aPath == "/";
  return aPath.starts_with('/') && aPath.size() <= kMaxPathLength &&
         (isRoot || !aPath.ends_with('/')) &&
         aPath.find("//") == std::string_view::npos &&
         std::ranges::all_of(aPath, IsPathCharacter);
}

bool
IsRoutePrefix(std::string_view aPrefix)
{
  return aPrefix.starts_with('/') && aPrefix.ends_with('/') &&
         aPrefix.size() <= kMaxPathLength &&
         std::ranges::all_of(aPrefix, IsPathCharacter);
}

std::string
ReadName(JsonFields& aFields, std::string_view aKey)
{
  std::string name = aFields.Text(aKey, Presence::Required);
  if (!IsName(name)) {
    aFields.Problem(aKey,
                    "must be 1 to 128 letters, digits, '-', '_' or '.', "
                    "not starting with '.'");
  }
  return name;
}

void
ReadClass(JsonFields& aFields, Entry& aEntry)
{
  const auto value =
    kWorkClassNames.ValueOf(aFields.Text("class", Presence::Required));
  if (!value) {
    aFields.Problem("class",
                    "must be critical, interactive, internal or batch");
    return;
  }
  aEntry.workClass = *value;
}

void
ReadMethods(JsonFields& aFields, std::vector<HttpMethod>& aMethods)
{
  const json* const list = aFields.Field("methods", Presence::Optional);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array() || list->empty()) {
    aFields.Problem("methods", "must be a list of at least one method");
    return;
  }
  for (const json& item : *list) {
    const auto method = item.is_string()
                          ? kHttpMethodNames.ValueOf(item.get<std::string>())
                          : std::nullopt;
    if (!method) {
      aFields.Problem("methods", "has an unknown method " + item.dump());
    } else if (std::ranges::find(aMethods, *method) != aMethods.end()) {
      aFields.Problem("methods", "names a method twice: " + item.dump());
    } else {
      aMethods.push_back(*method);
    }
  }
}

void
ReadMatch(JsonFields& aFields, RouteMatch& aMatch)
{
  const json* const object = aFields.Field("match", Presence::Required);
  if (object == nullptr) {
    return;
  }
  JsonFields fields(*object, "match");
  fields.AllowOnly({ "host", "path", "prefix", "methods" });
  aMatch.host = fields.Text("host", Presence::Optional);
  if (aMatch.host.size() > kMaxHostLength) {
    fields.Problem("host", "must be at most 253 characters");
  }
  aMatch.prefix = fields.Text("prefix", Presence::Optional);
  if (aMatch.prefix.empty()) {
    aMatch.path = fields.Text("path", Presence::Required);
  } else if (fields.Field("path", Presence::Optional) != nullptr) {
    fields.Problem("prefix", "cannot be given together with a path");
  } else if (!IsRoutePrefix(aMatch.prefix)) {
    fields.Problem("prefix", "must start and end with '/'");
  }
  if (aMatch.prefix.empty() && !IsRoutePath(aMatch.path)) {
    fields.Problem("path",
                   "must start with '/', must not end with '/' unless it is "
                   "\"/\", and has no empty segments, spaces, '?' or '#'");
  }
  ReadMethods(fields, aMatch.methods);
  aFields.Merge(fields);
}

void
ReadCommonLimits(JsonFields& aFields, Limits& aLimits)
{
  const NumberRange range{ 0, kMaxCount };
  aLimits.concurrency =
    static_cast<int>(aFields.Number("concurrency", aLimits.concurrency, range));
  aLimits.ratePerSecond =
    static_cast<int>(aFields.Number("rate", aLimits.ratePerSecond, range));
}

void
ReadRouteLimits(JsonFields& aFields, Limits& aLimits)
{
  aLimits.deadline =
    aFields.Number("deadline_ms", aLimits.deadline, { 1, kMaxDeadline });
  aLimits.target =
    aFields.Number("target_ms", aLimits.target, { 0, kMaxDeadline });
  // Where a target is stated, it bounds the wait better than a fixed time.
  const Millis queueDefault = aLimits.target > 0 ? 0 : aLimits.queueWait;
  aLimits.queueWait =
    aFields.Number("queue_ms", queueDefault, { 0, kMaxDeadline });
  aLimits.bodyBytes =
    aFields.Number("body_bytes", aLimits.bodyBytes, { 0, kMaxBodyBytes });
  aLimits.retries = static_cast<int>(
    aFields.Number("retries", aLimits.retries, { 0, kMaxRetries }));
}

void
ReadLimits(JsonFields& aFields, Entry& aEntry)
{
  const bool isRoute = aEntry.kind == EntryKind::Route;
  const json* const object =
    aFields.Field("limits", isRoute ? Presence::Optional : Presence::Required);
  if (object == nullptr) {
    return;
  }
  JsonFields fields(*object, "limits");
  ReadCommonLimits(fields, aEntry.limits);
  if (isRoute) {
    fields.AllowOnly({ "concurrency",
                       "rate",
                       "deadline_ms",
                       "target_ms",
                       "queue_ms",
                       "body_bytes",
                       "retries" });
    ReadRouteLimits(fields, aEntry.limits);
  } else {
    fields.AllowOnly({ "concurrency", "rate" });
  }
  aFields.Merge(fields);
}

void
ReadChangeSet(JsonFields& aFields, Entry& aEntry)
{
  const json* const object = aFields.Field("change", Presence::Optional);
  if (object == nullptr) {
    return;
  }
  JsonFields fields(*object, "change");
  fields.AllowOnly({ "id", "size" });
  ChangeSet change;
  change.id = ReadName(fields, "id");
  change.size = static_cast<int>(
    fields.Number("size", 0, { 1, kMaxChangeSetSize }, Presence::Required));
  aEntry.changeSet = change;
  aFields.Merge(fields);
}

void
ReadSplit(JsonFields& aFields, Entry& aEntry)
{
  const json* const list = aFields.Field("split", Presence::Required);
  if (list == nullptr || !list->is_array() || list->empty()) {
    aFields.Problem("split", "must be a list of services with weights");
    return;
  }
  int sum = 0;
  for (const json& item : *list) {
    JsonFields fields(item, "split");
    fields.AllowOnly({ "service", "weight" });
    ServiceShare share;
    share.service = ReadName(fields, "service");
    share.weight = static_cast<int>(
      fields.Number("weight", 0, { 0, kMaxWeight }, Presence::Required));
    sum += share.weight;
    aFields.Merge(fields);
    aEntry.split.push_back(std::move(share));
  }
  if (sum == 0) {
    aFields.Problem("split", "must have a weight above 0");
  }
}

void
ReadRoute(JsonFields& aFields, Entry& aEntry)
{
  aFields.AllowOnly({ "kind",
                      "owner",
                      "class",
                      "service",
                      "split",
                      "match",
                      "idempotent",
                      "limits",
                      "change" });
  ReadClass(aFields, aEntry);
  const bool hasSplit = aFields.Field("split", Presence::Optional) != nullptr;
  const bool hasService =
    aFields.Field("service", Presence::Optional) != nullptr;
  if (hasSplit && hasService) {
    aFields.Problem("split", "cannot be given together with a service");
  } else if (hasSplit) {
    ReadSplit(aFields, aEntry);
  } else {
    aEntry.service = ReadName(aFields, "service");
  }
  ReadMatch(aFields, aEntry.match);
  if (aFields.Field("idempotent", Presence::Optional) != nullptr) {
    aEntry.idempotent = aFields.Flag("idempotent", false);
  }
  ReadLimits(aFields, aEntry);
}

void
ReadKind(JsonFields& aFields, Entry& aEntry)
{
  switch (aEntry.kind) {
    case EntryKind::Service:
      aFields.AllowOnly({ "kind", "owner", "class", "change" });
      ReadClass(aFields, aEntry);
      return;
    case EntryKind::Route:
      ReadRoute(aFields, aEntry);
      return;
    case EntryKind::Owner:
      aFields.AllowOnly({ "kind", "owner", "limits", "change" });
      ReadLimits(aFields, aEntry);
      return;
  }
}

CatalogueError
MakeError(CatalogueErrorCode aCode, std::string_view aName, std::string aDetail)
{
  return CatalogueError{ aCode, std::string(aName), std::move(aDetail) };
}

} // namespace

bool
Entry::IsIdempotent(HttpMethod aMethod) const
{
  const bool isSafe = aMethod == HttpMethod::Get ||
                      aMethod == HttpMethod::Head ||
                      aMethod == HttpMethod::Options;
  return this->idempotent.value_or(isSafe);
}

std::vector<std::string>
Entry::Services() const
{
  if (this->split.empty()) {
    return { this->service };
  }
  std::vector<std::string> services;
  std::ranges::transform(
    this->split, std::back_inserter(services), &ServiceShare::service);
  return services;
}

CatalogueResult<Entry>
ParseEntry(std::string_view aName, std::string_view aJson)
{
  if (!IsName(aName)) {
    return MakeError(CatalogueErrorCode::BadField,
                     aName,
                     "the entry's name must be 1 to 128 letters, digits, '-', "
                     "'_' or '.', not starting with '.'");
  }
  const json object = json::parse(aJson, nullptr, false);
  if (object.is_discarded()) {
    return MakeError(
      CatalogueErrorCode::BadJson, aName, "the text is not valid JSON");
  }
  JsonFields fields(object, "");
  Entry entry;
  entry.name = aName;
  const auto kind =
    kEntryKindNames.ValueOf(fields.Text("kind", Presence::Required));
  if (!kind) {
    fields.Problem("kind", "must be service, route or owner");
    return MakeError(
      CatalogueErrorCode::BadField, aName, fields.FirstProblem());
  }
  entry.kind = *kind;
  entry.owner = ReadName(fields, "owner");
  ReadChangeSet(fields, entry);
  ReadKind(fields, entry);
  if (!fields.IsGood()) {
    return MakeError(
      CatalogueErrorCode::BadField, aName, fields.FirstProblem());
  }
  return entry;
}

} // namespace lacewingwharf
