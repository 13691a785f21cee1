#pragma once

#include "common/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lacewingwharf {

/** Why a daemon's admin port gave no usable answer. */
struct DaemonError
{
  std::string detail;
};

/** Reads the state of daemons over their admin ports. */
class DaemonClient
{
public:
  using Json = nlohmann::json;

  /** GET /v1/state */
  Result<Json, DaemonError> State(const std::string& aDaemon);

  /** Revision at which the daemon's held version has the entry; 0 if not. */
  Result<std::int64_t, DaemonError> EntryRevision(const std::string& aDaemon,
                                                  const std::string& aName);

private:
  Result<Json, DaemonError> Read(const std::string& aUrl);
};

} // namespace lacewingwharf
