#include "peer/framer.h"

namespace lacewingwharf {

namespace {

// An empty buffer with a larger capacity, left by a large frame, is released.
constexpr std::size_t kMaxRetainedBytes = 65536;

std::size_t
ReadFrameHeader(std::string_view aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}

} // namespace

void
WriteFrameHeader(std::string& aFrame, std::size_t aLength)
{
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    const auto shift = 8U * (kFrameHeaderBytes - 1 - i);
    aFrame[i] = static_cast<char>((aLength >> shift) & 0xffU);
  }
}

Framer::Framer(std::size_t aMaxFrameBytes)
  : maxFrameBytes(aMaxFrameBytes)
{
}

void
Framer::Append(std::string_view aBytes)
{
  if (this->consumed == this->buffer.size()) {
    this->buffer.clear();
    if (this->buffer.capacity() > kMaxRetainedBytes) {
      this->buffer.shrink_to_fit();
    }
  } else {
    this->buffer.erase(0, this->consumed);
  }
  this->consumed = 0;
  this->buffer.append(aBytes);
}

PeerResult<std::optional<std::string_view>>
Framer::Next()
{
  const auto unread = std::string_view(this->buffer).substr(this->consumed);
  if (unread.size() < kFrameHeaderBytes) {
    return std::optional<std::string_view>();
  }
  const std::size_t length = ReadFrameHeader(unread);
  if (length == 0) {
    return PeerError{ PeerErrorCode::Malformed, "empty frame" };
  }
  if (length > this->maxFrameBytes) {
    return PeerError{ PeerErrorCode::TooLarge,
                      "frame of " + std::to_string(length) +
                        " bytes exceeds the limit" };
  }
  if (unread.size() < kFrameHeaderBytes + length) {
    return std::optional<std::string_view>();
  }
  this->consumed += kFrameHeaderBytes + length;
  return std::optional(unread.substr(kFrameHeaderBytes, length));
}

} // namespace lacewingwharf
