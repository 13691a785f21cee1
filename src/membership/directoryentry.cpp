#include "membership/directoryentry.h"

#include "common/jsonitems.h"
#include "common/jsonvalue.h"
#include "common/log.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <string_view>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Log kLog("membership");

// More than any backend server has. A higher number is not from a daemon.
constexpr std::int64_t kMaxSlots = 100000;

bool
IsAddress(const std::string& aText)
{
  in_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1;
}

/** Returns 0 when the field is missing or is no port. */
int
PortIn(const Json& aObject)
{
  constexpr std::int64_t kMaxPort = 65535;
  const auto port = IntegerField(aObject, "port").value_or(0);
  return port > 0 && port <= kMaxPort ? static_cast<int>(port) : 0;
}

std::int64_t
NumberIn(const Json& aObject, const char* aField)
{
  return IntegerField(aObject, aField).value_or(0);
}

} // namespace

std::string
EncodeEntry(const DirectoryEntry& aEntry)
{
  Json json = { { "address", aEntry.address.address },
                { "port", aEntry.address.port },
                { "region", aEntry.region },
                { "domain", aEntry.domain },
                { "incarnation", aEntry.incarnation } };
  if (aEntry.server) {
    json["server"] = { { "id", aEntry.server->id },
                       { "startedAt", aEntry.server->startedAt },
                       { "service", aEntry.server->service },
                       { "port", aEntry.server->port },
                       { "slots", aEntry.server->slots } };
    if (!aEntry.server->version.empty()) {
      json["server"]["version"] = aEntry.server->version;
    }
  }
  if (aEntry.leaving) {
    json["leaving"] = { { "id", aEntry.leaving->id },
                        { "startedAt", aEntry.leaving->startedAt } };
  }
  return json.dump();
}

std::optional<DirectoryEntry>
DecodeEntry(const StoredObject& aObject)
{
  const Json json = ParseItem(aObject.value);
  if (!json.is_object() || !IsAddress(TextField(json, "address")) ||
      PortIn(json) == 0) {
    kLog.Warning("ignoring object {} of {} bytes: not a member entry",
                 aObject.name,
                 aObject.value.size());
    return std::nullopt;
  }
  DirectoryEntry entry;
  entry.host = aObject.name.substr(std::string_view(kMemberPrefix).size());
  entry.address = { TextField(json, "address"), PortIn(json) };
  entry.region = TextField(json, "region");
  entry.domain = TextField(json, "domain");
  entry.incarnation = NumberIn(json, "incarnation");
  const Json server = json.value("server", Json::object());
  const std::int64_t slots = NumberIn(server, "slots");
  if (PortIn(server) != 0 && slots > 0 && slots <= kMaxSlots) {
    entry.server = ServerProcess{
      TextField(server, "id"),      NumberIn(server, "startedAt"),
      TextField(server, "service"), PortIn(server),
      static_cast<int>(slots),      TextField(server, "version")
    };
  }
  const Json leaving = json.value("leaving", Json::object());
  if (leaving.is_object() && !TextField(leaving, "id").empty()) {
    entry.leaving =
      LeavingServer{ TextField(leaving, "id"), NumberIn(leaving, "startedAt") };
  }
  return entry;
}

wire::MemberRecord
RecordOf(const DirectoryEntry& aEntry)
{
  wire::MemberRecord record;
  record.host = aEntry.host;
  record.address = aEntry.address.address;
  record.peerPort = aEntry.address.port;
  record.region = aEntry.region;
  record.domain = aEntry.domain;
  record.incarnation = aEntry.incarnation;
  record.state = wire::MemberState::ALIVE;
  const bool isLeaving =
    aEntry.server && aEntry.leaving && aEntry.leaving->id == aEntry.server->id;
  if (aEntry.server && !isLeaving) {
    wire::Endpoint endpoint;
    endpoint.serviceName = aEntry.server->service;
    endpoint.port = aEntry.server->port;
    endpoint.slots = aEntry.server->slots;
    endpoint.state = wire::EndpointState::READY;
    if (!aEntry.server->version.empty()) {
      endpoint.__set_serverVersion(aEntry.server->version);
    }
    record.endpoints.push_back(endpoint);
  }
  return record;
}

} // namespace lacewingwharf
