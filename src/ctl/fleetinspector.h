#pragma once

#include "common/clock.h"
#include "ctl/daemonclient.h"
#include "ctl/options.h"
#include "platform/objectstore.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lacewingwharf {

/** The commands that read the state of daemons and per-entry status. */
class FleetInspector
{
public:
  using Print = std::function<void(const std::string&)>;

  FleetInspector(ObjectStore aStore,
                 CtlOptions aOptions,
                 Clock aClock,
                 Print aOut,
                 Print aError);

  ExitCode Status();
  ExitCode Explain();
  ExitCode Wait();

private:
  bool HasReached(const std::string& aDaemon, std::int64_t aRevision);
  std::optional<std::string> RejectionOf(const std::string& aName,
                                         std::int64_t aRevision);

  ObjectStore store;
  CtlOptions options;
  Clock clock;
  Print out;
  Print error;
  DaemonClient daemons;
};

} // namespace lacewingwharf
