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
 * Elements of all containers of one message together. A declared element costs
 * up to about 200 bytes of memory but one byte on the wire, so the frame limit
 * alone would let 8 MB of hostile bytes allocate more than 1 GB.
 */
inline constexpr std::size_t kMaxMessageElements = 131072;

/** Envelope to bytes; exactly one field of the envelope must be set. */
PeerResult<std::string>
EncodeEnvelope(const wire::Envelope& aEnvelope, std::size_t aMaxBytes);

/** As EncodeEnvelope(), with the 4-byte frame header in front. */
PeerResult<std::string>
EncodeFrame(const wire::Envelope& aEnvelope, std::size_t aMaxBytes);

/** Fails unless aBytes is one whole envelope with exactly one field set. */
PeerResult<wire::Envelope>
DecodeEnvelope(std::string_view aBytes);

} // namespace lacewingwharf
