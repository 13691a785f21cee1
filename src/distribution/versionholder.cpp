#include "distribution/versionholder.h"

#include "common/log.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

} // namespace

VersionHolder::VersionHolder(std::size_t aKeptDeltas)
  : keptLimit(aKeptDeltas)
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
  this->Keep(aDelta);
  return OfferOutcome::Taken;
}

void
VersionHolder::Keep(const Delta& aDelta)
{
  if (aDelta.isWhole) {
    this->kept.clear();
    return;
  }
  this->kept.push_back(aDelta);
  while (this->kept.size() > this->keptLimit) {
    this->kept.pop_front();
  }
}

DeltaChain
VersionHolder::DeltasSince(std::int64_t aVersion) const
{
  DeltaChain chain;
  const auto first = std::ranges::find(this->kept, aVersion, &Delta::base);
  chain.isComplete =
    aVersion == this->held->Version() || first != this->kept.end();
  chain.deltas.assign(first, this->kept.end());
  return chain;
}

} // namespace lacewingwharf
