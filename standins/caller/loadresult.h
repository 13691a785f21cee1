#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** Counts the answers and errors of one run and collects the latencies. */
class LoadResult
{
public:
  void AddAnswer(long aStatus, const std::string& aOutcome, double aMicros);

  /** aKind names the kind of error, such as "wrong-body". */
  void AddError(const std::string& aKind);

  /** The results as one line of JSON. */
  std::string AsJson(std::uint64_t aSent);

private:
  double Percentile(double aFraction) const;

  std::map<std::string, std::uint64_t> byStatus;
  std::map<std::string, std::uint64_t> byOutcome;
  std::map<std::string, std::uint64_t> errors;
  std::vector<double> latencyMicros;
};

} // namespace lacewingwharf
