#include "distribution/acceptancestatus.h"

#include "common/log.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("acceptor");
constexpr std::string_view kStatusPrefix = "status/";
constexpr std::string_view kAcceptanceSuffix = "/acceptance";

// Limits the load: the store handles several hundred writes per second for the
// whole fleet.
constexpr int kMaxWritesPerJob = 20;

} // namespace

std::string
EncodeRejection(const Rejection& aRejection)
{
  const nlohmann::json object{ { "entry", aRejection.entry },
                               { "revision", aRejection.revision },
                               { "code",
                                 kCatalogueErrorNames.NameOf(aRejection.code) },
                               { "reason", aRejection.reason } };
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
EncodeStoreStatus(const VersionStamp& aStamp)
{
  const nlohmann::json object{
    { "storeEpoch", aStamp.storeEpoch },
    { "floorRevision", aStamp.floorRevision },
    { "reason",
      "the store was restored to an older state; edits at or below the floor "
      "revision are not accepted until they are made again" }
  };
  return object.dump();
}

std::string
AcceptanceObjectName(const std::string& aEntry)
{
  return std::string(kStatusPrefix) + aEntry + std::string(kAcceptanceSuffix);
}

PlatformResult<AcceptanceTexts>
ReadAcceptanceStatus(const ObjectStore& aStore)
{
  const auto list = aStore.list(std::string(kStatusPrefix));
  if (!list) {
    return list.assume_error();
  }
  AcceptanceTexts texts;
  for (const StoredObject& object : list.assume_value().objects) {
    if (object.name.ends_with(kAcceptanceSuffix)) {
      const std::size_t length =
        object.name.size() - kStatusPrefix.size() - kAcceptanceSuffix.size();
      texts[object.name.substr(kStatusPrefix.size(), length)] = object.value;
    }
  }
  return texts;
}

AcceptanceTexts
WriteAcceptanceStatus(const ObjectStore& aStore,
                      AcceptanceTexts aOld,
                      const AcceptanceTexts& aDesired)
{
  AcceptanceTexts stored = aOld;
  int writes = 0;
  for (const auto& [entry, text] : aDesired) {
    const auto old = aOld.find(entry);
    const bool isSame = old != aOld.end() && old->second == text;
    if (!isSame && writes++ < kMaxWritesPerJob &&
        aStore.put(AcceptanceObjectName(entry), text, kAnyRevision)) {
      kLog.Warning("acceptance status of {}: {}", entry, text);
      stored[entry] = text;
    }
  }
  for (const auto& [entry, text] : aOld) {
    if (aDesired.contains(entry) || writes++ >= kMaxWritesPerJob) {
      continue;
    }
    const auto removed =
      aStore.remove(AcceptanceObjectName(entry), kAnyRevision);
    if (removed || removed.assume_error().code == PlatformErrorCode::NotFound) {
      stored.erase(entry);
    }
  }
  return stored;
}

} // namespace lacewingwharf
