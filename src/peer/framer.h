#pragma once

#include "peer/codec.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingwharf {

inline constexpr std::size_t kFrameHeaderBytes = 4;

/** Writes aLength to the first four bytes of aFrame in big-endian order. */
void
WriteFrameHeader(std::string& aFrame, std::size_t aLength);

/**
 * Splits a byte stream into frames. Its memory grows with the bytes received,
 * not with the length that a frame header declares.
 */
class Framer
{
public:
  explicit Framer(std::size_t aMaxFrameBytes);

  void SetLimit(std::size_t aMaxFrameBytes);
  void Append(std::string_view aBytes);

  /**
   * Returns the next complete frame without its header. The frame is valid
   * until the next Append(). Returns no value when more bytes are needed and an
   * error when the declared length is zero or above the limit.
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
