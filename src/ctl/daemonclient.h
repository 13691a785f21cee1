#pragma once

#include "common/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Describes why a request to a daemon's admin port failed. */
struct DaemonError
{
  std::string detail;
};

/** The revision and text hash of an entry in a daemon's current version. */
struct HeldEntry
{
  /**
   * The revision at which the text was accepted; 0 if the daemon does not have
   * the entry.
   */
  std::int64_t revision = 0;
  std::optional<std::uint64_t> textHash;
};

/** Reads the state of daemons through their admin ports. */
class DaemonClient
{
public:
  using Json = nlohmann::json;

  /** Reads the JSON object at a URL; it is empty if the status is 404. */
  using Reader =
    std::function<Result<Json, DaemonError>(const std::string& aUrl)>;

  /** Uses a reader that sends HTTP requests. */
  DaemonClient();
  explicit DaemonClient(Reader aReader);

  /** Sends GET /v1/state. */
  Result<Json, DaemonError> FetchState(const std::string& aDaemon);

  /** Returns the entry of the daemon's current version. */
  Result<HeldEntry, DaemonError> FetchEntry(const std::string& aDaemon,
                                            const std::string& aName);

  /** Returns a team and its calls; empty if the daemon does not know it. */
  Result<Json, DaemonError> FetchTeam(const std::string& aDaemon,
                                      const std::string& aName);

  /** Returns the usage of a team's cap; empty without one. */
  Result<Json, DaemonError> FetchUsage(const std::string& aDaemon,
                                       const std::string& aTeam);

private:
  Reader read;
};

} // namespace lacewingwharf
