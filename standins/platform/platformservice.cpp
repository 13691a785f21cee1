#include "platformservice.h"

#include "platformanswers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kObjectPath = "/v1/objects/";
constexpr std::string_view kTestPath = "/v1/test/";
constexpr unsigned int kBadRequest = 400;
constexpr unsigned int kNotFound = 404;
constexpr unsigned int kMethodNotAllowed = 405;
constexpr unsigned int kGone = 410;
constexpr unsigned int kTooLarge = 413;
constexpr unsigned int kTooManyRequests = 429;
constexpr unsigned int kCreated = 201;
constexpr Millis kMaxWatchTime = 60000;

std::optional<std::int64_t>
ParseNumber(const std::string& aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

/** Returns nullopt if the headers of a conditional request are malformed. */
std::optional<std::int64_t>
ParseExpectedRevision(const StandinRequest& aRequest)
{
  const std::string noneMatch = aRequest.Header("if-none-match");
  const std::string match = aRequest.Header("if-match");
  if (noneMatch.empty() && match.empty()) {
    return kAnyRevision;
  }
  if (!noneMatch.empty()) {
    return noneMatch == "*" && match.empty() ? std::optional(kCreateOnly)
                                             : std::nullopt;
  }
  return ParseNumber(match);
}

/** Lists contain values as JSON strings, so a value must be UTF-8 text. */
bool
IsUtf8(const std::string& aValue)
{
  try {
    return !Json(aValue).dump().empty();
  } catch (const Json::exception&) {
    return false;
  }
}

} // namespace

PlatformService::PlatformService(Switches aSwitches,
                                 std::size_t aMaxHistory,
                                 Scheduler aScheduler)
  : switches(aSwitches)
  , table(aMaxHistory)
  , objectsEndpoint(this->table, aSwitches.pageItems)
  , schedule(std::move(aScheduler))
  , reads(aSwitches.readsPerSecond)
  , writes(aSwitches.writesPerSecond)
{
}

void
PlatformService::Handle(const Exchange& aExchange)
{
  const std::unique_lock lock(this->mutex);
  if (aExchange->Request().path.starts_with(kTestPath)) {
    this->HandleTestRequest(aExchange);
    return;
  }
  if (this->switches.isDown) {
    aExchange->Abort();
    return;
  }
  if (this->switches.callDelay == 0) {
    this->HandleCall(aExchange);
    return;
  }
  this->schedule(this->switches.callDelay, [this, aExchange] {
    const std::lock_guard delayedLock(this->mutex);
    this->HandleCall(aExchange);
  });
}

void
PlatformService::HandleTestRequest(const Exchange& aExchange)
{
  const StandinRequest& request = aExchange->Request();
  if (request.path == "/v1/test/calls") {
    aExchange->Answer(JsonAnswer(this->CallsAsJson()));
  } else if (request.path == "/v1/test/switch" && request.method == "POST") {
    this->HandleSwitch(aExchange);
  } else {
    aExchange->Answer(TextAnswer(kNotFound, "no such test path"));
  }
}

void
PlatformService::HandleCall(const Exchange& aExchange)
{
  const StandinRequest& request = aExchange->Request();
  if (this->switches.isSilent) {
    this->unanswered.push_back(aExchange);
  } else if (request.path.starts_with(ObjectsEndpoint::kPath)) {
    this->HandleObjectsRequest(aExchange);
  } else if (request.path.starts_with(kObjectPath)) {
    this->HandleObject(aExchange, request.path.substr(kObjectPath.size()));
  } else if (request.path == "/v1/objects" && request.method == "GET") {
    this->HandleList(aExchange);
  } else if (request.path == "/v1/watch" && request.method == "GET") {
    this->HandleWatch(aExchange);
  } else {
    aExchange->Answer(TextAnswer(kNotFound, "no such path"));
  }
}

void
PlatformService::HandleObject(const Exchange& aExchange,
                              const std::string& aName)
{
  const std::string& method = aExchange->Request().method;
  if (aName.empty()) {
    aExchange->Answer(TextAnswer(kBadRequest, "the object has no name"));
  } else if (method == "GET") {
    this->HandleGet(aExchange, aName);
  } else if (method == "PUT" || method == "DELETE") {
    this->HandleWrite(aExchange, aName);
  } else {
    aExchange->Answer(TextAnswer(kMethodNotAllowed, "unknown method"));
  }
}

