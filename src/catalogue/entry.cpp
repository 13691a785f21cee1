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
constexpr std::int64_t kMaxLimit = 1000000000;
constexpr std::int64_t kMaxRetries = 10;
constexpr std::int64_t kMaxWeight = 1000000;
constexpr std::size_t kMaxHostLength = 253;
constexpr std::int64_t kMaxChangeSetSize = 1000;
constexpr std::size_t kKeyDigestLength = 64; // SHA-256 in hexadecimal.

// The head and the body of a call are sent in one frame of at most 8 MB. A
// header has at least 4 bytes in a request and up to 8 more in the frame.
static_assert(kMaxEntryBodyBytes + 3 * kMaxListenerHeadBytes < 8 << 20);

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
  // Names that start with '.' are reserved for status objects of the system.
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         !aName.starts_with('.') && std::ranges::all_of(aName, IsNameCharacter);
}

bool
IsPathCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter < 127 && aCharacter != '?' &&
         aCharacter != '#';
}

// Trailing slashes are refused so that each path has only one spelling.
// Otherwise, two routes could match the same requests with different paths.
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
  std::string name = aFields.ReadString(aKey, Presence::Required);
  if (!IsName(name)) {
    aFields.AddProblem(aKey,
                       "must be 1 to 128 letters, digits, '-', '_' or '.', "
                       "not starting with '.'");
  }
  return name;
}

void
ReadClass(JsonFields& aFields, Entry& aEntry)
{
  const auto value =
    kWorkClassNames.ValueOf(aFields.ReadString("class", Presence::Required));
  if (!value) {
    aFields.AddProblem("class",
                       "must be critical, interactive, internal or batch");
    return;
  }
  aEntry.workClass = *value;
}

void
ReadMethods(JsonFields& aFields, std::vector<HttpMethod>& aMethods)
{
  const json* const list = aFields.FindField("methods", Presence::Optional);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array() || list->empty()) {
    aFields.AddProblem("methods", "must be a list of at least one method");
    return;
  }
  for (const json& item : *list) {
    const auto method = item.is_string()
                          ? kHttpMethodNames.ValueOf(item.get<std::string>())
                          : std::nullopt;
    if (!method) {
      aFields.AddProblem("methods", "has an unknown method " + item.dump());
    } else if (std::ranges::find(aMethods, *method) != aMethods.end()) {
      aFields.AddProblem("methods", "names a method twice: " + item.dump());
    } else {
      aMethods.push_back(*method);
    }
  }
}

void
ReadMatch(JsonFields& aFields, RouteMatch& aMatch)
{
  const json* const object = aFields.FindField("match", Presence::Required);
  if (object == nullptr) {
    return;
  }
  JsonFields fields(*object, "match");
  fields.AllowOnly({ "host", "path", "prefix", "methods" });
  aMatch.host = fields.ReadString("host", Presence::Optional);
  if (aMatch.host.size() > kMaxHostLength) {
    fields.AddProblem("host", "must be at most 253 characters");
  }
  aMatch.prefix = fields.ReadString("prefix", Presence::Optional);
  if (aMatch.prefix.empty()) {
    aMatch.path = fields.ReadString("path", Presence::Required);
  } else if (fields.FindField("path", Presence::Optional) != nullptr) {
    fields.AddProblem("prefix", "cannot be given together with a path");
  } else if (!IsRoutePrefix(aMatch.prefix)) {
    fields.AddProblem("prefix", "must start and end with '/'");
  }
  if (aMatch.prefix.empty() && !IsRoutePath(aMatch.path)) {
    fields.AddProblem("path",
                      "must start with '/', must not end with '/' unless it is "
                      "\"/\", and has no empty segments, spaces, '?' or '#'");
  }
  ReadMethods(fields, aMatch.methods);
  aFields.Merge(fields);
}

