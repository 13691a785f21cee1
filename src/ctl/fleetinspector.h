#pragma once

#include "common/clock.h"
#include "ctl/daemonclient.h"
#include "ctl/options.h"
#include "store/objectstore.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Implements the commands that read the state of daemons and of entries. */
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
  ExitCode Usage();
  ExitCode Wait();

private:
  /** A daemon that does not have the awaited entry or version yet. */
  struct PendingDaemon
  {
    std::string address;
    std::string lastObservation;
  };

  std::optional<ExitCode> ExplainTeam();
  void ShowRollouts(const nlohmann::json& aState);
  bool HasReached(PendingDaemon& aDaemon, const StoredObject& aObject);
  bool HasEntry(PendingDaemon& aDaemon, const StoredObject& aObject);
  bool HasVersion(PendingDaemon& aDaemon);
  std::optional<std::string> ReadRejectionReason(const std::string& aName,
                                                 std::int64_t aRevision);
  std::optional<ExitCode> CheckStoredEntry(const StoredObject& aObject,
                                           bool aIsFinalCheck);
  std::optional<ExitCode> CheckUnchanged(const StoredObject& aObject);
  ExitCode ReportTimeout(const std::vector<PendingDaemon>& aPending,
                         const StoredObject& aObject);
  ExitCode WaitFor(const StoredObject& aObject);
  ExitCode ReportGetError(const PlatformError& aError);

  ObjectStore store;
  CtlOptions options;
  Clock clock;
  Print out;
  Print error;
  DaemonClient daemons;
  std::optional<Millis> rejectedAt;
};

} // namespace lacewingwharf
