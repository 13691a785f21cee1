#include "execution/serveranswer.h"

#include "common/log.h"

#include <cstdlib>

namespace lacewingwharf {

namespace {

constexpr Log kLog("slots");

/** Reads a time in seconds, with or without a fraction; 0 if it is not one. */
Millis
RetryAfterOf(const HttpHeaders& aHeaders)
{
  constexpr double kMillisPerSecond = 1000;
  constexpr double kMaxSeconds = 60; // Longer times are ignored.
  const auto header = aHeaders.find("Retry-After");
  if (header == aHeaders.end()) {
    return 0;
  }
  char* end = nullptr;
  const double seconds = std::strtod(header->second.c_str(), &end);
  const bool isNumber = end != header->second.c_str() && *end == '\0';
  return isNumber && seconds > 0 && seconds <= kMaxSeconds
           ? static_cast<Millis>(seconds * kMillisPerSecond)
           : 0;
}

} // namespace

wire::CallAnswer
NotRunAnswer(const std::string& aCallId, const Refusal& aRefusal)
{
  wire::CallAnswer answer;
  answer.callId = aCallId;
  answer.outcome = wire::CallOutcome::NOT_RUN;
  answer.reason = kRefusalReasonNames.NameOf(aRefusal.reason);
  answer.owner = aRefusal.owner;
  answer.bound = aRefusal.bound;
  answer.seen = aRefusal.seen;
  answer.retryAfterMillis = static_cast<std::int32_t>(aRefusal.retryAfter);
  return answer;
}

wire::CallAnswer
NotRunAnswer(const std::string& aCallId, RefusalReason aReason)
{
  Refusal refusal;
  refusal.reason = aReason;
  return NotRunAnswer(aCallId, refusal);
}

wire::CallAnswer
UnknownAnswer(const std::string& aCallId, const std::string& aReason)
{
  wire::CallAnswer answer;
  answer.callId = aCallId;
  answer.outcome = wire::CallOutcome::UNKNOWN;
  answer.reason = aReason;
  return answer;
}

std::optional<wire::CallAnswer>
ClassifyServerAnswer(const CallDialect& aDialect,
                     const std::string& aCallId,
                     const HttpAnswer& aAnswer)
{
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  if (aDialect.otherServerStatus != 0 &&
      aAnswer.status == aDialect.otherServerStatus) {
    kLog.Decision("other-server", "call={} status={}", aCallId, aAnswer.status);
    return NotRunAnswer(aCallId, RefusalReason::OtherServer);
  }
  if (!aDialect.notExecutedHeader.empty() &&
      aAnswer.headers.contains(aDialect.notExecutedHeader)) {
    kLog.Decision(
      "server-refused", "call={} status={}", aCallId, aAnswer.status);
    Refusal refusal;
    refusal.reason = RefusalReason::ServerRefused;
    refusal.retryAfter = RetryAfterOf(aAnswer.headers);
    return NotRunAnswer(aCallId, refusal);
  }
  const bool isSigned = aDialect.signatureHeader.empty() ||
                        aAnswer.headers.contains(aDialect.signatureHeader);
  const bool isSuccess =
    aAnswer.status >= kFirstSuccess && aAnswer.status < kFirstRedirect;
  const int overloadStatus =
    StatusFor(aDialect, RefusalReason::Overload, false);
  if (!isSigned && (isSuccess || aAnswer.status == overloadStatus)) {
    kLog.Decision(
      "answer-unsigned", "call={} status={}", aCallId, aAnswer.status);
    return UnknownAnswer(aCallId, "unsigned-answer");
  }
  return std::nullopt;
}

} // namespace lacewingwharf
