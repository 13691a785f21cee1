#pragma once

#include "common/names.h"
#include "common/result.h"
#include "peer_types.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingwharf {

enum class PeerErrorCode
{
  Malformed,
  TooLarge
};

inline constexpr auto kPeerErrorNames =
  MakeNameTable<PeerErrorCode>({ { PeerErrorCode::Malformed, "malformed" },
                                 { PeerErrorCode::TooLarge, "too-large" } });

struct PeerError
{
  PeerErrorCode code = PeerErrorCode::Malformed;
  std::string detail;
};

template<typename Value>
using PeerResult = Result<Value, PeerError>;

/**
 * The maximum total number of elements in all containers of one message. A
 * declared element may take one byte on the wire but up to about 200 bytes of
 * memory, so with the frame limit alone a malicious frame of 8 MB could
 * allocate more than 1 GB.
 */
inline constexpr std::size_t kMaxMessageElements = 131072;

/** Encodes an envelope. Fails unless exactly one of its fields is set. */
PeerResult<std::string>
EncodeEnvelope(const wire::Envelope& aEnvelope, std::size_t aMaxBytes);

/** Encodes like EncodeEnvelope() and prepends the 4-byte frame header. */
PeerResult<std::string>
EncodeFrame(const wire::Envelope& aEnvelope, std::size_t aMaxBytes);

/** Fails unless aBytes is one complete envelope with exactly one field set. */
PeerResult<wire::Envelope>
DecodeEnvelope(std::string_view aBytes);

} // namespace lacewingwharf
