#include "testkit/versionwatch.h"

#include <fmt/format.h>

namespace lacewingwharf {

VersionWatch::VersionWatch(const Fleet& aFleet)
  : fleet(aFleet)
  , thread([this] { this->Run(); })
{
}

VersionWatch::~VersionWatch()
{
  this->Stop();
}

std::vector<std::string>
VersionWatch::Stop()
{
  this->isStopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
  return this->regressions;
}

std::size_t
VersionWatch::ReadCount() const
{
  return this->reads;
}

void
VersionWatch::Run()
{
  constexpr Millis kPause = 50;
  while (!this->isStopping) {
    for (std::size_t host = 0; host < this->fleet.Size(); ++host) {
      this->ReadState(host);
    }
    PauseFor(kPause);
  }
}

void
VersionWatch::ReadState(std::size_t aHost)
{
  const nlohmann::json state = this->fleet.State(aHost);
  if (!state.is_object()) {
    return;
  }
  ++this->reads;
  const auto version = state.value("version", std::int64_t(0));
  const auto incarnation = state.value("incarnation", std::int64_t(0));
  std::int64_t& lastVersion = this->lastVersions[{ aHost, incarnation }];
  if (version < lastVersion) {
    this->regressions.push_back(fmt::format("{} went from version {} to {}",
                                            this->fleet.HostName(aHost),
                                            lastVersion,
                                            version));
  }
  lastVersion = version;
}

} // namespace lacewingwharf
