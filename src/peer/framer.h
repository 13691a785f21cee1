#pragma once

#include "peer/codec.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingwharf {

inline constexpr std::size_t kFrameHeaderBytes = 4;

/** Writes the length into the first four bytes of aFrame, big endian. */
void
WriteFrameHeader(std::string& aFrame, std::size_t aLength);

/**
 * Cuts a byte stream into frames. Memory grows with the bytes received and
 * not with the length that a header declares.
 */
class Framer
{
public:
  explicit Framer(std::size_t aMaxFrameBytes);

  void SetLimit(std::size_t aMaxFrameBytes);
  void Append(std::string_view aBytes);

  /**
   * The next whole frame without its header, valid until the next Append().
   * Nothing when more bytes are needed; an error when the declared length is
   * zero or over the limit.
   */
  PeerResult<std::optional<std::string_view>> Next();

private:
  std::size_t maxFrameBytes;
  std::string buffer;
  std::size_t consumed = 0;
};

inline void
Framer::SetLimit(std::size_t aMaxFrameBytes)
{
  this->maxFrameBytes = aMaxFrameBytes;
}

} // namespace lacewingwharf
