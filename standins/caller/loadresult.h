#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/** What happened to the calls of one run. */
class LoadResult
{
public:
  void AddAnswer(long aStatus, const std::string& aOutcome, double aMicros);

  /** aKind says what was wrong, such as "wrong-body". */
  void AddError(const std::string& aKind);

  /** One line of JSON. */
  std::string AsJson(std::uint64_t aSent);

private:
  double Percentile(double aShare) const;

  std::map<std::string, std::uint64_t> byStatus;
  std::map<std::string, std::uint64_t> byOutcome;
  std::map<std::string, std::uint64_t> errors;
  std::vector<double> micros;
};

} // namespace lacewingwharf
