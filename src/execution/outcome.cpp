#include "execution/outcome.h"

#include "proxy/httpheaders.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lacewingwharf {

int
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
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

HttpAnswer
MakeAnswer(const Ending& aEnding)
{
  HttpAnswer answer;
  answer.status = aEnding.status;
  nlohmann::json body = { { "outcome", kOutcomeNames.NameOf(aEnding.outcome) },
                          { "reason", aEnding.reason } };
  answer.headers[kReasonHeader] = aEnding.reason;
  if (aEnding.isRefusal) {
    const Refusal& refusal = aEnding.refusal;
    body["entry"] = refusal.entry;
    body["owner"] = refusal.owner;
    body["bound"] = refusal.bound;
    body["seen"] = refusal.seen;
    answer.headers[kLimitHeader] = DescribeLimit(refusal);
    if (refusal.retryAfter > 0) {
      constexpr Millis kSecond = 1000;
      const Millis seconds = (refusal.retryAfter + kSecond - 1) / kSecond;
      answer.headers["Retry-After"] = fmt::format("{}", seconds);
    }
  }
  answer.headers[kOutcomeHeader] = kOutcomeNames.NameOf(aEnding.outcome);
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
