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

/** The values of the quantile label of the latency metric. */
inline constexpr auto kLatencyQuantileNames =
  MakeNameTable<LatencyQuantile>({ { LatencyQuantile::Median, "0.5" },
                                   { LatencyQuantile::P90, "0.9" },
                                   { LatencyQuantile::P99, "0.99" } });

/**
 * Estimates quantiles of recent latencies in constant memory. The window has
 * two halves. When the time span of the newer half ends, the older half is
 * dropped as a whole.
 */
class LatencyRecorder
{
public:
  explicit LatencyRecorder(Millis aWindow = 20000);

  void Add(double aMillis, double aNow);

  /** Returns 0 if nothing was recorded within the window. */
  double Quantile(LatencyQuantile aQuantile, double aNow);
  std::size_t Count(double aNow);

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::extended_p_square>>;

  /** The samples of one half of the window. */
  class HalfWindow
  {
  public:
    HalfWindow();
    void Add(double aMillis);
    double Quantile(LatencyQuantile aQuantile) const;
    std::size_t Count() const;

  private:
    std::vector<double> firstSamples; // For exact quantiles of few samples.
    Accumulator accumulator;
  };

  void RotateWindow(double aNow);

  double halfWindowMillis;
  double currentStart = 0;
  HalfWindow current;
  HalfWindow previous;
};

} // namespace lacewingwharf
