#include "store/httpobjectstore.h"

#include "store/transferpool.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

PlatformError
MalformedError(std::string aDetail)
{
  return { PlatformErrorCode::Malformed, std::move(aDetail) };
}

std::optional<StoredObject>
ParseObject(const Json& aRow)
{
  if (!aRow.is_object() || !aRow.contains("name") ||
      !aRow["name"].is_string() || !aRow.contains("revision") ||
      !aRow["revision"].is_number_integer()) {
    return std::nullopt;
  }
  StoredObject object;
  object.name = aRow["name"].get<std::string>();
  object.revision = aRow["revision"].get<std::int64_t>();
  const auto deleted = aRow.find("deleted");
  object.isDeleted =
    deleted != aRow.end() && deleted->is_boolean() && deleted->get<bool>();
  const auto value = aRow.find("value");
  if (value != aRow.end() && value->is_string()) {
    object.value = value->get<std::string>();
  } else if (!object.isDeleted) {
    return std::nullopt;
  }
  return object;
}

PlatformResult<ObjectList>
ParseObjectList(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_integer() || !json.contains("objects") ||
      !json["objects"].is_array()) {
    return failure(MalformedError("the list has no revision or no objects"));
  }
  ObjectList list;
  list.revision = json["revision"].get<std::int64_t>();
  list.objects.reserve(json["objects"].size());
  for (const Json& row : json["objects"]) {
    auto object = ParseObject(row);
    if (!object) {
      return failure(MalformedError(
        "an object in the list lacks a name, revision or value"));
    }
    list.objects.push_back(std::move(*object));
  }
  return list;
}

std::vector<std::string>
PreconditionHeaders(std::int64_t aExpected)
{
  if (aExpected == kAnyRevision) {
    return {};
  }
  if (aExpected == kCreateOnly) {
    return { "If-None-Match: *" };
  }
  return { fmt::format("If-Match: {}", aExpected) };
}

class HttpStore
{
public:
  explicit HttpStore(HttpStoreConfig aConfig)
    : transfers(std::move(aConfig))
  {
  }

  PlatformResult<StoredObject> Get(const std::string& aName)
  {
    const auto answer = this->Run(this->MakeObjectRequest(aName));
    if (!answer) {
      return failure(answer.error());
    }
    if (answer.value().objectRevision < 0) {
      return failure(MalformedError("the answer has no revision"));
    }
    return StoredObject{
      aName, answer.value().objectRevision, answer.value().body, false, {}
    };
  }

  PlatformResult<std::int64_t> Put(const std::string& aName,
                                   const std::string& aValue,
                                   std::int64_t aExpected)
  {
    TransferRequest request = this->MakeObjectRequest(aName);
    request.kind = TransferRequest::Kind::Write;
    request.body = aValue;
    request.headers = PreconditionHeaders(aExpected);
    return this->RunWrite(request);
  }

  PlatformResult<std::int64_t> Remove(const std::string& aName,
                                      std::int64_t aExpected)
  {
    TransferRequest request = this->MakeObjectRequest(aName);
    request.kind = TransferRequest::Kind::Remove;
    request.headers = PreconditionHeaders(aExpected);
    return this->RunWrite(request);
  }

  PlatformResult<ObjectList> List(const std::string& aPrefix)
  {
    return this->RunList(this->transfers.MakeRequest(
      "/v1/objects?prefix=" + EscapeObjectName(aPrefix)));
  }

  PlatformResult<ObjectList> Watch(const std::string& aPrefix,
                                   std::int64_t aSince,
                                   Millis aTimeout)
  {
    TransferRequest request = this->transfers.MakeRequest(
      fmt::format("/v1/watch?prefix={}&since={}&timeout_ms={}",
                  EscapeObjectName(aPrefix),
                  aSince,
                  aTimeout));
    request.timeout = aTimeout + this->transfers.Config().watchGrace;
    return this->RunList(request);
  }

private:
  TransferRequest MakeObjectRequest(const std::string& aName) const
  {
    return this->transfers.MakeRequest("/v1/objects/" +
                                       EscapeObjectName(aName));
  }

  PlatformResult<TransferAnswer> Run(const TransferRequest& aRequest)
  {
    auto answer = this->transfers.Run(aRequest);
    if (answer && !IsSuccess(answer.value().status)) {
      return failure(ErrorForStatus(answer.value()));
    }
    return answer;
  }

  PlatformResult<std::int64_t> RunWrite(const TransferRequest& aRequest)
  {
    const auto answer = this->Run(aRequest);
    if (!answer) {
      return failure(answer.error());
    }
    if (answer.value().objectRevision < 0) {
      return failure(MalformedError("the answer has no revision"));
    }
    return answer.value().objectRevision;
  }

  PlatformResult<ObjectList> RunList(const TransferRequest& aRequest)
  {
    const auto answer = this->Run(aRequest);
    if (!answer) {
      return failure(answer.error());
    }
    return ParseObjectList(answer.value().body);
  }

  TransferPool transfers;
};

} // namespace

ObjectStore
MakeHttpObjectStore(HttpStoreConfig aConfig)
{
  auto store = std::make_shared<HttpStore>(std::move(aConfig));
  ObjectStore functions;
  functions.get = [store](const std::string& aName) {
    return store->Get(aName);
  };
  functions.put = [store](const std::string& aName,
                          const std::string& aValue,
                          std::int64_t aExpected) {
    return store->Put(aName, aValue, aExpected);
  };
  functions.remove = [store](const std::string& aName, std::int64_t aExpected) {
    return store->Remove(aName, aExpected);
  };
  functions.list = [store](const std::string& aPrefix) {
    return store->List(aPrefix);
  };
  functions.watch =
    [store](const std::string& aPrefix, std::int64_t aSince, Millis aTimeout) {
      return store->Watch(aPrefix, aSince, aTimeout);
    };
  return functions;
}

} // namespace lacewingwharf
