#include "distribution/versionholder.h"

#include "common/log.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

} // namespace

VersionHolder::VersionHolder(std::size_t aMaxKeptDeltas)
  : maxKeptDeltas(aMaxKeptDeltas)
{
}

OfferOutcome
VersionHolder::Offer(const Delta& aDelta)
{
  if (aDelta.stamp.version <= this->held->Version()) {
    return OfferOutcome::Stale;
  }
  if (!aDelta.isWhole && aDelta.base != this->held->Version()) {
    return OfferOutcome::NeedsFetch;
  }
  auto next = Apply(*this->held, aDelta);
  if (!next) {
    const CatalogueError& error = next.assume_error();
    kLog.Error("version {} refused: {} {}: {}",
               aDelta.stamp.version,
               kCatalogueErrorNames.NameOf(error.code),
               error.entry,
               error.detail);
    return OfferOutcome::Refused;
  }
  this->held = std::move(next).assume_value();
  this->KeepDelta(aDelta);
  return OfferOutcome::Taken;
}

void
VersionHolder::KeepDelta(const Delta& aDelta)
{
  if (aDelta.isWhole) {
    this->keptDeltas.clear();
    return;
  }
  this->keptDeltas.push_back(aDelta);
  while (this->keptDeltas.size() > this->maxKeptDeltas) {
    this->keptDeltas.pop_front();
  }
}

DeltaChain
VersionHolder::DeltasSince(std::int64_t aVersion) const
{
  DeltaChain chain;
  const auto first =
    std::ranges::find(this->keptDeltas, aVersion, &Delta::base);
  chain.isComplete =
    aVersion == this->held->Version() || first != this->keptDeltas.end();
  chain.deltas.assign(first, this->keptDeltas.end());
  return chain;
}

} // namespace lacewingwharf
