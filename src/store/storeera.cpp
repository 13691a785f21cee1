#include "store/storeera.h"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace lacewingwharf {

namespace {

template<typename Value>
PlatformResult<Value>
CheckEra(StoreEra& aEra, PlatformResult<Value> aResult)
{
  if (aEra.Record(aResult.era) != EraReading::Stale) {
    return aResult;
  }
  PlatformResult<Value> stale =
    failure(PlatformError{ PlatformErrorCode::Stale,
                           fmt::format("era {} after era {}",
                                       aResult.era.value_or(0),
                                       aEra.Highest().value_or(0)) });
  stale.era = aResult.era;
  return stale;
}

} // namespace

EraReading
StoreEra::Record(std::optional<std::int64_t> aEra)
{
  const std::lock_guard lock(this->mutex);
  if (!aEra || aEra == this->highest) {
    return EraReading::Current;
  }
  if (!this->highest) {
    this->highest = aEra;
    this->handled = aEra;
    return EraReading::Current;
  }
  if (*aEra < *this->highest) {
    return EraReading::Stale;
  }
  this->highest = aEra;
  ++this->rises;
  return EraReading::Risen;
}

std::optional<std::int64_t>
StoreEra::Highest() const
{
  const std::lock_guard lock(this->mutex);
  return this->highest;
}

std::optional<StoreRise>
StoreEra::TakeRise()
{
  const std::lock_guard lock(this->mutex);
  if (this->handled == this->highest) {
    return std::nullopt;
  }
  const auto before = std::exchange(this->handled, this->highest);
  return StoreRise{ before.value_or(0), this->highest.value_or(0) };
}

std::uint64_t
StoreEra::Rises() const
{
  const std::lock_guard lock(this->mutex);
  return this->rises;
}

ObjectStore
GuardEra(ObjectStore aStore, std::shared_ptr<StoreEra> aEra)
{
  const auto store = std::make_shared<ObjectStore>(std::move(aStore));
  const auto era = std::move(aEra);
  ObjectStore guarded;
  guarded.get = [store, era](const std::string& aName) {
    return CheckEra(*era, store->get(aName));
  };
  guarded.put = [store, era](const std::string& aName,
                             const std::string& aValue,
                             std::int64_t aExpected) {
    return CheckEra(*era, store->put(aName, aValue, aExpected));
  };
  if (store->putStatus) { // Missing where objects have no status.
    guarded.putStatus = [store, era](const std::string& aName,
                                     const std::string& aStatus,
                                     std::int64_t aExpected) {
      return CheckEra(*era, store->putStatus(aName, aStatus, aExpected));
    };
  }
  guarded.remove = [store, era](const std::string& aName,
                                std::int64_t aExpected) {
    return CheckEra(*era, store->remove(aName, aExpected));
  };
  guarded.list = [store, era](const std::string& aPrefix) {
    return CheckEra(*era, store->list(aPrefix));
  };
  guarded.watch = [store, era](const std::string& aPrefix,
                               std::int64_t aSince,
                               Millis aTimeout) {
    return CheckEra(*era, store->watch(aPrefix, aSince, aTimeout));
  };
  return guarded;
}

} // namespace lacewingwharf
