#include "proxy/requestparser.h"

#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace lacewingwharf;

namespace {

struct Parsed
{
  RequestState state = RequestState::ReadingHead;
  std::string target;
  std::string body;
  std::size_t consumed = 0;
};

Parsed
Parse(std::string_view aBytes, std::size_t aPieceBytes)
{
  RequestParser parser({ 1024, 1024 });
  Parsed parsed;
  std::string unparsed;
  for (std::size_t at = 0; at < aBytes.size(); at += aPieceBytes) {
    unparsed += aBytes.substr(at, aPieceBytes);
    const std::size_t consumed = parser.Feed(unparsed);
    unparsed.erase(0, consumed);
    parsed.consumed += consumed;
    parsed.state = parser.State();
    if (parsed.state == RequestState::Complete) {
      const HttpRequest request = parser.TakeRequest();
      parsed.target = request.target;
      parsed.body = request.body;
      break;
    }
    if (parsed.state == RequestState::Refused) {
      break;
    }
  }
  return parsed;
}

} // namespace

/** Checks that the way in which bytes arrive does not change the request. */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  const Parsed whole = Parse(bytes, aSize + 1);
  const Parsed pieces = Parse(bytes, 1 + aSize % 13);
  const bool isComplete = whole.state == RequestState::Complete;
  if (isComplete != (pieces.state == RequestState::Complete)) {
    std::abort();
  }
  if (isComplete &&
      (whole.target != pieces.target || whole.body != pieces.body ||
       whole.consumed != pieces.consumed)) {
    std::abort();
  }
  return 0;
}
