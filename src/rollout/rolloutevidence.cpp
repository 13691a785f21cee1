#include "rollout/rolloutevidence.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

namespace lacewingwharf {

namespace {

// An answer is slow if it took at least kTimeFactor to the power of this minus
// one, 2.2 times, as long as the median of the base on the same route.
constexpr std::size_t kSlowRanges = 4;

// Answers of the base with which those of a slice are compared at least.
constexpr std::int64_t kNearAnswers = 60;
constexpr std::int64_t kWideAnswers = 240;

// A median of fewer answers says little.
constexpr std::int64_t kMinMedianAnswers = 8;

double
LogChoose(double aCount, double aChosen)
{
  return std::lgamma(aCount + 1) - std::lgamma(aChosen + 1) -
         std::lgamma(aCount - aChosen + 1);
}

/**
 * Answers of the base in the slice. Those of earlier slices are added while
 * there are few, and those of later ones while there are none: during the last
 * stretch the base gets no requests.
 */
std::pair<std::int64_t, std::int64_t>
Near(const std::vector<std::pair<std::int64_t, std::int64_t>>& aBases,
     std::size_t aIndex,
     std::int64_t aTargetAnswers,
     std::int64_t aLeastAnswers)
{
  constexpr std::int64_t kEnoughTimes = 2;
  const std::int64_t enough =
    std::max(kEnoughTimes * aTargetAnswers, aLeastAnswers);
  std::pair<std::int64_t, std::int64_t> sum;
  const auto add = [&](std::size_t aFrom) {
    sum.first += aBases[aFrom].first;
    sum.second += aBases[aFrom].second;
  };
  for (std::size_t back = 0; back <= aIndex && sum.second < enough; ++back) {
    add(aIndex - back);
  }
  for (std::size_t next = aIndex + 1; next < aBases.size() && sum.second == 0;
       ++next) {
    add(next);
  }
  return sum;
}

} // namespace

double
TailProbability(std::int64_t aBad,
                std::int64_t aCount,
                std::int64_t aOtherBad,
                std::int64_t aOtherCount)
{
  const auto bad = static_cast<double>(aBad + aOtherBad);
  const auto all = static_cast<double>(aCount + aOtherCount);
  const auto drawn = static_cast<double>(aCount);
  const double most = std::min(bad, drawn);
  constexpr double kNegligible = 1e-12;
  double sum = 0;
  for (auto found = static_cast<double>(aBad); found <= most; ++found) {
    if (drawn - found > all - bad) {
      continue; // There are not that many good answers.
    }
    const double term =
      std::exp(LogChoose(bad, found) + LogChoose(all - bad, drawn - found) -
               LogChoose(all, drawn));
    sum += term;
    if (term < sum * kNegligible) {
      break; // Terms beyond the most likely one only become smaller.
    }
  }
  return std::min(sum, 1.0);
}

void
RolloutEvidence::Merge(const wire::RolloutReport& aReport)
{
  for (const wire::RolloutCounts& row : aReport.counts) {
    wire::RolloutCounts& before =
      this
        ->known[{ aReport.host, aReport.incarnation, row.route, row.isTarget }];
    if (row.answers <= before.answers) {
      continue; // Late or repeated.
    }
    Pair& pair = this->slices.back()[row.route];
    this->AddDifference(row.isTarget ? pair.target : pair.base, before, row);
    if (row.isTarget) {
      this->targetAnswers += row.answers - before.answers;
      this->targetFailures += row.failures - before.failures;
    }
    before = row;
  }
}

void
RolloutEvidence::AddDifference(Cell& aCell,
                               wire::RolloutCounts& aKnown,
                               const wire::RolloutCounts& aNew)
{
  aCell.answers += aNew.answers - aKnown.answers;
  aCell.failures += aNew.failures - aKnown.failures;
  const std::size_t ranges = std::min(aNew.times.size(), kTimeRanges);
  for (std::size_t range = 0; range < ranges; ++range) {
    const auto before =
      range < aKnown.times.size() ? aKnown.times[range] : std::int32_t{ 0 };
    aCell.times[range] += aNew.times[range] - before;
  }
}

void
RolloutEvidence::StartSlice()
{
  if (!this->slices.back().empty()) {
    this->slices.emplace_back();
  }
}

void
RolloutEvidence::StartStretch()
{
  this->StartSlice();
  this->stretchSlice = this->slices.size() - 1;
}

RolloutEvidence::Counter
RolloutEvidence::CountFailures(const Cell& aCell)
{
  return { aCell.failures, aCell.answers };
}

RolloutEvidence::Counter
RolloutEvidence::CountSlow(const Cell& aCell, std::size_t aFrom)
{
  const auto sum = [&aCell](std::size_t aStart) {
    return std::accumulate(aCell.times.begin() +
                             static_cast<std::ptrdiff_t>(aStart),
                           aCell.times.end(),
                           std::int64_t{ 0 });
  };
  return { aFrom < kTimeRanges ? sum(aFrom) : 0, sum(0) };
}

/** For each route, the first range of times that are slow. */
std::map<std::string, std::size_t>
RolloutEvidence::SlowRanges() const
{
  std::map<std::string, Cell> totals;
  for (const Slice& slice : this->slices) {
    for (const auto& [route, pair] : slice) {
      Cell& total = totals[route];
      std::ranges::transform(
        total.times, pair.base.times, total.times.begin(), std::plus<>());
    }
  }
  std::map<std::string, std::size_t> ranges;
  for (const auto& [route, total] : totals) {
    const std::int64_t count = CountSlow(total, 0).second;
    std::int64_t below = 0;
    std::size_t median = 0;
    while (median < kTimeRanges && (below += total.times[median]) * 2 < count) {
      ++median;
    }
    ranges[route] =
      count < kMinMedianAnswers ? kTimeRanges : median + kSlowRanges;
  }
  return ranges;
}

RolloutEvidence::Comparison
RolloutEvidence::Compare(const std::string& aRoute,
                         EvidenceKind aKind,
                         std::size_t aSlowFrom,
                         std::size_t aFirstSlice,
                         std::int64_t aLeastBase) const
{
  const auto count = [&](const Cell& aCell) {
    return aKind == EvidenceKind::Failures ? CountFailures(aCell)
                                           : CountSlow(aCell, aSlowFrom);
  };
  std::vector<Counter> bases;
  std::vector<Counter> targets;
  for (const Slice& slice : this->slices) {
    const auto found = slice.find(aRoute);
    const bool isPresent = found != slice.end();
    bases.push_back(isPresent ? count(found->second.base) : Counter());
    targets.push_back(isPresent ? count(found->second.target) : Counter());
  }
  Comparison comparison;
  for (std::size_t index = aFirstSlice; index < targets.size(); ++index) {
    const auto [bad, answers] = targets[index];
    const Counter base =
      answers == 0 ? Counter() : Near(bases, index, answers, aLeastBase);
    if (base.second == 0) {
      continue;
    }
    const auto weight = static_cast<double>(answers);
    const auto baseCount = static_cast<double>(base.second);
    comparison.targetBad += static_cast<double>(bad);
    comparison.targetCount += weight;
    comparison.expectedBad +=
      weight * static_cast<double>(base.first) / baseCount;
    comparison.inverseWeight += weight * weight / baseCount;
  }
  return comparison;
}

void
RolloutEvidence::Comparison::Add(const Comparison& aOther)
{
  this->targetBad += aOther.targetBad;
  this->targetCount += aOther.targetCount;
  this->expectedBad += aOther.expectedBad;
  this->inverseWeight += aOther.inverseWeight;
}

double
RolloutEvidence::ChanceOf(const Comparison& aComparison)
{
  // The size of a sample of the base with the same variance as the weighted
  // one.
  const double baseShare = aComparison.expectedBad / aComparison.targetCount;
  const double baseCount =
    std::floor(aComparison.targetCount * aComparison.targetCount /
               aComparison.inverseWeight);
  const double baseBad = std::min(std::ceil(baseShare * baseCount), baseCount);
  return TailProbability(static_cast<std::int64_t>(aComparison.targetBad),
                         static_cast<std::int64_t>(aComparison.targetCount),
                         static_cast<std::int64_t>(baseBad),
                         static_cast<std::int64_t>(baseCount));
}

/**
 * aNear compares with the same seconds, and aWide with more of them, which is
 * sharper. A difference that the same seconds explain does not count.
 */
void
RolloutEvidence::Consider(EvidenceFinding& aBest,
                          EvidenceKind aKind,
                          const std::string& aRoute,
                          const Comparison& aNear,
                          const Comparison& aWide)
{
  constexpr double kExplained = 0.1;
  if (aNear.targetCount <= 0 || aNear.inverseWeight <= 0) {
    return;
  }
  ++aBest.comparisons;
  const double nearChance = ChanceOf(aNear);
  const double chance = nearChance < kExplained ? ChanceOf(aWide) : nearChance;
  if (chance < aBest.chance) {
    aBest = { aKind,
              aRoute,
              chance,
              static_cast<std::int64_t>(aWide.targetCount),
              static_cast<std::int64_t>(aWide.targetBad),
              aWide.expectedBad / aWide.targetCount,
              aBest.comparisons };
  }
}

EvidenceFinding
RolloutEvidence::Strongest() const
{
  EvidenceFinding best;
  this->ConsiderFrom(0, best);
  if (this->stretchSlice > 0) {
    this->ConsiderFrom(this->stretchSlice, best);
  }
  return best;
}

void
RolloutEvidence::ConsiderFrom(std::size_t aFirstSlice,
                              EvidenceFinding& aBest) const
{
  const auto slowRanges = this->SlowRanges();
  for (const auto kind : { EvidenceKind::Failures, EvidenceKind::Times }) {
    Comparison allNear;
    Comparison allWide;
    for (const auto& [route, slowFrom] : slowRanges) {
      const Comparison near =
        this->Compare(route, kind, slowFrom, aFirstSlice, kNearAnswers);
      const Comparison wide =
        this->Compare(route, kind, slowFrom, aFirstSlice, kWideAnswers);
      Consider(aBest, kind, route, near, wide);
      allNear.Add(near);
      allWide.Add(wide);
    }
    Consider(aBest, kind, {}, allNear, allWide);
  }
}

} // namespace lacewingwharf
