#include "distribution/wireconversion.h"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <zstd.h>

#include <memory>
#include <utility>

namespace lacewingwharf {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

// Below this size the saving is smaller than the cost of a zstd frame.
constexpr std::size_t kPackThresholdBytes = 512;

// A frame that declares a larger size is refused before memory is allocated.
constexpr std::uint64_t kMaxUnpackedBytes = 64U << 20U;

constexpr int kCompressionLevel = 3;

wire::EntryText
EntryTextOf(const ChangedEntry& aChanged)
{
  wire::EntryText text;
  text.name = aChanged.name;
  text.revision = aChanged.revision;
  text.text = aChanged.text;
  return text;
}

std::string
Serialize(const wire::ConfigBody& aBody)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  aBody.write(&protocol);
  return buffer->getBufferAsString();
}

bool
Deserialize(std::string& aBytes, wire::ConfigBody& aBody)
{
  const auto buffer = std::make_shared<TMemoryBuffer>(
    reinterpret_cast<std::uint8_t*>(aBytes.data()),
    static_cast<std::uint32_t>(aBytes.size()));
  TCompactProtocol protocol(buffer);
  try {
    aBody.read(&protocol);
  } catch (const apache::thrift::TException&) {
    return false;
  }
  return true;
}

/**
 * Replaces the lists of a body with one entry whose text is the zstd frame of
 * the lists. Its name is empty, which marks the body as packed, because real
 * entries have names.
 */
void
Pack(wire::ConfigBody& aBody)
{
  wire::ConfigBody lists;
  lists.changed = std::move(aBody.changed);
  lists.removed = std::move(aBody.removed);
  const std::string plain = Serialize(lists);
  wire::EntryText packed;
  packed.text.resize(ZSTD_compressBound(plain.size()));
  const std::size_t size = ZSTD_compress(packed.text.data(),
                                         packed.text.size(),
                                         plain.data(),
                                         plain.size(),
                                         kCompressionLevel);
  if (ZSTD_isError(size) != 0U) {
    aBody.changed = std::move(lists.changed);
    aBody.removed = std::move(lists.removed);
    return;
  }
  packed.text.resize(size);
  aBody.changed = { packed };
  aBody.removed.clear();
}

bool
IsPacked(const wire::ConfigBody& aBody)
{
  return aBody.changed.size() == 1 && aBody.changed.front().name.empty();
}

bool
Unpack(const std::string& aFrame, wire::ConfigBody& aLists)
{
  const unsigned long long size =
    ZSTD_getFrameContentSize(aFrame.data(), aFrame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > kMaxUnpackedBytes) {
    return false;
  }
  std::string plain(size, '\0');
  const std::size_t written =
    ZSTD_decompress(plain.data(), plain.size(), aFrame.data(), aFrame.size());
  return ZSTD_isError(written) == 0U && written == size &&
         Deserialize(plain, aLists);
}

void
ReadLists(const wire::ConfigBody& aLists, Delta& aDelta)
{
  aDelta.changed.reserve(aLists.changed.size());
  for (const wire::EntryText& text : aLists.changed) {
    aDelta.changed.push_back({ text.name, text.revision, text.text });
  }
  aDelta.removed = aLists.removed;
}

} // namespace

wire::ConfigBody
ToWire(const Delta& aDelta)
{
  wire::ConfigBody body;
  body.base = aDelta.base;
  body.version = aDelta.stamp.version;
  body.contentHash = static_cast<std::int64_t>(aDelta.contentHash);
  body.storeEpoch = aDelta.stamp.storeEpoch;
  body.floorRevision = aDelta.stamp.floorRevision;
  body.whole = aDelta.isWhole;
  body.removed = aDelta.removed;
  std::size_t bytes = 0;
  for (const ChangedEntry& changed : aDelta.changed) {
    bytes += changed.name.size() + changed.text.size();
    body.changed.push_back(EntryTextOf(changed));
  }
  if (bytes >= kPackThresholdBytes) {
    Pack(body);
  }
  return body;
}

CatalogueResult<Delta>
FromWire(const wire::ConfigBody& aBody)
{
  Delta delta;
  delta.base = aBody.base;
  delta.stamp = { aBody.version, aBody.storeEpoch, aBody.floorRevision };
  delta.contentHash = static_cast<std::uint64_t>(aBody.contentHash);
  delta.isWhole = aBody.whole;
  if (!IsPacked(aBody)) {
    ReadLists(aBody, delta);
    return delta;
  }
  wire::ConfigBody lists;
  if (!Unpack(aBody.changed.front().text, lists)) {
    return CatalogueError{
      CatalogueErrorCode::BadField,
      "",
      fmt::format("the body of version {} cannot be unpacked", aBody.version)
    };
  }
  ReadLists(lists, delta);
  return delta;
}

} // namespace lacewingwharf
