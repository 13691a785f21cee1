#include "membership/wiresize.h"

#include "common/hash.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string_view>

namespace lacewingwharf {

namespace {

using Buffer = apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<Buffer>;

/** Returns bytes that stay valid until the next call on the same thread. */
std::string_view
Encode(const apache::thrift::TBase& aMessage)
{
  thread_local const auto buffer = std::make_shared<Buffer>();
  thread_local Protocol protocol(buffer);
  buffer->resetBuffer();
  aMessage.write(&protocol);
  std::uint8_t* bytes = nullptr;
  std::uint32_t size = 0;
  buffer->getBuffer(&bytes, &size);
  return { reinterpret_cast<const char*>(bytes), size };
}

} // namespace

std::size_t
EncodedSize(const apache::thrift::TBase& aMessage)
{
  return Encode(aMessage).size();
}

std::uint64_t
EncodedHash(const apache::thrift::TBase& aMessage)
{
  return Hash64(Encode(aMessage));
}

} // namespace lacewingwharf
