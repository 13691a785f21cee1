#include "common/sha256.h"
#include "execution/teamkeys.h"
#include "proxy/requestparser.h"

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr std::size_t kMaxRequests = 8;
constexpr const char* kKey = "K-tills";
constexpr const char* kTeamHeader = "X-Team";

/** The requests of one connection, up to the first that ends it. */
struct Parsed
{
  std::vector<HttpRequest> requests;
  RequestState state = RequestState::ReadingHead; // Of the last one.
  std::size_t consumed = 0;
};

void
Check(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

/**
 * Checks that the memory counted for a request is at least its stored bytes,
 * and bounded by the limits whatever its shape.
 */
void
CheckHeld(const RequestParser& aParser, const RequestLimits& aLimits)
{
  // The shortest header has 4 bytes; a string that grows reserves up to twice
  // what it holds.
  constexpr std::size_t kMostPerHeadByte = 64;
  constexpr std::size_t kMostPerBodyByte = 2;
  const std::size_t held = aParser.HeldBytes();
  Check(held >= aParser.StoredBytes());
  Check(aParser.State() == RequestState::Refused ||
        held <= kMostPerHeadByte * aLimits.headBytes +
                  kMostPerBodyByte * aLimits.bodyBytes);
}

Parsed
Parse(std::string_view aBytes, std::size_t aPieceBytes)
{
  const RequestLimits limits{ 1024, 1024 };
  auto parser = std::make_unique<RequestParser>(limits);
  Parsed parsed;
  std::string unparsed;
  for (std::size_t at = 0; at < aBytes.size(); at += aPieceBytes) {
    unparsed += aBytes.substr(at, aPieceBytes);
    while (true) {
      const std::size_t consumed = parser->Feed(unparsed);
      unparsed.erase(0, consumed);
      parsed.consumed += consumed;
      parsed.state = parser->State();
      CheckHeld(*parser, limits);
      if (parsed.state != RequestState::Complete) {
        break;
      }
      const bool isLast = !parser->KeepsConnection() ||
                          parsed.requests.size() + 1 == kMaxRequests;
      parsed.requests.push_back(parser->TakeRequest());
      if (isLast) {
        return parsed;
      }
      parser = std::make_unique<RequestParser>(limits);
    }
    if (parsed.state == RequestState::Refused) {
      break;
    }
  }
  return parsed;
}

/** Returns a catalogue of one route, with a team that has the key. */
SnapshotPtr
MakeCatalogue()
{
  AcceptedEntries entries;
  const auto add = [&entries](Entry aEntry) {
    AcceptedEntry accepted;
    accepted.entry = std::move(aEntry);
    accepted.revision = 1;
    const std::string name = accepted.entry.name;
    entries[name] = std::make_shared<const AcceptedEntry>(std::move(accepted));
  };
  Entry service;
  service.name = "orders";
  service.kind = EntryKind::Service;
  service.owner = "shop";
  add(service);
  Entry route;
  route.name = "tills";
  route.kind = EntryKind::Route;
  route.owner = "shop";
  route.service = service.name;
  route.match.path = "/orders";
  add(route);
  Entry team;
  team.name = "team.tills";
  team.kind = EntryKind::Team;
  team.owner = "tills";
  team.team.keyDigests = { Sha256Hex(kKey) };
  add(team);
  return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
}

/** Whether one of the comma-separated credentials has the scheme of keys. */
bool
HasBearer(std::string_view aValue)
{
  constexpr std::string_view kScheme = "bearer";
  std::string word; // The first one of the credentials.
  bool isStarted = false;
  bool isOver = false;
  for (const char character : std::string(aValue) + ",") {
    const bool isSpace = character == ' ' || character == '\t';
    isOver = isOver || (isStarted && isSpace);
    if (character == ',') {
      if (word == kScheme) {
        return true;
      }
      word.clear();
      isStarted = false;
      isOver = false;
    } else if (!isOver && !isSpace) {
      isStarted = true;
      word +=
        static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    }
  }
  return false;
}

/** Checks that servers get the team if the key is known, and never a key. */
void
CheckTeam(const HttpRequest& aRequest)
{
  static const SnapshotPtr kCatalogue = MakeCatalogue();
  static const TeamKeys kKeys(Clock::Steady(), 1000);
  EntryCall call;
  call.http = aRequest;
  call.snapshot = kCatalogue;
  call.entry = kCatalogue->MatchRoute(HttpMethod::Get, "/orders");
  const bool isRefused = kKeys.Check(call).has_value();
  Check(isRefused == (call.team == nullptr));
  const auto sent = aRequest.headers.find("Authorization");
  Check(call.team == nullptr || (sent != aRequest.headers.end() &&
                                 sent->second.find(kKey) != std::string::npos));
  HttpHeaders headers = aRequest.headers;
  ReplaceTeamHeaders(headers, call.team, kTeamHeader);
  const auto forwarded = headers.find("Authorization");
  Check(forwarded == headers.end() || !HasBearer(forwarded->second));
  const auto team = headers.find(kTeamHeader);
  Check((team != headers.end()) == (call.team != nullptr));
  Check(team == headers.end() || team->second == "tills");
}

/** Checks that the way in which bytes arrive does not change the requests. */
void
CheckStream(std::string_view aBytes)
{
  const Parsed whole = Parse(aBytes, aBytes.size() + 1);
  const Parsed pieces = Parse(aBytes, 1 + aBytes.size() % 13);
  Check(whole.requests.size() == pieces.requests.size());
  const bool isComplete = whole.state == RequestState::Complete;
  Check(isComplete == (pieces.state == RequestState::Complete));
  Check(!isComplete || whole.consumed == pieces.consumed);
  for (std::size_t i = 0; i < whole.requests.size(); ++i) {
    const HttpRequest& request = whole.requests[i];
    Check(request.method == pieces.requests[i].method);
    Check(request.target == pieces.requests[i].target);
    Check(request.body == pieces.requests[i].body);
    Check(request.headers == pieces.requests[i].headers);
    CheckTeam(request);
  }
}

/** Sends each line of the input as the credentials of a pipelined request. */
std::string
MakePipelined(std::string_view aBytes)
{
  std::string stream;
  for (std::size_t i = 0; i < kMaxRequests && !aBytes.empty(); ++i) {
    const std::string_view line = aBytes.substr(0, aBytes.find('\n'));
    aBytes.remove_prefix(std::min(aBytes.size(), line.size() + 1));
    stream += "GET /orders HTTP/1.1\r\nHost: x\r\nX-Team: forged\r\n"
              "Authorization: ";
    stream += i % 2 == 0 ? "Bearer " : "";
    stream += line;
    stream += "\r\n\r\n";
  }
  return stream;
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  CheckStream(bytes);
  CheckStream(MakePipelined(bytes));
  return 0;
}
