#include "ctl/daemonclient.h"

#include "common/jsonvalue.h"
#include "store/storetransfer.h"

#include <fmt/format.h>

#include <utility>

namespace lacewingwharf {

namespace {

constexpr Millis kConnectTimeout = 1000;
constexpr Millis kRequestTimeout = 3000;
constexpr std::size_t kMaxAnswerBytes = 8U << 20U;
constexpr long kHttpOk = 200;
constexpr long kHttpNotFound = 404;

using Json = DaemonClient::Json;

Result<Json, DaemonError>
ReadOverHttp(const std::string& aUrl)
{
  TransferRequest request;
  request.url = aUrl;
  request.connectTimeout = kConnectTimeout;
  request.timeout = kRequestTimeout;
  request.maxAnswerBytes = kMaxAnswerBytes;
  StoreTransfer transfer;
  const auto answer = transfer.Run(request);
  if (!answer) {
    return failure(DaemonError{ answer.error().detail });
  }
  if (answer.value().status == kHttpNotFound) {
    return success(Json::object());
  }
  Json body = Json::parse(answer.value().body, nullptr, false);
  if (answer.value().status != kHttpOk || !body.is_object()) {
    return failure(DaemonError{
      fmt::format("{} answered with status {}", aUrl, answer.value().status) });
  }
  return success(std::move(body));
}

} // namespace

DaemonClient::DaemonClient()
  : DaemonClient(ReadOverHttp)
{
}

DaemonClient::DaemonClient(Reader aReader)
  : read(std::move(aReader))
{
}

Result<DaemonClient::Json, DaemonError>
DaemonClient::FetchState(const std::string& aDaemon)
{
  return this->read(fmt::format("http://{}/v1/state", aDaemon));
}

Result<DaemonClient::Json, DaemonError>
DaemonClient::FetchTeam(const std::string& aDaemon, const std::string& aName)
{
  return this->read(
    fmt::format("http://{}/v1/teams/{}", aDaemon, EscapeObjectName(aName)));
}

Result<HeldEntry, DaemonError>
DaemonClient::FetchEntry(const std::string& aDaemon, const std::string& aName)
{
  auto entry = this->read(
    fmt::format("http://{}/v1/entries/{}", aDaemon, EscapeObjectName(aName)));
  if (!entry) {
    return failure(std::move(entry.error()));
  }
  HeldEntry held;
  held.revision = FieldOr(entry.value(), "revision", std::int64_t{ 0 });
  if (entry.value().contains("textHash")) {
    held.textHash = FieldOr(entry.value(), "textHash", std::uint64_t{ 0 });
  }
  return success(held);
}

Result<DaemonClient::Json, DaemonError>
DaemonClient::FetchUsage(const std::string& aDaemon, const std::string& aTeam)
{
  auto entry = this->read(
    fmt::format("http://{}/v1/entries/{}", aDaemon, EscapeObjectName(aTeam)));
  if (!entry) {
    return failure(std::move(entry.error()));
  }
  return success(FieldOr(entry.value(), "usage", Json::object()));
}

} // namespace lacewingwharf
