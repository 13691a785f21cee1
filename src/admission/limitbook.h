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

/** This host's part of the limits of one entry or owner, and what is in use. */
struct LimitUse
{
  std::optional<std::int64_t> concurrency; // Empty means no limit.
  std::optional<double> ratePerSecond;
  std::int64_t inFlight = 0; // Waiting or running here.
  TokenBucket bucket;
};

/** Keeps this host's part of the fleet-wide limits of entries and owners. */
class LimitBook
{
public:
  using OwnSlots = std::function<std::int64_t(std::string_view aService)>;

  explicit LimitBook(std::string aHost);

  void Configure(const Snapshot& aSnapshot,
                 const EndpointView& aView,
                 const OwnSlots& aOwnSlots);

  /** The limit that the call would exceed, if any. Counts the attempt. */
  std::optional<Refusal> Check(const AdmissionRequest& aRequest, double aNow);

  void Admit(const AdmissionRequest& aRequest, double aNow);
  void Release(const AdmissionRequest& aRequest);

private:
  using Uses = std::map<std::string, LimitUse, std::less<>>;

  void ConfigureEntries(const Snapshot& aSnapshot,
                        const EndpointView& aView,
                        const OwnSlots& aOwnSlots);
  void ConfigureOwners(const Snapshot& aSnapshot,
                       const EndpointView& aView,
                       const OwnSlots& aOwnSlots);

  std::string host;
  Uses entries;
  Uses owners;
};

} // namespace lacewingwharf