void
PlatformService::HandleGet(const Exchange& aExchange, const std::string& aName)
{
  if (!this->AdmitCall("get", this->reads)) {
    aExchange->Answer(TextAnswer(kTooManyRequests, {}));
    return;
  }
  const StoredObject* object = this->table.Find(aName);
  if (object == nullptr) {
    aExchange->Answer(TextAnswer(kNotFound, {}));
    return;
  }
  StandinAnswer answer = TextAnswer(200, object->value);
  answer.headers.emplace_back("Object-Revision",
                              std::to_string(object->revision));
  aExchange->Answer(std::move(answer));
}

void
PlatformService::HandleWrite(const Exchange& aExchange,
                             const std::string& aName)
{
  const StandinRequest& request = aExchange->Request();
  const bool isPut = request.method == "PUT";
  if (!this->AdmitCall(isPut ? "put" : "delete", this->writes)) {
    aExchange->Answer(TextAnswer(kTooManyRequests, {}));
    return;
  }
  if (request.body.size() > this->switches.maxValueBytes) {
    aExchange->Answer(TextAnswer(kTooLarge, {}));
    return;
  }
  const auto result = this->Write(request, aName);
  if (!result) {
    aExchange->Answer(TextAnswer(kBadRequest, "wrong condition or value"));
    return;
  }
  if (result->error) {
    aExchange->Answer(MakeWriteAnswer(*result));
    return;
  }
  if (this->switches.answersToDropAfterWrite > 0) {
    --this->switches.answersToDropAfterWrite;
    aExchange->Abort();
  } else {
    StandinAnswer answer = MakeWriteAnswer(*result);
    answer.status = isPut && request.Header("if-none-match") == "*"
                      ? kCreated
                      : answer.status;
    aExchange->Answer(std::move(answer));
  }
  this->AnswerWatches();
}

std::optional<WriteResult>
PlatformService::Write(const StandinRequest& aRequest, const std::string& aName)
{
  const auto expected = ParseExpectedRevision(aRequest);
  if (!expected || !IsUtf8(aName) || !IsUtf8(aRequest.body)) {
    return std::nullopt;
  }
  return aRequest.method == "PUT"
           ? this->table.Put(aName, aRequest.body, *expected)
           : this->table.Remove(aName, *expected);
}

void
PlatformService::HandleList(const Exchange& aExchange)
{
  if (!this->AdmitCall("list", this->reads)) {
    aExchange->Answer(TextAnswer(kTooManyRequests, {}));
    return;
  }
  const std::string prefix = aExchange->Request().Query("prefix");
  aExchange->Answer(JsonAnswer(MakeListBody(this->table.List(prefix))));
}

void
PlatformService::HandleWatch(const Exchange& aExchange)
{
  const StandinRequest& request = aExchange->Request();
  if (!this->AdmitCall("watch", this->reads)) {
    aExchange->Answer(TextAnswer(kTooManyRequests, {}));
    return;
  }
  const auto since = ParseNumber(request.Query("since"));
  const auto timeout = ParseNumber(request.Query("timeout_ms"));
  if (!since || !timeout) {
    aExchange->Answer(TextAnswer(kBadRequest, "wrong since or timeout_ms"));
    return;
  }
  this->AddWatch({ aExchange, request.Query("prefix"), *since, false },
                 *timeout);
}

void
PlatformService::HandleObjectsRequest(const Exchange& aExchange)
{
  const StandinRequest& request = aExchange->Request();
  const bool isRead = request.method == "GET";
  const auto since = ParseNumber(request.Query("watch"));
  const bool isWatch = isRead && !request.Query("watch").empty();
  const std::string kind = isWatch ? "watch" : isRead ? "list" : "put";
  if (!this->AdmitCall(kind, isRead ? this->reads : this->writes)) {
    this->AnswerObjectsRequest(aExchange, TextAnswer(kTooManyRequests, {}));
    return;
  }
  if (isWatch) {
    this->AddWatch({ aExchange,
                     ObjectsEndpoint::GetTarget(request) + "/",
                     since.value_or(0),
                     true },
                   ParseNumber(request.Query("wait_ms")).value_or(0));
    return;
  }
  StandinAnswer answer = this->objectsEndpoint.Answer(request);
  if (!isRead && this->switches.answersToDropAfterWrite > 0) {
    --this->switches.answersToDropAfterWrite;
    aExchange->Abort();
  } else {
    this->AnswerObjectsRequest(aExchange, std::move(answer));
  }
  this->AnswerWatches();
}

/** Adds the era, which is in all answers of the object API. */
void
PlatformService::AnswerObjectsRequest(const Exchange& aExchange,
                                      StandinAnswer aAnswer)
{
  if (this->switches.era > 0) {
    aAnswer.headers.emplace_back("Store-Era",
                                 std::to_string(this->switches.era));
  }
  aExchange->Answer(std::move(aAnswer));
}

