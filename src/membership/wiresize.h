#pragma once

#include "peer_types.h"

#include <cstddef>
#include <cstdint>

namespace lacewingwharf {

/** Largest encoded datagram between daemons. */
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/** Space in a datagram that is reserved for the fields around the updates. */
inline constexpr std::size_t kDatagramHeaderBytes = 100;

/** Largest record that is sent in datagrams; syncs carry larger ones. */
inline constexpr std::size_t kMaxRecordBytes =
  kMaxDatagramBytes - kDatagramHeaderBytes;

/** Size of a message in Thrift's compact protocol. */
std::size_t
EncodedSize(const apache::thrift::TBase& aMessage);

/** Hash of a message in Thrift's compact protocol. */
std::uint64_t
EncodedHash(const apache::thrift::TBase& aMessage);

} // namespace lacewingwharf
