#include "peer/codec.h"
#include "peer/framer.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace lacewingwharf;

namespace {

constexpr std::size_t kMaxFrameBytes = 8U << 20U;

void
Check(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

/** Checks that a valid message stays equal when encoded and decoded again. */
void
CheckMessage(std::string_view aBytes)
{
  const auto envelope = DecodeEnvelope(aBytes);
  if (!envelope) {
    return;
  }
  const auto bytes = EncodeEnvelope(envelope.value(), kMaxFrameBytes);
  Check(bytes.has_value());
  const auto again = DecodeEnvelope(bytes.value());
  Check(again.has_value() && again.value() == envelope.value());
}

/** Passes the bytes to a framer in pieces; the first byte sets their size. */
void
CheckStream(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  const auto step = 1U + static_cast<unsigned char>(aBytes.front());
  Framer framer(kMaxFrameBytes);
  for (aBytes.remove_prefix(1); !aBytes.empty();
       aBytes.remove_prefix(std::min<std::size_t>(step, aBytes.size()))) {
    framer.Append(aBytes.substr(0, step));
    auto frame = framer.Next();
    for (; frame && frame.value(); frame = framer.Next()) {
      CheckMessage(*frame.value());
    }
    if (!frame) {
      return;
    }
  }
}

} // namespace

extern "C" int
LLVMFuzzerTestOneInput( // NOLINT(readability-identifier-naming)
  const std::uint8_t* aData,
  std::size_t aSize)
{
  const std::string_view bytes(reinterpret_cast<const char*>(aData), aSize);
  CheckMessage(bytes);
  CheckStream(bytes);
  return 0;
}
