#include "catalogue/delta.h"
#include "catalogue/jsonfields.h"
#include "common/hash.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace lacewingwharf {

namespace {

using nlohmann::json;

constexpr NumberRange kAnyCount{ 0, std::numeric_limits<std::int64_t>::max() };

json
EncodeChanged(const std::vector<ChangedEntry>& aChanged)
{
  json list = json::array();
  for (const ChangedEntry& changed : aChanged) {
    list.push_back({ { "name", changed.name },
                     { "revision", changed.revision },
                     { "text", changed.text } });
  }
  return list;
}

const json*
ListField(JsonFields& aFields, std::string_view aKey)
{
  const json* const list = aFields.FindField(aKey, Presence::Required);
  if (list != nullptr && !list->is_array()) {
    aFields.AddProblem(aKey, "must be a list");
    return nullptr;
  }
  return list;
}

void
ReadChanged(JsonFields& aFields, std::vector<ChangedEntry>& aChanged)
{
  const json* const list = ListField(aFields, "changed");
  if (list == nullptr) {
    return;
  }
  for (const json& item : *list) {
    JsonFields fields(item, "changed");
    fields.AllowOnly({ "name", "revision", "text" });
    ChangedEntry changed;
    changed.name = fields.ReadString("name", Presence::Required);
    changed.revision =
      fields.ReadInteger("revision", 0, kAnyCount, Presence::Required);
    changed.text = fields.ReadString("text", Presence::Required);
    aFields.Merge(fields);
    aChanged.push_back(std::move(changed));
  }
}

void
ReadRemoved(JsonFields& aFields, std::vector<std::string>& aRemoved)
{
  const json* const list = ListField(aFields, "removed");
  if (list == nullptr) {
    return;
  }
  for (const json& item : *list) {
    if (!item.is_string()) {
      aFields.AddProblem("removed", "must be a list of names");
      return;
    }
    aRemoved.push_back(item.get<std::string>());
  }
}

void
ReadStamp(JsonFields& aFields, VersionStamp& aStamp)
{
  aStamp.version = aFields.ReadInteger(
    "version", 0, { 1, kAnyCount.high }, Presence::Required);
  aStamp.storeEpoch =
    aFields.ReadInteger("storeEpoch", 0, kAnyCount, Presence::Required);
  aStamp.floorRevision =
    aFields.ReadInteger("floorRevision", 0, kAnyCount, Presence::Required);
}

} // namespace

std::string
EncodeAccepted(const AcceptedObject& aObject)
{
  const Delta& delta = aObject.delta;
  const json object{ { "base", delta.base },
                     { "version", delta.stamp.version },
                     { "storeEpoch", delta.stamp.storeEpoch },
                     { "floorRevision", delta.stamp.floorRevision },
                     { "hash", ToHex(delta.contentHash) },
                     { "whole", delta.isWhole },
                     { "changed", EncodeChanged(delta.changed) },
                     { "removed", delta.removed },
                     { "writer", aObject.writer },
                     { "nonce", aObject.nonce } };
  // ParseEntry() refuses texts that are not valid UTF-8, so nothing is replaced
  // in the text of an accepted entry.
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

CatalogueResult<AcceptedObject>
DecodeAccepted(std::string_view aText)
{
  const json object = json::parse(aText, nullptr, false);
  if (object.is_discarded()) {
    return CatalogueError{ CatalogueErrorCode::BadJson,
                           "",
                           "the accepted version is not valid JSON" };
  }
  JsonFields fields(object, "");
  fields.AllowOnly({ "base",
                     "version",
                     "storeEpoch",
                     "floorRevision",
                     "hash",
                     "whole",
                     "changed",
                     "removed",
                     "writer",
                     "nonce" });
  AcceptedObject accepted;
  Delta& delta = accepted.delta;
  delta.base = fields.ReadInteger("base", 0, kAnyCount, Presence::Required);
  ReadStamp(fields, delta.stamp);
  delta.contentHash = ParseHex(fields.ReadString("hash", Presence::Required));
  delta.isWhole = fields.ReadBool("whole", false);
  ReadChanged(fields, delta.changed);
  ReadRemoved(fields, delta.removed);
  accepted.writer = fields.ReadString("writer", Presence::Required);
  accepted.nonce = fields.ReadString("nonce", Presence::Required);
  if (!fields.IsValid()) {
    return CatalogueError{ CatalogueErrorCode::BadField,
                           "",
                           fields.FirstProblem() };
  }
  return accepted;
}

} // namespace lacewingwharf
