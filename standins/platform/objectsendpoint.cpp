#include "objectsendpoint.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr unsigned int kOk = 200;
constexpr unsigned int kBadRequest = 400;
constexpr unsigned int kNotFound = 404;
constexpr unsigned int kMethodNotAllowed = 405;
constexpr unsigned int kConflict = 409;
constexpr std::string_view kStatusSuffix = "/status";

StandinAnswer
JsonAnswer(unsigned int aStatus, const Json& aBody)
{
  StandinAnswer answer;
  answer.status = aStatus;
  answer.body = aBody.dump();
  answer.headers.emplace_back("Content-Type", "application/json");
  return answer;
}

Json
MakeObjectJson(const StoredObject& aObject)
{
  Json object = Json::parse(aObject.value, nullptr, false);
  if (!object.is_object()) {
    object = Json::object(); // A deleted object has no text.
  }
  Json& metadata = object["metadata"];
  metadata["name"] = aObject.name.substr(aObject.name.find('/') + 1);
  metadata["revision"] = aObject.revision;
  return object;
}

/**
 * The revision that the object must have for a write, or nullopt if the write
 * is unconditional.
 */
std::optional<std::int64_t>
ParseExpectedRevision(const StandinRequest& aRequest, const Json& aBody)
{
  if (aBody.is_object() && aBody.contains("metadata") &&
      aBody["metadata"].is_object() && aBody["metadata"].contains("revision")) {
    return aBody["metadata"]["revision"].get<std::int64_t>();
  }
  const std::string text = aRequest.Query("revision");
  std::int64_t revision = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), revision);
  return parsed.ec == std::errc() ? std::optional(revision) : std::nullopt;
}

Json
MakeNewObject(const Json& aBody)
{
  return {
    { "metadata",
      { { "finalizers", aBody["metadata"].value("finalizers", Json::array()) },
        { "deletion_requested", false },
        { "created_at", 1 } } },
    { "spec", aBody.value("spec", Json()) },
    { "status", nullptr }
  };
}

} // namespace

ObjectsEndpoint::ObjectsEndpoint(ObjectTable& aTable, std::size_t aPageItems)
  : table(aTable)
  , pageItems(aPageItems)
{
}

std::string
ObjectsEndpoint::GetTarget(const StandinRequest& aRequest)
{
  return aRequest.path.substr(std::string_view(kPath).size());
}

StandinAnswer
ObjectsEndpoint::Answer(const StandinRequest& aRequest)
{
  std::string target = GetTarget(aRequest);
  const bool isStatus = target.ends_with(kStatusSuffix);
  if (isStatus) {
    target.resize(target.size() - kStatusSuffix.size());
  }
  const bool isKind = target.find('/') == std::string::npos;
  if (aRequest.method == "GET") {
    return isKind ? this->List(target, aRequest.Query("after"))
                  : this->MakeObjectAnswer(target, kOk);
  }
  if (aRequest.method == "POST" && isKind) {
    return this->Create(target, aRequest);
  }
  if (aRequest.method == "PUT" && !isKind) {
    return this->Replace(target, aRequest, isStatus);
  }
  if (aRequest.method == "DELETE" && !isKind) {
    return this->Remove(target, aRequest);
  }
  return JsonAnswer(kMethodNotAllowed, { { "error", "method" } });
}

StandinAnswer
ObjectsEndpoint::List(const std::string& aKind, const std::string& aAfter) const
{
  Json items = Json::array();
  bool hasMore = false;
  for (const StoredObject& object : this->table.List(aKind + "/").objects) {
    if (object.name.substr(aKind.size() + 1) <= aAfter) {
      continue;
    }
    if (items.size() == this->pageItems) {
      hasMore = true;
      break;
    }
    items.push_back(MakeObjectJson(object));
  }
  return JsonAnswer(kOk,
                    { { "items", std::move(items) },
                      { "has_more", hasMore },
                      { "current_rev", this->table.Revision() } });
}

