#pragma once

#include "store/objectstore.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

struct TransferRequest
{
  enum class Kind
  {
    Read,
    Write,  // PUT
    Create, // POST
    Remove
  };

  Kind kind = Kind::Read;
  std::string url;
  std::string body;
  std::vector<std::string> headers;

  /** Name of the header with the era of the store; empty if it has none. */
  std::string eraHeader;
  Millis connectTimeout = 0;
  Millis timeout = 0;
  std::size_t maxAnswerBytes = 0;
  std::function<bool()> shouldStop;
};

struct TransferAnswer
{
  long status = 0;
  std::int64_t objectRevision = -1; // -1 if the header is absent.
  std::optional<std::int64_t> era;  // Empty if the header is absent.
  std::string body;
};

/**
 * A libcurl easy handle and its connection. It never sends a write twice. It
 * may be used by only one thread at a time.
 */
class StoreTransfer
{
public:
  StoreTransfer();
  ~StoreTransfer();

  StoreTransfer(const StoreTransfer&) = delete;
  StoreTransfer& operator=(const StoreTransfer&) = delete;

  PlatformResult<TransferAnswer> Run(const TransferRequest& aRequest);

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

/** Percent-encodes all bytes except unreserved characters and slashes. */
std::string
EscapeObjectName(std::string_view aName);

} // namespace lacewingwharf
