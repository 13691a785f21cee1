#include "platform/httpobjectstore.h"

#include "platform/storetransfer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr long kOk = 200;
constexpr long kCreated = 201;
constexpr long kNoContent = 204;
constexpr long kNotFound = 404;
constexpr long kConflict = 409;
constexpr long kGone = 410;
constexpr long kTooLarge = 413;
constexpr long kTooManyRequests = 429;
constexpr long kServerErrors = 500;

bool
IsSuccess(long aStatus)
{
  return aStatus == kOk || aStatus == kCreated || aStatus == kNoContent;
}

PlatformErrorCode
CodeOfStatus(long aStatus)
{
  switch (aStatus) {
    case kNotFound:
      return PlatformErrorCode::NotFound;
    case kConflict:
      return PlatformErrorCode::Conflict;
    case kGone:
      return PlatformErrorCode::Compacted;
    case kTooLarge:
      return PlatformErrorCode::TooLarge;
    case kTooManyRequests:
      return PlatformErrorCode::Throttled;
    default:
      // A server error says nothing about whether a write took effect.
      return aStatus >= kServerErrors ? PlatformErrorCode::TimedOut
                                      : PlatformErrorCode::Malformed;
  }
}

PlatformError
ErrorOfAnswer(const TransferAnswer& aAnswer)
{
  const auto code = CodeOfStatus(aAnswer.status);
  if (code == PlatformErrorCode::Conflict) {
    return {
      code, fmt::format("the present revision is {}", aAnswer.objectRevision)
    };
  }
  return { code, fmt::format("HTTP status {}", aAnswer.status) };
}

PlatformError
Malformed(std::string aDetail)
{
  return { PlatformErrorCode::Malformed, std::move(aDetail) };
}

std::optional<StoredObject>
ObjectOfJson(const Json& aRow)
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
ListOfBody(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object() || !json.contains("revision") ||
      !json["revision"].is_number_integer() || !json.contains("objects") ||
      !json["objects"].is_array()) {
    return failure(Malformed("the list has no revision or no objects"));
  }
  ObjectList list;
  list.revision = json["revision"].get<std::int64_t>();
  list.objects.reserve(json["objects"].size());
  for (const Json& row : json["objects"]) {
    auto object = ObjectOfJson(row);
    if (!object) {
      return failure(Malformed("an object of the list is incomplete"));
    }
    list.objects.push_back(std::move(*object));
  }
  return list;
}

std::vector<std::string>
ConditionHeaders(std::int64_t aExpected)
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
    : config(std::move(aConfig))
  {
  }

  PlatformResult<StoredObject> Get(const std::string& aName)
  {
    const auto answer = this->Run(this->ObjectRequest(aName));
    if (!answer) {
      return failure(answer.error());
    }
    if (answer.value().objectRevision < 0) {
      return failure(Malformed("the answer has no revision"));
    }
    return StoredObject{
      aName, answer.value().objectRevision, answer.value().body, false
    };
  }

  PlatformResult<std::int64_t> Put(const std::string& aName,
                                   const std::string& aValue,
                                   std::int64_t aExpected)
  {
    TransferRequest request = this->ObjectRequest(aName);
    request.kind = TransferRequest::Kind::Write;
    request.body = aValue;
    request.headers = ConditionHeaders(aExpected);
    return this->RunWrite(request);
  }

  PlatformResult<std::int64_t> Remove(const std::string& aName,
                                      std::int64_t aExpected)
  {
    TransferRequest request = this->ObjectRequest(aName);
    request.kind = TransferRequest::Kind::Remove;
    request.headers = ConditionHeaders(aExpected);
    return this->RunWrite(request);
  }

  PlatformResult<ObjectList> List(const std::string& aPrefix)
  {
    return this->RunList(
      this->RequestFor("/v1/objects?prefix=" + EscapeObjectName(aPrefix),
                       this->config.requestBound));
  }

  PlatformResult<ObjectList> Watch(const std::string& aPrefix,
                                   std::int64_t aSince,
                                   Millis aTimeout)
  {
    return this->RunList(
      this->RequestFor(fmt::format("/v1/watch?prefix={}&since={}&timeout_ms={}",
                                   EscapeObjectName(aPrefix),
                                   aSince,
                                   aTimeout),
                       aTimeout + this->config.watchGrace));
  }

private:
  TransferRequest RequestFor(const std::string& aTarget, Millis aBound) const
  {
    TransferRequest request;
    request.url = this->config.baseUrl + aTarget;
    request.connectBound = this->config.connectBound;
    request.bound = aBound;
    request.maxAnswerBytes = this->config.maxAnswerBytes;
    request.shouldStop = this->config.shouldStop;
    return request;
  }

  TransferRequest ObjectRequest(const std::string& aName) const
  {
    return this->RequestFor("/v1/objects/" + EscapeObjectName(aName),
                            this->config.requestBound);
  }

  PlatformResult<TransferAnswer> Run(const TransferRequest& aRequest)
  {
    auto answer = this->TransferOfThread().Run(aRequest);
    if (answer && !IsSuccess(answer.value().status)) {
      return failure(ErrorOfAnswer(answer.value()));
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
      return failure(Malformed("the answer has no revision"));
    }
    return answer.value().objectRevision;
  }

  PlatformResult<ObjectList> RunList(const TransferRequest& aRequest)
  {
    const auto answer = this->Run(aRequest);
    if (!answer) {
      return failure(answer.error());
    }
    return ListOfBody(answer.value().body);
  }

  StoreTransfer& TransferOfThread()
  {
    const std::lock_guard lock(this->mutex);
    auto& transfer = this->transfers[std::this_thread::get_id()];
    if (!transfer) {
      transfer = std::make_unique<StoreTransfer>();
    }
    return *transfer;
  }

  HttpStoreConfig config;
  std::mutex mutex;
  std::map<std::thread::id, std::unique_ptr<StoreTransfer>> transfers;
};

} // namespace

ObjectStore
MakeHttpObjectStore(HttpStoreConfig aConfig)
{
  auto store = std::make_shared<HttpStore>(std::move(aConfig));
  ObjectStore hooks;
  hooks.get = [store](const std::string& aName) { return store->Get(aName); };
  hooks.put = [store](const std::string& aName,
                      const std::string& aValue,
                      std::int64_t aExpected) {
    return store->Put(aName, aValue, aExpected);
  };
  hooks.remove = [store](const std::string& aName, std::int64_t aExpected) {
    return store->Remove(aName, aExpected);
  };
  hooks.list = [store](const std::string& aPrefix) {
    return store->List(aPrefix);
  };
  hooks.watch =
    [store](const std::string& aPrefix, std::int64_t aSince, Millis aTimeout) {
      return store->Watch(aPrefix, aSince, aTimeout);
    };
  return hooks;
}

} // namespace lacewingwharf
