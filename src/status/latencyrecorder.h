#pragma once

#include "common/clock.h"
#include "common/names.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <vector>

namespace lacewingwharf {

enum class LatencyQuantile
{
  Median,
  P90,
  P99
};

/** As label values of the metric. */
inline constexpr auto kLatencyQuantileNames =
  MakeNameTable<LatencyQuantile>({ { LatencyQuantile::Median, "0.5" },
                                   { LatencyQuantile::P90, "0.9" },
                                   { LatencyQuantile::P99, "0.99" } });

/**
 * Quantiles of recent latencies in constant memory. Two halves of the window
 * are kept; the older one is dropped as a whole when the newer one is full.
 */
class LatencyRecorder
{
public:
  explicit LatencyRecorder(Millis aWindow = 20000);

  void Add(double aMillis, double aNow);

  /** 0 when nothing was recorded within the window. */
  double Quantile(LatencyQuantile aQuantile, double aNow);
  std::size_t Count(double aNow);

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::extended_p_square>>;

  /** One half of the window. */
  class Half
  {
  public:
    Half();
    void Add(double aMillis);
    double Quantile(LatencyQuantile aQuantile) const;
    std::size_t Count() const;

  private:
    std::vector<double> first; // Few samples are evaluated exactly.
    Accumulator accumulator;
  };

  void Roll(double aNow);

  double halfWindow;
  double halfStart = 0;
  Half current;
  Half before;
};

} // namespace lacewingwharf
