#include "execution/outcome.h"

#include "proxy/httpheaders.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lacewingwharf {

namespace {

constexpr int kUnauthorizedStatus = 401;

} // namespace

int
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::UnknownKey:
      return kUnauthorizedStatus;
    case RefusalReason::NoRoute:
      return 404;
    case RefusalReason::BodyBytes:
      return 413;
    case RefusalReason::DeadlinePassed:
      return 504;
    case RefusalReason::DepthExceeded:
      return 508;
    case RefusalReason::EntryConcurrency:
    case RefusalReason::EntryRate:
    case RefusalReason::OwnerConcurrency:
    case RefusalReason::OwnerRate:
    case RefusalReason::TeamRate:
      return 429;
    default:
      return 503;
  }
}

std::string
DescribeLimit(const Refusal& aRefusal)
{
  return fmt::format("{} bound {} seen {}",
                     kRefusalReasonNames.NameOf(aRefusal.reason),
                     aRefusal.bound,
                     aRefusal.seen);
}

namespace {

std::string
RetryAfterText(Millis aTime, const CallDialect& aDialect)
{
  constexpr Millis kSecond = 1000;
  if (aDialect.allowsFractionalRetryAfter) {
    return fmt::format("{:.3f}", static_cast<double>(aTime) / kSecond);
  }
  return fmt::format("{}", (aTime + kSecond - 1) / kSecond);
}

} // namespace

HttpAnswer
MakeAnswer(const Ending& aEnding, const CallDialect& aDialect)
{
  HttpAnswer answer;
  answer.status = aEnding.status;
  nlohmann::json body = { { "outcome", kOutcomeNames.NameOf(aEnding.outcome) },
                          { "reason", aEnding.reason } };
  if (aEnding.isRefusal) {
    const Refusal& refusal = aEnding.refusal;
    body["entry"] = refusal.entry;
    body["owner"] = refusal.owner;
    body["bound"] = refusal.bound;
    body["seen"] = refusal.seen;
    if (aDialect.addsOwnHeaders) {
      answer.headers[kLimitHeader] = DescribeLimit(refusal);
    }
    if (refusal.retryAfter > 0) {
      answer.headers["Retry-After"] =
        RetryAfterText(refusal.retryAfter, aDialect);
    }
  }
  if (aDialect.addsOwnHeaders) {
    answer.headers[kReasonHeader] = aEnding.reason;
    answer.headers[kOutcomeHeader] = kOutcomeNames.NameOf(aEnding.outcome);
  }
  if (aEnding.status == kUnauthorizedStatus) {
    answer.headers["WWW-Authenticate"] = "Bearer"; // HTTP requires it.
  }
  answer.headers["Content-Type"] = "application/json";
  answer.body = body.dump() + "\n";
  return answer;
}

HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders)
{
  HttpHeaders kept = aHeaders;
  RemoveHopByHop(kept);
  kept.erase("Host");
  return kept;
}

} // namespace lacewingwharf
