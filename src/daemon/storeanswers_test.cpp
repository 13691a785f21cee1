// Tests what a ControlService tells the other daemons about its access to the
// store.

#include "daemon/controlservice.h"

#include <criterion/criterion.h>

#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

using namespace lacewingwharf;

namespace {

constexpr Millis kStep = 10;

void
SleepFor(Millis aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

/** An empty store without changes that can refuse watches. */
struct QuietStore
{
  ObjectStore Hooks()
  {
    ObjectStore store;
    store.get = [](const std::string&) -> PlatformResult<StoredObject> {
      return PlatformError{ PlatformErrorCode::NotFound, "" };
    };
    store.put = [](const std::string&,
                   const std::string&,
                   std::int64_t) -> PlatformResult<std::int64_t> { return 1; };
    store.remove = [](const std::string&,
                      std::int64_t) -> PlatformResult<std::int64_t> {
      return 1;
    };
    store.list = [](const std::string&) -> PlatformResult<ObjectList> {
      return ObjectList{ 1, {} };
    };
    store.watch = [this](const std::string&,
                         std::int64_t,
                         Millis) -> PlatformResult<ObjectList> {
      constexpr Millis kWatchTime = 50;
      SleepFor(kWatchTime);
      ++this->watches;
      if (this->isRefusing) {
        return PlatformError{ PlatformErrorCode::Unreachable, "" };
      }
      return ObjectList{ 1, {} };
    };
    return store;
  }

  std::atomic<int> watches = 0;
  std::atomic<bool> isRefusing = false;
};

/** The only daemon of a site, and the log that it writes. */
class LoneDaemon
{
public:
  LoneDaemon()
    : service(OwnSettings(),
              this->Protocol(),
              1,
              this->metrics,
              LoneDaemon::Hooks())
  {
    Log::SetOutput(fileno(this->log));
    this->service.Start();
  }

  ~LoneDaemon()
  {
    this->service.Stop();
    Log::SetOutput(STDERR_FILENO);
    static_cast<void>(std::fclose(this->log));
  }

  LoneDaemon(const LoneDaemon&) = delete;
  LoneDaemon& operator=(const LoneDaemon&) = delete;

  /** Returns whether the event is logged within aTime. */
  bool WaitForEvent(const std::string& aEvent, Millis aTime) const
  {
    for (Millis waited = 0; waited < aTime; waited += kStep) {
      if (this->LogText().find("event=" + aEvent + " ") != std::string::npos) {
        return true;
      }
      SleepFor(kStep);
    }
    return false;
  }

  bool WaitForWatches(int aCount, Millis aTime) const
  {
    for (Millis waited = 0; waited < aTime; waited += kStep) {
      if (this->store.watches >= aCount) {
        return true;
      }
      SleepFor(kStep);
    }
    return false;
  }

  QuietStore store;

private:
  static Settings OwnSettings()
  {
    Settings settings;
    settings.host = "h0";
    settings.address = "127.0.0.1";
    settings.region = "east";
    settings.domain = "east";
    settings.platformRegion = "east";
    settings.site.service = "orders";
    settings.site.server = { "127.0.0.1", 1 };
    return settings;
  }

  DaemonProtocol Protocol()
  {
    DaemonProtocol protocol;
    protocol.makeStore = [this](const HttpStoreConfig&) {
      return this->store.Hooks();
    };
    protocol.documents = DocumentSource{
      "config/current",
      "config/",
      [](const std::string&) -> CatalogueResult<CatalogueDocument> {
        return CatalogueDocument{};
      }
    };
    return protocol;
  }

  static ControlServiceHooks Hooks()
  {
    ControlServiceHooks hooks;
    hooks.sendDatagram = [](const PeerAddress&, const wire::Envelope&) {};
    hooks.sendControl = [](const PeerAddress&, const wire::Envelope&) {
      return false;
    };
    hooks.reply = [](SessionId, const wire::Envelope&) {};
    hooks.onConfiguration = [](const SnapshotPtr&, const EndpointViewPtr&) {};
    hooks.onVersionConfirmed = [](std::optional<Millis>) {};
    hooks.onEndpoint = [](const wire::Endpoint&) {};
    hooks.onEndpointRemoved = [](const std::string&, int) {};
    hooks.onServerId = [](int, const std::string&) {};
    hooks.takeCrashReports = [] { return std::vector<wire::QuarantineMark>(); };
    hooks.mergeCrashReports = [](const std::vector<wire::QuarantineMark>&) {};
    return hooks;
  }

  std::string LogText() const
  {
    std::string text;
    std::array<char, 4096> part{};
    const int descriptor = fileno(this->log);
    while (true) {
      const auto count = pread(
        descriptor, part.data(), part.size(), static_cast<off_t>(text.size()));
      if (count <= 0) {
        return text;
      }
      text.append(part.data(), static_cast<std::size_t>(count));
    }
  }

  std::FILE* log = std::tmpfile();
  MetricsRegistry metrics;
  ControlService service;
};

} // namespace

// A store that answers without changes serves this daemon as well as one with
// changes. Otherwise the daemon counts as refused for about ten seconds more
// after a single watch that failed, and others must watch in its place.
Test(storeanswers, an_answer_without_changes_ends_the_report_of_a_failure)
{
  constexpr Millis kLongest = 20000; // On a busy host.
  // Several times the pause before the next watch and the time of that watch,
  // and well below the time after which the report ends without an answer.
  constexpr Millis kBound = 5000;
  LoneDaemon daemon;
  cr_assert(daemon.WaitForWatches(3, kLongest));
  daemon.store.isRefusing = true;
  cr_assert(daemon.WaitForEvent("store-lost", kLongest));
  daemon.store.isRefusing = false;
  cr_expect(daemon.WaitForEvent("store-tried-again", kBound));
}
