#include "loadresult.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace lacewingwharf {

void
LoadResult::AddAnswer(long aStatus, const std::string& aOutcome, double aMicros)
{
  ++this->byStatus[std::to_string(aStatus)];
  ++this->byOutcome[aOutcome.empty() ? "none" : aOutcome];
  this->latencyMicros.push_back(aMicros);
}

void
LoadResult::AddError(const std::string& aKind)
{
  ++this->errors[aKind];
}

std::string
LoadResult::AsJson(std::uint64_t aSent)
{
  constexpr double kMedian = 0.5;
  constexpr double kNinetyNinth = 0.99;
  std::ranges::sort(this->latencyMicros);
  return nlohmann::json{
    { "sent", aSent },
    { "answers", this->latencyMicros.size() },
    { "status", this->byStatus },
    { "outcome", this->byOutcome },
    { "errors", this->errors },
    { "p50_us", this->Percentile(kMedian) },
    { "p99_us", this->Percentile(kNinetyNinth) },
    { "max_us", this->Percentile(1) },
  }
    .dump();
}

double
LoadResult::Percentile(double aFraction) const
{
  if (this->latencyMicros.empty()) {
    return 0;
  }
  const auto rank =
    std::ceil(aFraction * static_cast<double>(this->latencyMicros.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return this->latencyMicros.at(
    std::min(index, this->latencyMicros.size() - 1));
}

} // namespace lacewingwharf
