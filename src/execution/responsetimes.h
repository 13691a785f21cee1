#pragma once

#include <boost/circular_buffer.hpp>

#include <cstddef>

namespace lacewingwharf {

/** What the recent response times of an entry are like. */
struct ResponseTimeSummary
{
  std::size_t answers = 0;
  double median = 0; // In milliseconds.
  double high = 0;   // The high quantile, in milliseconds.
  double age = 0;    // Of the newest answer.
};

/**
 * The most recent response times of an entry, at most 256 of the last two
 * minutes. Their quantiles are exact: the estimates of LatencyRecorder
 * interpolate between the two groups of times that one slow server causes.
 */
class ResponseTimes
{
public:
  explicit ResponseTimes(double aHighQuantile);

  void Add(double aMillis, double aNow);

  /** Summarizes at most every 100 ms, because it is asked for each call. */
  const ResponseTimeSummary& Summary(double aNow);

  /** Whether all response times are too old to count. */
  bool IsIdle(double aNow) const;

private:
  struct Sample
  {
    double at = 0;
    double millis = 0;
  };

  void Summarize(double aNow);

  double highQuantile;
  boost::circular_buffer<Sample> samples; // Oldest first.
  ResponseTimeSummary summary;
  double summarizedAt = -1; // Negative before the first summary.
};

} // namespace lacewingwharf
