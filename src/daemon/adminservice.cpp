#include "daemon/adminservice.h"

#include "common/log.h"
#include "common/names.h"
#include "common/result.h"
#include "membership/endpointregistry.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Log kLog("admin");
constexpr std::string_view kEndpointsPath = "/v1/endpoints/";
constexpr std::string_view kEntriesPath = "/v1/entries/";
constexpr std::string_view kTeamsPath = "/v1/teams/";
constexpr std::size_t kMaxBodyBytes = 65536;
constexpr unsigned int kMaxConnections = 256;
constexpr int kMaxPort = 65535;
constexpr int kMaxSlots = 100000;

constexpr auto kEndpointStateNames = MakeNameTable<wire::EndpointState::type>(
  { { wire::EndpointState::STARTING, "starting" },
    { wire::EndpointState::READY, "ready" },
    { wire::EndpointState::DRAINING, "draining" } });

/** Why an announcement is invalid, for its sender and the log. */
struct AnnouncementError
{
  std::string detail;
};

HttpAnswer
TextAnswer(int aStatus, std::string aType, std::string aBody)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.headers["Content-Type"] = std::move(aType);
  answer.body = std::move(aBody);
  return answer;
}

HttpAnswer
JsonAnswer(int aStatus, const Json& aBody)
{
  return TextAnswer(aStatus, "application/json", aBody.dump() + "\n");
}

std::optional<int>
NumberField(const Json& aBody, const char* aName, int aLow, int aHigh)
{
  const auto field = aBody.find(aName);
  if (field == aBody.end() || !field->is_number_integer()) {
    return std::nullopt;
  }
  const auto value = field->get<std::int64_t>();
  if (value < aLow || value > aHigh) {
    return std::nullopt;
  }
  return static_cast<int>(value);
}

// A service name has the characters and the maximum length of the name of a
// catalogue entry. A longer name would not fit in a datagram.
bool
IsServiceName(const std::string& aName)
{
  constexpr std::size_t kMaxLength = 128;
  return aName.size() <= kMaxLength &&
         std::ranges::all_of(aName, [](unsigned char aCharacter) {
           return std::isalnum(aCharacter) != 0 || aCharacter == '-' ||
                  aCharacter == '_' || aCharacter == '.';
         });
}

Result<Announcement, AnnouncementError>
ParseAnnouncement(const std::string& aService, const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object() || aService.empty()) {
    return failure(AnnouncementError{ "expected a service and a JSON object" });
  }
  if (!IsServiceName(aService)) {
    return failure(AnnouncementError{
      "the service's name must be 1 to 128 letters, digits, '-', '_' or '.'" });
  }
  const auto port = NumberField(body, "port", 1, kMaxPort);
  const auto slots = NumberField(body, "slots", 1, kMaxSlots);
  const auto connections = NumberField(body, "connections", 1, kMaxSlots);
  const auto stateField = body.find("state");
  if (!port || !slots || !connections || stateField == body.end() ||
      !stateField->is_string()) {
    return failure(AnnouncementError{
      "expected port, slots, connections (whole numbers) and state" });
  }
  const auto state =
    kEndpointStateNames.ValueOf(stateField->get<std::string>());
  if (!state) {
    return failure(
      AnnouncementError{ "state must be starting, ready or draining" });
  }
  return success(Announcement{ aService, *port, *slots, *connections, *state });
}

HttpServerConfig
ServerConfig(const Settings& aSettings)
{
  HttpServerConfig config;
  config.address = aSettings.address;
  config.port = aSettings.adminPort;
  config.limits.request.bodyBytes = kMaxBodyBytes;
  config.maxConnections = kMaxConnections;
  return config;
}

} // namespace

AdminService::AdminService(const Settings& aSettings, AdminHooks aHooks)
  : settings(aSettings)
  , hooks(std::move(aHooks))
  , server(ServerConfig(aSettings),
           { [this](RequestId aId, const HttpRequest& aRequest) {
              this->server.Answer(aId, this->Handle(aRequest));
            },
             [](RequestId) {} })
{
}

bool
AdminService::Start()
{
  if (this->server.Start()) {
    return true;
  }
  kLog.Error("cannot listen on the admin port {}:{}",
             this->settings.address,
             this->settings.adminPort);
  return false;
}

void
AdminService::Stop()
{
  this->server.Stop();
}

HttpAnswer
AdminService::Handle(const HttpRequest& aRequest)
{
  const std::string& path = aRequest.path;
  if (aRequest.method == "PUT" && path.starts_with(kEndpointsPath)) {
    return this->HandleAnnouncement(path.substr(kEndpointsPath.size()),
                                    aRequest.body);
  }
  if (aRequest.method == "GET") {
    return this->HandleRead(path);
  }
  return JsonAnswer(405, { { "error", "method not allowed" } });
}

HttpAnswer
AdminService::HandleAnnouncement(const std::string& aService,
                                 const std::string& aBody)
{
  const auto announcement = ParseAnnouncement(aService, aBody);
  if (!announcement) {
    kLog.Warning("refused the announcement of service '{}': {}",
                 aService,
                 announcement.error().detail);
    return JsonAnswer(400, { { "error", announcement.error().detail } });
  }
  this->hooks.announce(announcement.value());
  return JsonAnswer(200, Json::object());
}

HttpAnswer
AdminService::HandleRead(const std::string& aPath)
{
  if (aPath == "/v1/state") {
    return TextAnswer(200, "application/json", this->hooks.state());
  }
  if (aPath == "/v1/members") {
    return TextAnswer(200, "application/json", this->hooks.members());
  }
  if (aPath == "/metrics") {
    return TextAnswer(200, "text/plain; version=0.0.4", this->hooks.metrics());
  }
  if (aPath.starts_with(kTeamsPath)) {
    const auto team = this->hooks.team(aPath.substr(kTeamsPath.size()));
    if (team) {
      return TextAnswer(200, "application/json", *team);
    }
  }
  if (aPath.starts_with(kEntriesPath)) {
    const auto entry = this->hooks.entry(aPath.substr(kEntriesPath.size()));
    if (entry) {
      return TextAnswer(200, "application/json", *entry);
    }
  }
  return JsonAnswer(404, { { "error", "not found" } });
}

} // namespace lacewingwharf