void
PlatformService::AnswerWatch(const PendingWatch& aWatch,
                             const ObjectList& aChanges)
{
  if (aWatch.isObjectsRequest) {
    this->AnswerObjectsRequest(
      aWatch.exchange, JsonAnswer(ObjectsEndpoint::MakeEventsBody(aChanges)));
  } else {
    aWatch.exchange->Answer(JsonAnswer(MakeListBody(aChanges)));
  }
}

void
PlatformService::AddWatch(PendingWatch aWatch, Millis aTimeout)
{
  const Exchange exchange = aWatch.exchange;
  this->pendingWatches.push_back(std::move(aWatch));
  // The disconnect hook identifies the watch by the address of its exchange. No
  // other exchange has this address while the watch is in the list.
  const StandinExchange* address = exchange.get();
  exchange->SetOnDisconnect([this, address] {
    const std::lock_guard lock(this->mutex);
    this->EndWatch(address);
  });
  this->schedule(std::min<Millis>(aTimeout, kMaxWatchTime), [this, exchange] {
    const std::lock_guard lock(this->mutex);
    this->EndWatch(exchange.get());
  });
  this->AnswerWatches();
}

void
PlatformService::HandleSwitch(const Exchange& aExchange)
{
  SwitchActions actions;
  const auto problem =
    ApplySwitchesJson(aExchange->Request().body, this->switches, actions);
  if (problem) {
    aExchange->Answer(TextAnswer(kBadRequest, *problem));
    return;
  }
  this->reads.SetRate(this->switches.readsPerSecond);
  this->writes.SetRate(this->switches.writesPerSecond);
  if (!actions.saveAs.empty()) {
    this->table.Save(actions.saveAs);
  }
  if (!actions.restoreFrom.empty() &&
      !this->table.Restore(actions.restoreFrom)) {
    aExchange->Answer(TextAnswer(kNotFound, "no saved state of that name"));
    return;
  }
  if (!actions.restoreFrom.empty() && this->switches.era > 0) {
    ++this->switches.era;
  }
  if (actions.mustCompact) {
    this->table.Compact();
  }
  if (this->switches.isDown) {
    this->AbortWatches();
  }
  if (this->switches.isSilent) {
    std::ranges::transform(this->pendingWatches,
                           std::back_inserter(this->unanswered),
                           &PendingWatch::exchange);
    this->pendingWatches.clear();
  }
  this->AnswerWatches();
  aExchange->Answer(JsonAnswer("{}"));
}

bool
PlatformService::AdmitCall(const std::string& aKind, TokenBucket& aBucket)
{
  ++this->calls[aKind];
  if (aBucket.Take()) {
    return true;
  }
  ++this->calls["throttled"];
  return false;
}

void
PlatformService::AnswerWatches()
{
  std::erase_if(this->pendingWatches, [this](const PendingWatch& aWatch) {
    const auto changes = this->table.Changes(aWatch.prefix, aWatch.since);
    if (!changes && aWatch.isObjectsRequest) {
      this->AnswerObjectsRequest(aWatch.exchange, TextAnswer(kGone, {}));
      return true;
    }
    if (!changes) {
      aWatch.exchange->Answer(TextAnswer(kGone, {}));
      return true;
    }
    if (changes.value().objects.empty()) {
      return false;
    }
    this->AnswerWatch(aWatch, changes.value());
    return true;
  });
}

void
PlatformService::EndWatch(const StandinExchange* aExchange)
{
  const auto watch = std::ranges::find_if(
    this->pendingWatches, [aExchange](const PendingWatch& aWatch) {
      return aWatch.exchange.get() == aExchange;
    });
  if (watch == this->pendingWatches.end()) {
    return;
  }
  ObjectList noChanges;
  noChanges.revision = this->table.Revision();
  this->AnswerWatch(*watch, noChanges);
  this->pendingWatches.erase(watch);
}

void
PlatformService::AbortWatches()
{
  for (const PendingWatch& watch : this->pendingWatches) {
    watch.exchange->Abort();
  }
  this->pendingWatches.clear();
}

std::string
PlatformService::CallsAsJson() const
{
  Json counts{ { "get", 0 },  { "put", 0 },   { "delete", 0 },
               { "list", 0 }, { "watch", 0 }, { "throttled", 0 } };
  for (const auto& [kind, count] : this->calls) {
    counts[kind] = count;
  }
  counts["waiting"] = this->pendingWatches.size();
  return counts.dump();
}

} // namespace lacewingwharf
