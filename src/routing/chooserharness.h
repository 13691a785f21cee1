#pragma once

#include "routing/serverchooser.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

inline constexpr const char* kService = "orders";
inline constexpr int kPort = 8000;

/** Builds views of one service. */
class ViewBuilder
{
public:
  ViewBuilder& Add(const std::string& aHost,
                   Distance aDistance = Distance::SameDomain)
  {
    EndpointInfo info;
    info.host = aHost;
    info.domain = "domain" + std::to_string(static_cast<int>(aDistance));
    info.distance = aDistance;
    info.port = kPort;
    info.slots = 6;
    info.incarnation = 1;
    this->service.endpoints.push_back(std::move(info));
    return *this;
  }

  ViewBuilder& AddMany(int aCount, const std::string& aPrefix, Distance aAt)
  {
    for (int index = 0; index < aCount; ++index) {
      this->Add(aPrefix + std::to_string(index), aAt);
    }
    return *this;
  }

  EndpointViewPtr Build() const
  {
    auto view = std::make_shared<EndpointView>();
    view->services[kService] = this->service;
    return view;
  }

private:
  ServiceView service;
};

inline EndpointKey
KeyOf(const std::string& aHost)
{
  return { aHost, kPort };
}

inline Observation
ObservationOf(CallEnd aEnd, double aLatency = 5)
{
  Observation observation;
  observation.end = aEnd;
  observation.latencyMillis = aLatency;
  return observation;
}

/** A refusal by a server whose slots are all taken. */
inline Observation
RefusalByFullServer()
{
  Observation observation = ObservationOf(CallEnd::Refused);
  observation.running = 6;
  observation.waiting = 24;
  observation.slots = 6;
  return observation;
}

} // namespace lacewingwharf::testing
