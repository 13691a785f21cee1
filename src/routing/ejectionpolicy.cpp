#include "routing/ejectionpolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lacewingwharf {

namespace {

constexpr int kConsecutiveErrorsToEject = 5;
constexpr double kMaxErrorRatio = 0.5;

// With fewer recent results, the error ratio is not significant.
constexpr double kMinResults = 8;
constexpr double kRatioDecayMillis = 5000;
constexpr double kFirstEjectionMillis = 2000;
constexpr double kMaxEjectionMillis = 30000;
constexpr int kMaxLevel = 5; // 2 s x 2^4 is above the longest ejection.

// After this many consecutive successes, the next ejection is short again.
constexpr int kSuccessesToResetLevel = 10;

} // namespace

void
EjectionPolicy::RecordAttemptEnd(CallEnd aEnd, double aNow)
{
  if (aEnd == CallEnd::Refused || aEnd == CallEnd::Unused ||
      aEnd == CallEnd::Slow) {
    return;
  }
  this->Decay(aNow);
  this->results += 1;
  if (aEnd == CallEnd::Succeeded) {
    this->HandleSuccess();
    return;
  }
  this->HandleFailure(aEnd == CallEnd::Lost, aNow);
}

void
EjectionPolicy::HandleSuccess()
{
  this->consecutiveErrors = 0;
  if (++this->consecutiveSuccesses >= kSuccessesToResetLevel) {
    this->level = 0;
  }
}

void
EjectionPolicy::HandleFailure(bool aIsLost, double aNow)
{
  this->errors += 1;
  this->consecutiveSuccesses = 0;
  ++this->consecutiveErrors;
  if (this->IsEjectionActive(aNow)) {
    return; // Calls from before the ejection do not extend it.
  }
  const bool isErrorRatioHigh = this->results >= kMinResults &&
                                this->errors > kMaxErrorRatio * this->results;
  // A lost call ejects the endpoint at once. After an ejection, any failure
  // ejects it again until enough consecutive successes reset the level.
  if (aIsLost || isErrorRatioHigh || this->level > 0 ||
      this->consecutiveErrors >= kConsecutiveErrorsToEject) {
    this->Eject(aNow);
  }
}

void
EjectionPolicy::Decay(double aNow)
{
  const double weight = std::exp(-(aNow - this->countedAt) / kRatioDecayMillis);
  this->errors *= weight;
  this->results *= weight;
  this->countedAt = aNow;
}

void
EjectionPolicy::Eject(double aNow)
{
  this->level = std::min(kMaxLevel, this->level + 1);
  const double length = kFirstEjectionMillis * std::pow(2, this->level - 1);
  this->ejectedUntil = aNow + std::min(kMaxEjectionMillis, length);
  this->consecutiveErrors = 0;
  this->errors = 0;
  this->results = 0;
}

void
CapEjections(std::vector<EjectionCandidate>& aCandidates,
             std::size_t aEndpoints)
{
  const std::size_t cap = aEndpoints / 2;
  if (aCandidates.size() <= cap) {
    return;
  }
  std::ranges::sort(aCandidates, [](const auto& aLeft, const auto& aRight) {
    return std::tuple(aLeft.distance, -aLeft.level, -aLeft.until, aLeft.index) <
           std::tuple(
             aRight.distance, -aRight.level, -aRight.until, aRight.index);
  });
  aCandidates.resize(cap);
}

} // namespace lacewingwharf
