#pragma once

#include "common/clock.h"
#include "ctl/daemonclient.h"
#include "ctl/options.h"
#include "store/objectstore.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

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
                 Print aError,
                 DaemonClient aDaemons = DaemonClient());

  ExitCode Status();
  ExitCode Explain();
  ExitCode Wait();

private:
  /** A daemon that wait has not seen with the version yet. */
  struct WaitingDaemon
  {
    std::string address;
    std::string seen;
  };

  bool HasReached(WaitingDaemon& aDaemon, const StoredObject& aObject);
  bool HasEntry(WaitingDaemon& aDaemon, const StoredObject& aObject);
  bool HasVersion(WaitingDaemon& aDaemon);
  std::optional<std::string> RejectionOf(const std::string& aName,
                                         std::int64_t aRevision);
  std::optional<ExitCode> CheckEntry(const StoredObject& aObject,
                                     bool aIsLastTime);
  std::optional<ExitCode> CheckUnchanged(const StoredObject& aObject);
  ExitCode TimeOut(const std::vector<WaitingDaemon>& aWaiting,
                   const StoredObject& aObject);
  ExitCode WaitFor(const StoredObject& aObject);
  ExitCode ReportMissing(const PlatformError& aError);

  ObjectStore store;
  CtlOptions options;
  Clock clock;
  Print out;
  Print error;
  DaemonClient daemons;
  std::optional<Millis> rejectedAt;
};

} // namespace lacewingwharf
