#include "execution/callrequest.h"

#include "common/hash.h"
#include "execution/teamkeys.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace lacewingwharf {

namespace {

std::optional<std::int64_t>
ParseNumberHeader(const HttpHeaders& aHeaders, const std::string& aName)
{
  const auto header = aHeaders.find(aName);
  if (header == aHeaders.end()) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const std::string& text = header->second;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

// Different seeds, so that the digest of a key and that of a request differ.
constexpr std::uint64_t kKeySeed = 1;
constexpr std::uint64_t kRequestSeed = 2;

std::uint64_t
HashOfKey(const EntryCall& aCall, const std::string& aKey)
{
  return Hash64(aCall.entry->name + '\n' + aKey, kKeySeed);
}

std::uint64_t
HashOfRequest(const HttpRequest& aHttp)
{
  const std::string head = aHttp.method + ' ' + aHttp.target + '\n';
  return Hash64(aHttp.body, Hash64(head, kRequestSeed));
}

Refusal
RefusalFor(RefusalReason aReason,
           std::int64_t aBound = 0,
           std::int64_t aSeen = 0)
{
  Refusal refusal;
  refusal.reason = aReason;
  refusal.bound = aBound;
  refusal.seen = aSeen;
  return refusal;
}

} // namespace

const Entry*
FindRoute(const Snapshot& aSnapshot, const HttpRequest& aRequest)
{
  const auto method = kHttpMethodNames.ValueOf(aRequest.method);
  const auto host = aRequest.headers.find("Host");
  const bool hasHost = host != aRequest.headers.end();
  return method
           ? aSnapshot.MatchRoute(*method,
                                  aRequest.path,
                                  hasHost ? std::string_view(host->second) : "")
           : nullptr;
}

bool
MayRunBeside(const Snapshot& aSnapshot, const HttpRequest& aRequest)
{
  const auto method = kHttpMethodNames.ValueOf(aRequest.method);
  const Entry* const entry = FindRoute(aSnapshot, aRequest);
  return method && entry != nullptr && entry->IsIdempotent(*method);
}

void
ReadRequest(EntryCall& aCall, Millis aNow, const CallDialect& aDialect)
{
  const HttpHeaders& headers = aCall.http.headers;
  const auto method = kHttpMethodNames.ValueOf(aCall.http.method);
  aCall.isIdempotent = method && aCall.entry->IsIdempotent(*method);
  aCall.depth =
    static_cast<int>(ParseNumberHeader(headers, kDepthHeader).value_or(0));
  const Millis limit = aCall.entry->limits.deadline;
  const Millis requested =
    ParseNumberHeader(headers, aDialect.deadlineHeader).value_or(limit);
  const Millis arrivedAt = aNow - aCall.http.waited;
  aCall.deadlineAt = arrivedAt + std::min(limit, requested);
  aCall.targetAt = arrivedAt + aCall.entry->limits.target;
  const auto key = headers.find(kKeyHeader);
  if (key == headers.end()) {
    aCall.digest = HashOfRequest(aCall.http);
    return;
  }
  aCall.digest = HashOfKey(aCall, key->second);
  if (!aCall.isIdempotent) {
    aCall.keyHash = aCall.digest;
  }
}

std::optional<Refusal>
CheckRequest(EntryCall& aCall,
             Millis aNow,
             const CallDialect& aDialect,
             const TeamKeys& aKeys)
{
  if (!aCall.snapshot) {
    return RefusalFor(RefusalReason::NoConfiguration);
  }
  aCall.entry = FindRoute(*aCall.snapshot, aCall.http);
  if (aCall.entry == nullptr) {
    return RefusalFor(RefusalReason::NoRoute);
  }
  ReadRequest(aCall, aNow, aDialect);
  if (auto refusal = aKeys.Check(aCall)) {
    return refusal;
  }
  const auto bodyBytes = static_cast<std::int64_t>(aCall.http.body.size());
  const std::int64_t bodyLimit = aCall.entry->limits.bodyBytes;
  if (bodyLimit > 0 && bodyBytes > bodyLimit) {
    return RefusalFor(RefusalReason::BodyBytes, bodyLimit, bodyBytes);
  }
  if (aCall.depth >= kMaxDepth) {
    return RefusalFor(RefusalReason::DepthExceeded, kMaxDepth, aCall.depth);
  }
  if (aCall.deadlineAt <= aNow) {
    return RefusalFor(RefusalReason::DeadlinePassed);
  }
  return std::nullopt;
}

wire::CallRequest
RequestMessage(const EntryCall& aCall,
               const RequestOrigin& aOrigin,
               Millis aRemaining,
               const CallDialect& aDialect)
{
  wire::CallRequest request;
  request.callId = aCall.attempt.id;
  request.entry = aCall.entry->name;
  request.serviceName = aCall.service;
  request.port = aCall.attempt.endpoint.port;
  request.method = aCall.http.method;
  request.target = aCall.http.target;
  // The headers of the message distinguish upper and lower case, so the values
  // of the daemon replace those of the caller before they are copied.
  HttpHeaders headers = EndToEndHeaders(aCall.http.headers);
  if (aDialect.addsOwnHeaders) {
    headers[kCallIdHeader] = aCall.id;
    headers[kDepthHeader] = fmt::format("{}", aCall.depth + 1);
  }
  if (!aDialect.callerServiceHeader.empty()) {
    headers[aDialect.callerServiceHeader] = aOrigin.service;
  }
  if (aCall.snapshot->RequiresKeys()) {
    ReplaceTeamHeaders(headers, aCall.team, aDialect.teamHeader);
  }
  if (const auto host = aCall.http.headers.find("Host");
      aDialect.forwardsHost && host != aCall.http.headers.end()) {
    headers["Host"] = host->second;
  }
  request.headers.insert(headers.begin(), headers.end());
  if (aCall.attempt.isAnnounced) {
    wire::BodyAnnouncement announcement;
    announcement.bytes = static_cast<std::int64_t>(aCall.http.body.size());
    announcement.port = std::exchange(request.port, 0);
    request.__set_announcement(announcement);
  } else {
    request.body = aCall.http.body;
  }
  request.remainingMillis = aRemaining;
  request.idempotent = aCall.isIdempotent;
  request.depth = aCall.depth;
  request.callerHost = aOrigin.host;
  request.version = aCall.snapshot->Version();
  request.digest = static_cast<std::int64_t>(aCall.digest);
  request.owner = aCall.entry->owner;
  request.workClass = static_cast<std::int32_t>(ClassOf(aCall));
  request.queueMillis =
    static_cast<std::int32_t>(aCall.entry->limits.queueWait);
  if (aCall.entry->limits.target > 0) {
    // 0 means that the entry has no target, so -1 is sent when the target time
    // ends exactly now.
    const Millis targetRemaining =
      aRemaining - (aCall.deadlineAt - aCall.targetAt);
    request.targetMillis =
      static_cast<std::int32_t>(targetRemaining == 0 ? -1 : targetRemaining);
  }
  return request;
}

std::int64_t
BodyHash(const std::string& aBody)
{
  return static_cast<std::int64_t>(Hash64(aBody));
}

} // namespace lacewingwharf