void
ReadCommonLimits(JsonFields& aFields, Limits& aLimits)
{
  const NumberRange range{ 0, kMaxLimit };
  aLimits.concurrency = static_cast<int>(
    aFields.ReadInteger("concurrency", aLimits.concurrency, range));
  aLimits.ratePerSecond =
    static_cast<int>(aFields.ReadInteger("rate", aLimits.ratePerSecond, range));
}

void
ReadRouteLimits(JsonFields& aFields, Limits& aLimits)
{
  aLimits.deadline =
    aFields.ReadInteger("deadline_ms", aLimits.deadline, { 1, kMaxEntryTime });
  aLimits.target =
    aFields.ReadInteger("target_ms", aLimits.target, { 0, kMaxEntryTime });
  // A target bounds the wait better than a fixed default does.
  const Millis queueDefault = aLimits.target > 0 ? 0 : aLimits.queueWait;
  aLimits.queueWait =
    aFields.ReadInteger("queue_ms", queueDefault, { 0, kMaxEntryTime });
  aLimits.bodyBytes = aFields.ReadInteger(
    "body_bytes", aLimits.bodyBytes, { 0, kMaxEntryBodyBytes });
  aLimits.retries = static_cast<int>(
    aFields.ReadInteger("retries", aLimits.retries, { 0, kMaxRetries }));
}

void
ReadLimits(JsonFields& aFields, Entry& aEntry)
{
  const bool isRoute = aEntry.kind == EntryKind::Route;
  const json* const object = aFields.FindField(
    "limits", isRoute ? Presence::Optional : Presence::Required);
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
ReadListenerLimits(JsonFields& aFields, ListenerLimits& aLimits)
{
  const json* const object = aFields.FindField("limits", Presence::Required);
  if (object == nullptr) {
    return;
  }
  JsonFields fields(*object, "limits");
  fields.AllowOnly({ "head_bytes", "body_bytes", "head_ms", "idle_ms" });
  aLimits.headBytes =
    fields.ReadInteger("head_bytes", 0, { 0, kMaxListenerHeadBytes });
  aLimits.bodyBytes =
    fields.ReadInteger("body_bytes", 0, { 0, kMaxEntryBodyBytes });
  aLimits.headTime = fields.ReadInteger("head_ms", 0, { 0, kMaxEntryTime });
  aLimits.idleTime = fields.ReadInteger("idle_ms", 0, { 0, kMaxEntryTime });
  aFields.Merge(fields);
}

void
ReadChangeSet(JsonFields& aFields, Entry& aEntry)
{
  const json* const object = aFields.FindField("change", Presence::Optional);
  if (object == nullptr) {
    return;
  }
  JsonFields fields(*object, "change");
  fields.AllowOnly({ "id", "size" },
                   aEntry.kind == EntryKind::Team ? UnknownFields::Unnamed
                                                  : UnknownFields::Named);
  ChangeSet change;
  change.id = ReadName(fields, "id");
  change.size = static_cast<int>(fields.ReadInteger(
    "size", 0, { 1, kMaxChangeSetSize }, Presence::Required));
  aEntry.changeSet = change;
  aFields.Merge(fields);
}

void
ReadSplit(JsonFields& aFields, Entry& aEntry)
{
  const json* const list = aFields.FindField("split", Presence::Required);
  if (list == nullptr || !list->is_array() || list->empty()) {
    aFields.AddProblem("split", "must be a list of services with weights");
    return;
  }
  int sum = 0;
  for (const json& item : *list) {
    JsonFields fields(item, "split");
    fields.AllowOnly({ "service", "weight" });
    ServiceShare share;
    share.service = ReadName(fields, "service");
    share.weight = static_cast<int>(
      fields.ReadInteger("weight", 0, { 0, kMaxWeight }, Presence::Required));
    sum += share.weight;
    aFields.Merge(fields);
    aEntry.split.push_back(std::move(share));
  }
  if (sum == 0) {
    aFields.AddProblem("split", "must have a weight above 0");
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
                      "key_exempt",
                      "large_answers",
                      "large_requests",
                      "limits",
                      "change" });
  ReadClass(aFields, aEntry);
  const bool hasSplit =
    aFields.FindField("split", Presence::Optional) != nullptr;
  const bool hasService =
    aFields.FindField("service", Presence::Optional) != nullptr;
  if (hasSplit && hasService) {
    aFields.AddProblem("split", "cannot be given together with a service");
  } else if (hasSplit) {
    ReadSplit(aFields, aEntry);
  } else {
    aEntry.service = ReadName(aFields, "service");
  }
  ReadMatch(aFields, aEntry.match);
  if (aFields.FindField("idempotent", Presence::Optional) != nullptr) {
    aEntry.idempotent = aFields.ReadBool("idempotent", false);
  }
  aEntry.isKeyExempt = aFields.ReadBool("key_exempt", false);
  aEntry.hasLargeAnswers = aFields.ReadBool("large_answers", false);
  aEntry.hasLargeRequests = aFields.ReadBool("large_requests", false);
  ReadLimits(aFields, aEntry);
}

