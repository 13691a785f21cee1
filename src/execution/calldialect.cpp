#include "execution/calldialect.h"

#include "execution/outcome.h"

namespace lacewingwharf {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;
constexpr int kTooManyRequests = 429;

} // namespace

int
StatusFor(const CallDialect& aDialect, RefusalReason aReason, bool aMayHaveRun)
{
  const int status = StatusOf(aReason);
  if (!aDialect.statusGuaranteesNotRun) {
    return status;
  }
  const bool impliesNotRun =
    status >= kFirstServerError || status == kTooManyRequests;
  if (!impliesNotRun) {
    return status; // The request itself is at fault.
  }
  if (aMayHaveRun) {
    return status == kGatewayTimeout ? kGatewayTimeout : kBadGateway;
  }
  return status == kTooManyRequests ? kTooManyRequests : kUnavailable;
}

} // namespace lacewingwharf
