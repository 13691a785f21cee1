#pragma once

#include "common/names.h"
#include "peer_types.h"
#include "rollout/rollouttimes.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace lacewingwharf {

enum class EvidenceKind
{
  None,
  Failures,
  Times
};

inline constexpr auto kEvidenceKindNames =
  MakeNameTable<EvidenceKind>({ { EvidenceKind::None, "none" },
                                { EvidenceKind::Failures, "failures" },
                                { EvidenceKind::Times, "times" } });

/** The strongest sign that the target version is worse than the base. */
struct EvidenceFinding
{
  EvidenceKind kind = EvidenceKind::None;
  std::string route; // Empty for all routes together.

  /** Probability of such a difference, or a larger one, by chance. */
  double chance = 1;
  std::int64_t targetAnswers = 0;
  std::int64_t targetBad = 0;
  double baseShare = 0; // Of bad answers, over the same seconds.

  /** Number of comparisons from which this one was taken. */
  std::int64_t comparisons = 0;
};

/**
 * The probability that at least aBad of aCount drawn answers are bad, if
 * aBad + aOtherBad of aCount + aOtherCount are: the upper tail of the
 * hypergeometric distribution (Fisher's exact test).
 */
double
TailProbability(std::int64_t aBad,
                std::int64_t aCount,
                std::int64_t aOtherBad,
                std::int64_t aOtherCount);

/**
 * Compares the answers of the target version with those of the base version,
 * per route and over the same seconds: answers of the base count as much as the
 * target got answers in their slice of time. Designed for 300 daemons and 100
 * routes of a service.
 */
class RolloutEvidence
{
public:
  /** Adds what is new in the report. Reports may be late or repeated. */
  void Merge(const wire::RolloutReport& aReport);

  /** Later answers are compared only with one another. */
  void StartSlice();

  /**
   * Later answers are also compared by themselves, because a version may be bad
   * under full load only.
   */
  void StartStretch();

  /** The finding with the smallest probability. */
  EvidenceFinding Strongest() const;

  std::int64_t TargetAnswers() const;
  std::int64_t TargetFailures() const;

private:
  struct Cell
  {
    std::int64_t answers = 0;
    std::int64_t failures = 0;
    std::array<std::int64_t, kTimeRanges> times{};
  };

  struct Pair
  {
    Cell base;
    Cell target;
  };

  /** Bad answers of the target and of an equally weighted base. */
  struct Comparison
  {
    void Add(const Comparison& aOther);

    double targetBad = 0;
    double targetCount = 0;
    double expectedBad = 0;   // Of targetCount, at the rate of the base.
    double inverseWeight = 0; // Sum of squared counts by base answers.
  };

  using Slice = std::map<std::string, Pair>;
  using Counter = std::pair<std::int64_t, std::int64_t>; // Bad and all.
  using Row = std::tuple<std::string, std::int64_t, std::string, bool>;

  void AddDifference(Cell& aCell,
                     wire::RolloutCounts& aKnown,
                     const wire::RolloutCounts& aNew);
  std::map<std::string, std::size_t> SlowRanges() const;
  static Counter CountFailures(const Cell& aCell);
  static Counter CountSlow(const Cell& aCell, std::size_t aFrom);
  Comparison Compare(const std::string& aRoute,
                     EvidenceKind aKind,
                     std::size_t aSlowFrom,
                     std::size_t aFirstSlice,
                     std::int64_t aLeastBase) const;
  static double ChanceOf(const Comparison& aComparison);
  void ConsiderFrom(std::size_t aFirstSlice, EvidenceFinding& aBest) const;
  static void Consider(EvidenceFinding& aBest,
                       EvidenceKind aKind,
                       const std::string& aRoute,
                       const Comparison& aNear,
                       const Comparison& aWide);

  std::map<Row, wire::RolloutCounts> known;
  std::vector<Slice> slices = std::vector<Slice>(1);
  std::size_t stretchSlice = 0; // The first one of the stretch, or 0.
  std::int64_t targetAnswers = 0;
  std::int64_t targetFailures = 0;
};

inline std::int64_t
RolloutEvidence::TargetAnswers() const
{
  return this->targetAnswers;
}

inline std::int64_t
RolloutEvidence::TargetFailures() const
{
  return this->targetFailures;
}

} // namespace lacewingwharf
