#include "peer/codec.h"

#include "peer/enumcheck.h"
#include "peer/framer.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <exception>
#include <memory>

namespace lacewingwharf {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::protocol::TProtocolException;
using apache::thrift::protocol::TType;
using apache::thrift::transport::TMemoryBuffer;
using Compact = TCompactProtocolT<TMemoryBuffer>;

/** Compact protocol that limits the total number of container elements. */
class BoundedProtocol : public Compact
{
public:
  BoundedProtocol(std::shared_ptr<TMemoryBuffer> aBuffer,
                  std::int32_t aStringLimit,
                  std::int32_t aElementLimit)
    : Compact(std::move(aBuffer), aStringLimit, aElementLimit)
    , remainingElements(static_cast<std::uint32_t>(aElementLimit))
  {
  }

  // Thrift's protocol interface determines these names.
  // NOLINTBEGIN(readability-identifier-naming)
  std::uint32_t readListBegin_virt(TType& aType, std::uint32_t& aSize) override
  {
    const auto bytes = Compact::readListBegin_virt(aType, aSize);
    this->ConsumeElements(aSize);
    return bytes;
  }

  std::uint32_t readSetBegin_virt(TType& aType, std::uint32_t& aSize) override
  {
    const auto bytes = Compact::readSetBegin_virt(aType, aSize);
    this->ConsumeElements(aSize);
    return bytes;
  }

  std::uint32_t readMapBegin_virt(TType& aKey,
                                  TType& aValue,
                                  std::uint32_t& aSize) override
  {
    const auto bytes = Compact::readMapBegin_virt(aKey, aValue, aSize);
    this->ConsumeElements(aSize);
    return bytes;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  void ConsumeElements(std::uint32_t aElements)
  {
    if (aElements > this->remainingElements) {
      throw TProtocolException(TProtocolException::SIZE_LIMIT,
                               "too many container elements");
    }
    this->remainingElements -= aElements;
  }

  std::uint32_t remainingElements;
};

int
CountSetFields(const wire::Envelope& aEnvelope)
{
  const auto& set = aEnvelope.__isset;
  const std::array fields{
    set.hello,        set.ping,          set.ack,           set.pingRequest,
    set.memberSync,   set.domainSummary, set.configPush,    set.configFetch,
    set.configAnswer, set.callRequest,   set.callAnswer,    set.callCancel,
    set.callQuery,    set.claimRequest,  set.claimAnswer,   set.statusReport,
    set.heartbeat,    set.loadReport,    set.farewell,      set.relayHeartbeat,
    set.usageRequest, set.usageGrant,    set.rolloutReport, set.rolloutShare,
    set.bodyGrant,    set.bodyPart
  };
  return static_cast<int>(std::ranges::count(fields, true));
}

PeerError
MalformedError(std::string aDetail)
{
  return { PeerErrorCode::Malformed, std::move(aDetail) };
}

/** Reserves aHeaderBytes in front of the message for the caller to fill. */
PeerResult<std::string>
Encode(const wire::Envelope& aEnvelope,
       std::size_t aMaxBytes,
       std::size_t aHeaderBytes)
{
  if (CountSetFields(aEnvelope) != 1) {
    return MalformedError("envelope must have exactly one field");
  }
  try {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    Compact protocol(buffer);
    aEnvelope.write(&protocol);
    std::uint8_t* bytes = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&bytes, &size);
    if (size > aMaxBytes) {
      return PeerError{ PeerErrorCode::TooLarge,
                        "message of " + std::to_string(size) +
                          " bytes exceeds the limit" };
    }
    std::string encoded;
    encoded.reserve(aHeaderBytes + size);
    encoded.resize(aHeaderBytes);
    encoded.append(reinterpret_cast<const char*>(bytes), size);
    return encoded;
  } catch (const std::exception& error) {
    return MalformedError(error.what());
  }
}

} // namespace

PeerResult<std::string>
EncodeEnvelope(const wire::Envelope& aEnvelope, std::size_t aMaxBytes)
{
  return Encode(aEnvelope, aMaxBytes, 0);
}

PeerResult<std::string>
EncodeFrame(const wire::Envelope& aEnvelope, std::size_t aMaxBytes)
{
  auto frame = Encode(aEnvelope, aMaxBytes, kFrameHeaderBytes);
  if (frame) {
    WriteFrameHeader(frame.value(), frame.value().size() - kFrameHeaderBytes);
  }
  return frame;
}

PeerResult<wire::Envelope>
DecodeEnvelope(std::string_view aBytes)
{
  try {
    // Thrift takes a mutable pointer but does not write to an OBSERVE buffer.
    auto* bytes =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
    const auto size = static_cast<std::uint32_t>(aBytes.size());
    // No string or container can be longer than the message that holds it.
    const auto limit =
      std::max<std::int32_t>(1, static_cast<std::int32_t>(size));
    const auto elements = std::min<std::int32_t>(
      limit, static_cast<std::int32_t>(kMaxMessageElements));
    const auto buffer =
      std::make_shared<TMemoryBuffer>(bytes,
                                      size,
                                      TMemoryBuffer::OBSERVE,
                                      std::make_shared<TConfiguration>(limit));
    BoundedProtocol protocol(buffer, limit, elements);
    wire::Envelope envelope;
    envelope.read(&protocol);
    if (buffer->available_read() != 0) {
      return MalformedError("unexpected bytes after the message");
    }
    if (CountSetFields(envelope) != 1) {
      return MalformedError("envelope must have exactly one field");
    }
    if (auto unknown = UnknownEnumValue(envelope)) {
      return MalformedError(std::move(*unknown));
    }
    return envelope;
  } catch (const std::exception& error) {
    return MalformedError(error.what());
  }
}

} // namespace lacewingwharf
