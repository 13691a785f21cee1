#pragma once

#include "peer_types.h"

#include <cstddef>
#include <cstdint>

namespace lacewingwharf {

/** Largest datagram between daemons, encoded. */
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/** Kept free in a datagram for the fields around the updates. */
inline constexpr std::size_t kDatagramHeaderBytes = 100;

/** Largest record that travels in datagrams; larger ones wait for a sync. */
inline constexpr std::size_t kMaxRecordBytes =
  kMaxDatagramBytes - kDatagramHeaderBytes;

/** Bytes of a message in the compact protocol. */
std::size_t
EncodedSize(const apache::thrift::TBase& aMessage);

/** Hash of the encoded message. */
std::uint64_t
EncodedHash(const apache::thrift::TBase& aMessage);

} // namespace lacewingwharf
