#include "distribution/storedtext.h"

#include "common/base64.h"

#include <nlohmann/json.hpp>
#include <zstd.h>

#include <optional>

namespace lacewingwharf {

namespace {

constexpr const char* kFrameKey = "zstd";

// Smaller texts are not compressed, so that operators can read them.
constexpr std::size_t kPackThresholdBytes = 16U << 10U;

// A frame that declares a larger size is refused before memory is allocated.
constexpr std::uint64_t kMaxUnpackedBytes = 64U << 20U;

constexpr int kCompressionLevel = 3;

// Upper bound for the writer and the nonce.
constexpr std::size_t kMaxHeaderBytes = 1024;

std::optional<std::string>
Compress(const std::string& aPlain)
{
  std::string frame(ZSTD_compressBound(aPlain.size()), '\0');
  const std::size_t size = ZSTD_compress(frame.data(),
                                         frame.size(),
                                         aPlain.data(),
                                         aPlain.size(),
                                         kCompressionLevel);
  if (ZSTD_isError(size) != 0U) {
    return std::nullopt;
  }
  frame.resize(size);
  return frame;
}

std::optional<std::string>
Decompress(const std::string& aFrame)
{
  const unsigned long long size =
    ZSTD_getFrameContentSize(aFrame.data(), aFrame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > kMaxUnpackedBytes) {
    return std::nullopt;
  }
  std::string plain(size, '\0');
  const std::size_t written =
    ZSTD_decompress(plain.data(), plain.size(), aFrame.data(), aFrame.size());
  if (ZSTD_isError(written) != 0U || written != size) {
    return std::nullopt;
  }
  return plain;
}

/** Returns the zstd frame if aText has the compressed form. */
std::optional<std::string>
ExtractFrame(std::string_view aText)
{
  const auto object = nlohmann::json::parse(aText, nullptr, false);
  if (!object.is_object() || object.size() != 1) {
    return std::nullopt;
  }
  const auto frame = object.find(kFrameKey);
  if (frame == object.end() || !frame->is_string()) {
    return std::nullopt;
  }
  return DecodeBase64(frame->get_ref<const std::string&>());
}

/**
 * Returns an upper bound for the size of the plain text. The bound assumes that
 * each byte of an entry's text is escaped and so takes two bytes.
 */
std::size_t
MaxPlainBytes(const Snapshot& aSnapshot)
{
  constexpr std::size_t kEntryOverheadBytes = 64;
  std::size_t bound = kMaxHeaderBytes;
  for (const auto& [name, accepted] : aSnapshot.Entries()) {
    bound += name.size() + 2 * accepted->text.size() + kEntryOverheadBytes;
  }
  return bound;
}

} // namespace

std::string
EncodeStored(const AcceptedObject& aObject)
{
  std::string plain = EncodeAccepted(aObject);
  if (plain.size() < kPackThresholdBytes) {
    return plain;
  }
  const auto frame = Compress(plain);
  if (!frame) {
    return plain;
  }
  return nlohmann::json{ { kFrameKey, EncodeBase64(*frame) } }.dump();
}

CatalogueResult<AcceptedObject>
DecodeStored(std::string_view aText)
{
  const auto frame = ExtractFrame(aText);
  if (!frame) {
    return DecodeAccepted(aText);
  }
  const auto plain = Decompress(*frame);
  if (!plain) {
    return CatalogueError{ CatalogueErrorCode::BadJson,
                           "",
                           "the accepted version cannot be unpacked" };
  }
  return DecodeAccepted(*plain);
}

bool
FitsInStore(const Snapshot& aSnapshot)
{
  if (MaxPlainBytes(aSnapshot) <= kMaxStoredBytes) {
    return true;
  }
  const AcceptedObject object{ MakeWholeDelta(aSnapshot), "", "" };
  return EncodeStored(object).size() + kMaxHeaderBytes <= kMaxStoredBytes;
}

} // namespace lacewingwharf
