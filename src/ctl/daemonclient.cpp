#include "ctl/daemonclient.h"

#include "platform/storetransfer.h"

#include <fmt/format.h>

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Millis kConnectBound = 1000;
constexpr Millis kRequestBound = 3000;
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;
constexpr long kOk = 200;
constexpr long kNotFound = 404;

} // namespace

Result<DaemonClient::Json, DaemonError>
DaemonClient::Read(const std::string& aUrl)
{
  TransferRequest request;
  request.url = aUrl;
  request.connectBound = kConnectBound;
  request.bound = kRequestBound;
  request.maxAnswerBytes = kMaxAnswerBytes;
  StoreTransfer transfer;
  const auto answer = transfer.Run(request);
  if (!answer) {
    return failure(DaemonError{ answer.error().detail });
  }
  if (answer.value().status == kNotFound) {
    return success(Json::object());
  }
  Json body = Json::parse(answer.value().body, nullptr, false);
  if (answer.value().status != kOk || !body.is_object()) {
    return failure(DaemonError{
      fmt::format("{} answered with status {}", aUrl, answer.value().status) });
  }
  return success(std::move(body));
}

Result<DaemonClient::Json, DaemonError>
DaemonClient::State(const std::string& aDaemon)
{
  return this->Read(fmt::format("http://{}/v1/state", aDaemon));
}

Result<std::int64_t, DaemonError>
DaemonClient::EntryRevision(const std::string& aDaemon,
                            const std::string& aName)
{
  auto entry = this->Read(
    fmt::format("http://{}/v1/entries/{}", aDaemon, EscapeObjectName(aName)));
  if (!entry) {
    return failure(std::move(entry.error()));
  }
  return success(entry.value().value("revision", std::int64_t{ 0 }));
}

} // namespace lacewingwharf
