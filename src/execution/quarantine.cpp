#include "execution/quarantine.h"

#include "common/hash.h"
#include "common/log.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("quarantine");
constexpr int kLossesUntilRefused = 2;

// Two origins with one loss each are enough to refuse a request. The others
// replace origins whose counts expire.
constexpr std::size_t kMaxOrigins = 4;

} // namespace

Quarantine::Quarantine(QuarantineConfig aConfig, Clock aClock)
  : config(std::move(aConfig))
  , clock(std::move(aClock))
  , origin(static_cast<std::int64_t>(Hash64(this->config.host)))
{
}

int
Quarantine::TotalLosses(const Counts& aCounts)
{
  return std::accumulate(
    aCounts.begin(), aCounts.end(), 0, [](int aSum, const auto& aItem) {
      return aSum + aItem.second.losses;
    });
}

QuarantineDecision
Quarantine::Check(std::int64_t aDigest)
{
  this->Expire();
  const auto position = this->digests.find(aDigest);
  if (position == this->digests.end()) {
    return QuarantineDecision::Free;
  }
  return TotalLosses(position->second) >= kLossesUntilRefused
           ? QuarantineDecision::Refused
           : QuarantineDecision::RunAlone;
}

std::size_t
Quarantine::CountRefused()
{
  this->Expire();
  return static_cast<std::size_t>(
    std::ranges::count_if(this->digests, [](const auto& aItem) {
      return TotalLosses(aItem.second) >= kLossesUntilRefused;
    }));
}

void
Quarantine::CountLoss(std::int64_t aDigest)
{
  this->Expire();
  int losses = 1;
  const auto position = this->digests.find(aDigest);
  if (position != this->digests.end()) {
    const auto own = position->second.find(this->origin);
    losses += own == position->second.end() ? 0 : own->second.losses;
  }
  const Millis expiresAt = this->clock.Now() + this->config.duration;
  this->MergeOne(aDigest, this->origin, { losses, expiresAt, 0 });
  kLog.Warning("a backend server was lost while it ran request {}: {}",
               ToHex(static_cast<std::uint64_t>(aDigest)),
               kQuarantineDecisionNames.NameOf(this->Check(aDigest)));
}

void
Quarantine::CountRemoteLoss(std::int64_t aDigest, const std::string& aHost)
{
  this->Expire();
  const auto lossOrigin = static_cast<std::int64_t>(Hash64(aHost));
  const Millis expiresAt = this->clock.Now() + this->config.duration;
  this->MergeOne(aDigest, lossOrigin, { 1, expiresAt, 0 });
}

void
Quarantine::Merge(const std::vector<wire::QuarantineMark>& aReports)
{
  this->Expire();
  const Millis now = this->clock.Now();
  for (const wire::QuarantineMark& report : aReports) {
    const Millis remaining =
      std::min<Millis>(report.remainingMillis, this->config.duration);
    if (report.losses > 0 && remaining > 0) {
      this->MergeOne(
        report.digest, report.origin, { report.losses, now + remaining, 0 });
    }
  }
}

bool
Quarantine::MergeOne(std::int64_t aDigest, std::int64_t aOrigin, Count aCount)
{
  if (!this->digests.contains(aDigest) &&
      this->digests.size() >= this->config.maxDigests) {
    this->EvictDigest();
  }
  Counts& counts = this->digests[aDigest];
  Count& current = counts[aOrigin];
  // An equal count does not extend the expiry time, because crash reports that
  // circulate between daemons would otherwise never expire.
  if (aCount.losses <= current.losses) {
    return false;
  }
  current = aCount;
  if (counts.size() > kMaxOrigins) {
    counts.erase(std::ranges::min_element(counts, {}, [](const auto& aItem) {
      return std::tuple(
        aItem.second.losses, aItem.second.expiresAt, aItem.first);
    }));
  }
  return true;
}

void
Quarantine::Expire()
{
  const Millis now = this->clock.Now();
  for (auto& [digest, counts] : this->digests) {
    std::erase_if(counts, [now](const auto& aItem) {
      return now >= aItem.second.expiresAt;
    });
  }
  std::erase_if(this->digests,
                [](const auto& aItem) { return aItem.second.empty(); });
}

void
Quarantine::EvictDigest()
{
  // Refused digests are evicted last, so that a flood of single losses cannot
  // lift a refusal.
  const auto victim =
    std::ranges::min_element(this->digests, {}, [](const auto& aItem) {
      Millis expiresAt = 0;
      for (const auto& [origin, count] : aItem.second) {
        expiresAt = std::max(expiresAt, count.expiresAt);
      }
      return std::tuple(TotalLosses(aItem.second), expiresAt, aItem.first);
    });
  this->digests.erase(victim);
}

std::vector<wire::QuarantineMark>
Quarantine::TakeCrashReports(std::size_t aCount)
{
  this->Expire();
  using Item = std::tuple<int, std::int64_t, std::int64_t>;
  std::vector<Item> items; // Times sent, digest, origin.
  for (const auto& [digest, counts] : this->digests) {
    for (const auto& [origin, count] : counts) {
      if (count.sent < this->config.maxSends) {
        items.emplace_back(count.sent, digest, origin);
      }
    }
  }
  std::ranges::sort(items);
  items.resize(std::min(items.size(), aCount));
  std::vector<wire::QuarantineMark> reports;
  for (const auto& [sent, digest, origin] : items) {
    Count& count = this->digests[digest][origin];
    ++count.sent;
    wire::QuarantineMark report;
    report.digest = digest;
    report.losses = count.losses;
    report.origin = origin;
    report.remainingMillis =
      static_cast<std::int32_t>(count.expiresAt - this->clock.Now());
    reports.push_back(report);
  }
  return reports;
}

} // namespace lacewingwharf
