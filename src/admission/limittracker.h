#pragma once

#include "admission/admission.h"
#include "admission/limitshare.h"
#include "admission/tokenbucket.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace lacewingwharf {

/** This host's share of the limits of one entry or owner, and its usage. */
struct LimitUsage
{
  std::optional<std::int64_t> concurrency; // Empty means no limit.
  std::optional<double> ratePerSecond;
  std::int64_t inFlight = 0; // Waiting or running here.
  TokenBucket bucket;
};

/** Tracks the usage of this host's share of the fleet-wide limits. */
class LimitTracker
{
public:
  using OwnSlots = std::function<std::int64_t(std::string_view aService)>;

  explicit LimitTracker(std::string aHost);

  void Configure(const Snapshot& aSnapshot,
                 const EndpointView& aView,
                 const OwnSlots& aOwnSlots);

  /**
   * Returns a refusal when the call would exceed a limit. Counts the attempt
   * towards the rates in either case.
   */
  std::optional<Refusal> Check(const AdmissionRequest& aRequest, double aNow);

  void Admit(const AdmissionRequest& aRequest, double aNow);
  void Release(const AdmissionRequest& aRequest);

private:
  using UsageByName = std::map<std::string, LimitUsage, std::less<>>;

  void ConfigureEntries(const Snapshot& aSnapshot,
                        const EndpointView& aView,
                        const OwnSlots& aOwnSlots);
  void ConfigureOwners(const Snapshot& aSnapshot,
                       const EndpointView& aView,
                       const OwnSlots& aOwnSlots);

  std::string host;
  UsageByName entries;
  UsageByName owners;
};

} // namespace lacewingwharf