StandinAnswer
ObjectsEndpoint::MakeObjectAnswer(const std::string& aName,
                                  unsigned int aStatus) const
{
  const StoredObject* const object = this->table.Find(aName);
  return object == nullptr ? JsonAnswer(kNotFound, { { "error", "not found" } })
                           : JsonAnswer(aStatus, MakeObjectJson(*object));
}

StandinAnswer
ObjectsEndpoint::Write(const std::string& aName,
                       const std::string& aText,
                       std::int64_t aExpected,
                       unsigned int aStatus)
{
  const WriteResult result = this->table.Put(aName, aText, aExpected);
  if (result.error == PlatformErrorCode::Conflict) {
    return this->MakeObjectAnswer(aName, kConflict);
  }
  return this->MakeObjectAnswer(aName, aStatus);
}

StandinAnswer
ObjectsEndpoint::Create(const std::string& aKind,
                        const StandinRequest& aRequest)
{
  const Json body = Json::parse(aRequest.body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata") ||
      !body["metadata"].contains("name")) {
    return JsonAnswer(kBadRequest, { { "error", "no name" } });
  }
  return this->Write(aKind + "/" + body["metadata"]["name"].get<std::string>(),
                     MakeNewObject(body).dump(),
                     kCreateOnly,
                     kOk);
}

StandinAnswer
ObjectsEndpoint::Replace(const std::string& aName,
                         const StandinRequest& aRequest,
                         bool aIsStatus)
{
  const Json body = Json::parse(aRequest.body, nullptr, false);
  const StoredObject* const present = this->table.Find(aName);
  if (!body.is_object()) {
    return JsonAnswer(kBadRequest, { { "error", "not an object" } });
  }
  if (present == nullptr) {
    return JsonAnswer(kNotFound, { { "error", "not found" } });
  }
  Json object = Json::parse(present->value, nullptr, false);
  if (aIsStatus) {
    object["status"] = body.value("status", Json());
  } else {
    object["spec"] = body.value("spec", Json());
    object["metadata"]["finalizers"] =
      body.value("metadata", Json::object()).value("finalizers", Json::array());
  }
  const auto expectedRevision = ParseExpectedRevision(aRequest, body);
  if (expectedRevision && *expectedRevision != present->revision) {
    return this->MakeObjectAnswer(aName, kConflict);
  }
  if (object.dump() == present->value) {
    // Without a change, the object keeps its revision.
    return this->MakeObjectAnswer(aName, kOk);
  }
  return this->Write(aName, object.dump(), kAnyRevision, kOk);
}

StandinAnswer
ObjectsEndpoint::Remove(const std::string& aName,
                        const StandinRequest& aRequest)
{
  const StoredObject* const present = this->table.Find(aName);
  if (present == nullptr) {
    return JsonAnswer(kNotFound, { { "error", "not found" } });
  }
  const auto expectedRevision = ParseExpectedRevision(aRequest, Json());
  if (expectedRevision && *expectedRevision != present->revision) {
    return this->MakeObjectAnswer(aName, kConflict);
  }
  Json object = Json::parse(present->value, nullptr, false);
  if (!object["metadata"]["finalizers"].empty()) {
    object["metadata"]["deletion_requested"] = true;
    return this->Write(aName, object.dump(), kAnyRevision, kOk);
  }
  const Json last = MakeObjectJson(*present);
  this->table.Remove(aName, kAnyRevision);
  return JsonAnswer(kOk, last);
}

std::string
ObjectsEndpoint::MakeEventsBody(const ObjectList& aChanges)
{
  Json events = Json::array();
  for (const StoredObject& object : aChanges.objects) {
    events.push_back({ { "object", MakeObjectJson(object) },
                       { "deleted", object.isDeleted } });
  }
  return Json{
    { "events", std::move(events) }, { "current_rev", aChanges.revision }
  }.dump();
}

} // namespace lacewingwharf
