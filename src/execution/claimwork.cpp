#include "execution/claimwork.h"

#include "common/log.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("claims");

// Two writers of one shard rarely conflict; with more attempts the callers
// would only wait longer than their limit.
constexpr int kMaxAttempts = 4;

using ClaimResult = wire::ClaimResult;

void
MarkUnavailable(ClaimWork& aWork)
{
  aWork.value.reset();
  aWork.results.assign(aWork.requests.size(), ClaimResult::UNAVAILABLE);
}

bool
Read(const ObjectStore& aStore, ClaimWork& aWork)
{
  const auto object = aStore.get(ClaimShardName(aWork.shard));
  if (!object) {
    aWork.revision = kCreateOnly;
    aWork.value = std::make_shared<ClaimShard>(aWork.limits);
    return object.error().code == PlatformErrorCode::NotFound;
  }
  auto shard = ClaimShard::Parse(object.value().value, aWork.limits);
  if (!shard) {
    kLog.Error("{} is malformed and is not overwritten",
               ClaimShardName(aWork.shard));
    return false;
  }
  aWork.revision = object.value().revision;
  aWork.value = std::make_shared<ClaimShard>(std::move(*shard));
  return true;
}

/** True when the value changed and has to be written. */
bool
Apply(const Clock& aWall, ClaimWork& aWork)
{
  const Millis now = aWall.Now();
  aWork.results.clear();
  aWork.value->Prune(now);
  std::ranges::transform(
    aWork.requests,
    std::back_inserter(aWork.results),
    [&](const auto& aRequest) { return aWork.value->Apply(aRequest, now); });
  return aWork.value->TakeChanged();
}

bool
IsRetryableError(PlatformErrorCode aCode)
{
  return aCode == PlatformErrorCode::Conflict ||
         aCode == PlatformErrorCode::TimedOut;
}

bool
HasRefusal(const ClaimWork& aWork)
{
  return std::ranges::any_of(aWork.results, [](auto aResult) {
    return aResult != ClaimResult::GRANTED;
  });
}

} // namespace

void
RunClaimWork(const ObjectStore& aStore, const Clock& aWall, ClaimWork& aWork)
{
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const bool isCached = aWork.value != nullptr;
    if (!isCached && !Read(aStore, aWork)) {
      break;
    }
    if (!Apply(aWall, aWork)) {
      if (!isCached || !HasRefusal(aWork)) {
        return;
      }
      // Another writer may have released the key since the shard was cached.
      aWork.value.reset();
      continue;
    }
    const auto written = aStore.put(
      ClaimShardName(aWork.shard), aWork.value->Encode(), aWork.revision);
    if (written) {
      aWork.revision = written.value();
      return;
    }
    aWork.value.reset();
    if (!IsRetryableError(written.error().code)) {
      break;
    }
  }
  MarkUnavailable(aWork);
}

} // namespace lacewingwharf
