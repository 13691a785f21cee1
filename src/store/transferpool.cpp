#include "store/transferpool.h"

#include <fmt/format.h>

#include <utility>

namespace lacewingwharf {

namespace {

constexpr long kOk = 200;
constexpr long kCreated = 201;
constexpr long kNoContent = 204;
constexpr long kNotFound = 404;
constexpr long kConflict = 409;
constexpr long kGone = 410;
constexpr long kPayloadTooLarge = 413;
constexpr long kTooManyRequests = 429;
constexpr long kFirstServerError = 500;

PlatformErrorCode
ErrorCodeForStatus(long aStatus)
{
  switch (aStatus) {
    case kNotFound:
      return PlatformErrorCode::NotFound;
    case kConflict:
      return PlatformErrorCode::Conflict;
    case kGone:
      return PlatformErrorCode::Compacted;
    case kPayloadTooLarge:
      return PlatformErrorCode::TooLarge;
    case kTooManyRequests:
      return PlatformErrorCode::Throttled;
    default:
      // After a server error it is unknown whether a write took effect.
      return aStatus >= kFirstServerError ? PlatformErrorCode::TimedOut
                                          : PlatformErrorCode::Malformed;
  }
}

} // namespace

bool
IsSuccess(long aStatus)
{
  return aStatus == kOk || aStatus == kCreated || aStatus == kNoContent;
}

PlatformError
ErrorForStatus(const TransferAnswer& aAnswer)
{
  const auto code = ErrorCodeForStatus(aAnswer.status);
  if (code == PlatformErrorCode::Conflict) {
    return {
      code, fmt::format("the current revision is {}", aAnswer.objectRevision)
    };
  }
  return { code, fmt::format("HTTP status {}", aAnswer.status) };
}

TransferPool::TransferPool(HttpStoreConfig aConfig)
  : config(std::move(aConfig))
{
}

TransferRequest
TransferPool::MakeRequest(const std::string& aTarget) const
{
  TransferRequest request;
  request.url = this->config.baseUrl + aTarget;
  request.connectTimeout = this->config.connectTimeout;
  request.timeout = this->config.requestTimeout;
  request.maxAnswerBytes = this->config.maxAnswerBytes;
  request.shouldStop = this->config.shouldStop;
  return request;
}

PlatformResult<TransferAnswer>
TransferPool::Run(const TransferRequest& aRequest)
{
  return this->TransferForThisThread().Run(aRequest);
}

StoreTransfer&
TransferPool::TransferForThisThread()
{
  const std::lock_guard lock(this->mutex);
  auto& transfer = this->transfers[std::this_thread::get_id()];
  if (!transfer) {
    transfer = std::make_unique<StoreTransfer>();
  }
  return *transfer;
}

} // namespace lacewingwharf
