#include "execution/claimwriter.h"

#include "execution/claimwork.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

wire::ClaimAnswer
AnswerTo(const wire::ClaimRequest& aRequest, wire::ClaimResult::type aResult)
{
  wire::ClaimAnswer answer;
  answer.keyHash = aRequest.keyHash;
  answer.holder = aRequest.holder;
  answer.result = aResult;
  answer.wanted = aRequest.wanted;
  return answer;
}

} // namespace

ClaimWriter::ClaimWriter(ClaimWriterConfig aConfig,
                         Clock aClock,
                         Clock aWall,
                         ClaimWriterHooks aHooks)
  : config(aConfig)
  , clock(std::move(aClock))
  , wall(std::move(aWall))
  , hooks(std::move(aHooks))
  , tokens(aConfig.burst)
  , refilledAt(this->clock.Now())
{
}

void
ClaimWriter::Handle(const wire::ClaimRequest& aRequest, Reply aReply)
{
  const int index = ClaimShardOf(aRequest.keyHash);
  Shard& shard = this->shards.at(static_cast<std::size_t>(index));
  if (shard.pending.size() >= this->config.maxPendingPerShard) {
    aReply(AnswerTo(aRequest, wire::ClaimResult::UNAVAILABLE));
    return;
  }
  const Millis now = this->clock.Now();
  shard.pending.push_back({ aRequest, std::move(aReply), now });
  this->Refill(now);
  // While writes are throttled, StartDueShards() serves the shard that has
  // waited longest first.
  if (!this->isThrottled && !shard.isBusy && this->IsDue(shard, now)) {
    this->isThrottled = !this->StartWork(index);
  }
}

void
ClaimWriter::Tick()
{
  const Millis now = this->clock.Now();
  for (Shard& shard : this->shards) {
    this->RefuseStale(shard, now);
  }
  this->StartDueShards();
}

void
ClaimWriter::RefuseStale(Shard& aShard, Millis aNow) const
{
  const auto isFresh = [this, aNow](const PendingRequest& aPending) {
    return aNow - aPending.since <= this->config.maxRequestAge;
  };
  const auto stale = std::stable_partition(
    aShard.pending.begin(), aShard.pending.end(), isFresh);
  const std::vector<PendingRequest> refused(
    std::make_move_iterator(stale),
    std::make_move_iterator(aShard.pending.end()));
  aShard.pending.erase(stale, aShard.pending.end());
  for (const PendingRequest& pending : refused) {
    pending.reply(AnswerTo(pending.request, wire::ClaimResult::UNAVAILABLE));
  }
}

bool
ClaimWriter::IsDue(const Shard& aShard, Millis aNow) const
{
  return std::ranges::any_of(
    aShard.pending, [this, aNow](const PendingRequest& aPending) {
      return aPending.request.wanted == wire::ClaimState::HELD ||
             aNow - aPending.since >= this->config.updateDelay;
    });
}

void
ClaimWriter::StartDueShards()
{
  const Millis now = this->clock.Now();
  this->Refill(now);
  std::vector<int> due;
  for (int index = 0; index < kClaimShards; ++index) {
    const Shard& shard = this->shards.at(static_cast<std::size_t>(index));
    if (!shard.isBusy && this->IsDue(shard, now)) {
      due.push_back(index);
    }
  }
  std::ranges::sort(due, {}, [this](int aIndex) {
    const auto& shard = this->shards.at(static_cast<std::size_t>(aIndex));
    return shard.pending.front().since;
  });
  this->isThrottled = !std::ranges::all_of(
    due, [this](int aIndex) { return this->StartWork(aIndex); });
}

bool
ClaimWriter::StartWork(int aShard)
{
  if (this->tokens < 1) {
    return false;
  }
  Shard& shard = this->shards.at(static_cast<std::size_t>(aShard));
  this->RefuseStale(shard, this->clock.Now());
  if (shard.pending.empty()) {
    return true;
  }
  const auto work = std::make_shared<ClaimWork>();
  work->shard = aShard;
  work->limits = this->config.limits;
  work->value = shard.cached;
  work->revision = shard.revision;
  std::ranges::transform(shard.pending,
                         std::back_inserter(work->requests),
                         &PendingRequest::request);
  const auto batch =
    std::make_shared<std::vector<PendingRequest>>(std::move(shard.pending));
  shard.pending.clear();
  shard.isBusy = true;
  const std::weak_ptr<bool> isAlive = this->lifetime;
  const bool submitted =
    this->hooks.submit([this, isAlive, work, batch, wallClock = this->wall](
                         const ObjectStore& aStore) -> Completion {
      RunClaimWork(aStore, wallClock, *work);
      return [this, isAlive, work, batch] {
        if (!isAlive.expired()) {
          this->HandleFinishedWork(*work, *batch);
        }
      };
    });
  if (!submitted) {
    shard.isBusy = false;
    shard.pending = std::move(*batch);
    return false;
  }
  // The job owns the shard's value until it has finished.
  shard.cached.reset();
  this->tokens -= 1;
  ++this->writes;
  return true;
}

void
ClaimWriter::HandleFinishedWork(ClaimWork& aWork,
                                const std::vector<PendingRequest>& aBatch)
{
  Shard& shard = this->shards.at(static_cast<std::size_t>(aWork.shard));
  shard.isBusy = false;
  shard.cached = std::move(aWork.value);
  shard.revision = aWork.revision;
  shard.usedAt = this->clock.Now();
  this->LimitCache();
  for (std::size_t index = 0; index < aBatch.size(); ++index) {
    const PendingRequest& pending = aBatch[index];
    pending.reply(AnswerTo(pending.request, aWork.results[index]));
  }
  this->StartDueShards();
}

void
ClaimWriter::Refill(Millis aNow)
{
  const std::size_t writers =
    this->hooks.writerCount ? this->hooks.writerCount() : 1;
  const double rate = this->config.writesPerSecond /
                      static_cast<double>(std::max<std::size_t>(writers, 1));
  const auto elapsed = static_cast<double>(aNow - this->refilledAt);
  this->tokens =
    std::min(this->tokens + elapsed * rate / 1000.0, this->config.burst);
  this->refilledAt = aNow;
}

void
ClaimWriter::LimitCache()
{
  std::size_t claims = 0;
  for (const Shard& shard : this->shards) {
    claims += shard.cached ? shard.cached->Size() : 0;
  }
  while (claims > this->config.maxCachedClaims) {
    const auto oldest =
      std::ranges::min_element(this->shards, {}, [](const Shard& aShard) {
        return std::pair(aShard.cached == nullptr, aShard.usedAt);
      });
    claims -= oldest->cached->Size();
    oldest->cached.reset();
  }
}

} // namespace lacewingwharf
