#include "routing/ejectionpolicy.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace lacewingwharf {

namespace {

constexpr int kConsecutiveErrors = 5;
constexpr double kErrorRatio = 0.5;

// Below this many recent results a ratio says little.
constexpr double kMinResults = 8;
constexpr double kRatioDecayMillis = 5000;
constexpr double kFirstEjectionMillis = 2000;
constexpr double kLongestEjectionMillis = 30000;
constexpr int kHighestLevel = 5; // 2 s x 2^4 is above the longest ejection.

// After this many successes in a row the next ejection is a short one again.
constexpr int kSuccessesToForget = 10;

} // namespace

void
EjectionPolicy::RecordAttemptEnd(CallEnd aEnd, double aNow)
{
  if (aEnd == CallEnd::Refused) {
    return;
  }
  this->Decay(aNow);
  this->results += 1;
  if (aEnd == CallEnd::Succeeded) {
    this->Succeeded();
    return;
  }
  this->Failed(aEnd == CallEnd::Lost, aNow);
}

void
EjectionPolicy::Succeeded()
{
  this->consecutiveErrors = 0;
  if (++this->consecutiveSuccesses >= kSuccessesToForget) {
    this->level = 0;
  }
}

void
EjectionPolicy::Failed(bool aIsCertain, double aNow)
{
  this->errors += 1;
  this->consecutiveSuccesses = 0;
  ++this->consecutiveErrors;
  if (this->WantsEjection(aNow)) {
    return; // Answers of calls from before the ejection do not double it.
  }
  const bool isBadRatio =
    this->results >= kMinResults && this->errors > kErrorRatio * this->results;
  // An endpoint on probation is ejected again by its first error.
  if (aIsCertain || isBadRatio || this->level > 0 ||
      this->consecutiveErrors >= kConsecutiveErrors) {
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
  this->level = std::min(kHighestLevel, this->level + 1);
  const double length = kFirstEjectionMillis * std::pow(2, this->level - 1);
  this->ejectedUntil = aNow + std::min(kLongestEjectionMillis, length);
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