bool
IsKeyDigest(std::string_view aText)
{
  return aText.size() == kKeyDigestLength &&
         std::ranges::all_of(aText, [](char aCharacter) {
           return (aCharacter >= '0' && aCharacter <= '9') ||
                  (aCharacter >= 'a' && aCharacter <= 'f');
         });
}

void
ReadKeyDigests(JsonFields& aFields, std::vector<std::string>& aDigests)
{
  const json* const list = aFields.FindField("keys", Presence::Required);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array()) {
    aFields.AddProblem("keys", "must be a list of SHA-256 digests");
    return;
  }
  for (const json& item : *list) {
    std::string digest = item.is_string() ? item.get<std::string>() : "";
    if (!IsKeyDigest(digest)) {
      // The text is not repeated, because it may be a key.
      aFields.AddProblem("keys",
                         "has an item that is not a SHA-256 digest in "
                         "lower-case hexadecimal");
      return;
    }
    aDigests.push_back(std::move(digest));
  }
}

void
ReadTeam(JsonFields& aFields, Entry& aEntry)
{
  // A key may have been written in place of the name of a field.
  aFields.AllowOnly(
    { "kind", "owner", "keys", "rate", "burst", "class", "change" },
    UnknownFields::Unnamed);
  TeamPolicy& team = aEntry.team;
  ReadKeyDigests(aFields, team.keyDigests);
  const NumberRange range{ 0, kMaxLimit };
  team.ratePerSecond = static_cast<int>(aFields.ReadInteger("rate", 0, range));
  team.burst = static_cast<int>(aFields.ReadInteger("burst", 0, range));
  if (aFields.FindField("class", Presence::Optional) != nullptr) {
    ReadClass(aFields, aEntry);
    team.workClass = aEntry.workClass;
  }
}

void
ReadFieldsOfKind(JsonFields& aFields, Entry& aEntry)
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
    case EntryKind::Listener:
      aFields.AllowOnly({ "kind", "owner", "limits", "change" });
      ReadListenerLimits(aFields, aEntry.listenerLimits);
      return;
    case EntryKind::Team:
      ReadTeam(aFields, aEntry);
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
    kEntryKindNames.ValueOf(fields.ReadString("kind", Presence::Required));
  if (!kind) {
    fields.AddProblem("kind",
                      "must be service, route, owner, listener or team");
    return MakeError(
      CatalogueErrorCode::BadField, aName, fields.FirstProblem());
  }
  entry.kind = *kind;
  entry.owner = ReadName(fields, "owner");
  ReadChangeSet(fields, entry);
  ReadFieldsOfKind(fields, entry);
  if (!fields.IsValid()) {
    return MakeError(
      CatalogueErrorCode::BadField, aName, fields.FirstProblem());
  }
  return entry;
}

} // namespace lacewingwharf
