#pragma once

#include "common/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Why a daemon's admin port gave no usable answer. */
struct DaemonError
{
  std::string detail;
};

/** An entry as a daemon holds it. */
struct HeldEntry
{
  /** At which its text was accepted; 0 when the daemon lacks the entry. */
  std::int64_t revision = 0;
  std::optional<std::uint64_t> textHash;
};

/** Reads the state of daemons over their admin ports. */
class DaemonClient
{
public:
  using Json = nlohmann::json;

  /** Reads the JSON object at a URL; empty when there is none (404). */
  using Reader =
    std::function<Result<Json, DaemonError>(const std::string& aUrl)>;

  /** Reads over HTTP. */
  DaemonClient();
  explicit DaemonClient(Reader aReader);

  /** GET /v1/state */
  Result<Json, DaemonError> State(const std::string& aDaemon);

  /** The entry in the daemon's held version. */
  Result<HeldEntry, DaemonError> Entry(const std::string& aDaemon,
                                       const std::string& aName);

private:
  Reader read;
};

} // namespace lacewingwharf
