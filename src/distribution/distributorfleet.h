#pragma once

#include "common/log.h"
#include "distribution/simnodes.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace lacewingwharf {

inline std::unique_ptr<SimNode>
MakeNode(FleetSim& aSim, const std::string& aHost)
{
  return std::make_unique<RealNode>(
    aSim, aHost, std::vector<std::string>{ "h0" });
}

/** A fleet in which every daemon holds version aVersions. */
struct Fleet
{
  explicit Fleet(int aHosts, int aVersions = 1)
    : sim(aHosts, 7, MakeNode)
  {
    Log::SetLevel(LogLevel::Error);
    this->sim.Run(3000);
    for (int index = 0; index < aVersions; ++index) {
      this->Edit();
      this->sim.Run(1000);
    }
    this->AssertAllHold(aVersions);
  }

  void Edit()
  {
    this->sim.store.Edit("catalogue/s",
                         ServiceText(fmt::format("o{}", ++this->edits)));
  }

  const Distributor& Get(const std::string& aHost) const
  {
    return static_cast<const RealNode&>(*this->sim.hosts.at(aHost).node).Get();
  }

  void AssertAllHold(std::int64_t aVersion)
  {
    for (const std::string& name : this->sim.names) {
      cr_assert_eq(
        this->Get(name).HeldSnapshot()->Version(),
        aVersion,
        "%s holds %ld",
        name.c_str(),
        static_cast<long>(this->Get(name).HeldSnapshot()->Version()));
    }
  }

  void SetIsolated(const std::string& aHost, bool aIsIsolated)
  {
    this->sim.hosts.at(aHost).isCutOff = aIsIsolated;
    this->sim.hosts.at(aHost).isPartitioned = aIsIsolated;
  }

  /** The first host that is neither acceptor nor relay. */
  std::string HostWithoutRole() const
  {
    return *std::ranges::find_if(
      this->sim.names, [this](const std::string& aName) {
        return !this->Get(aName).IsRelay() && !this->Get(aName).IsAcceptor();
      });
  }

  FleetSim sim;
  int edits = 0;
};

} // namespace lacewingwharf
