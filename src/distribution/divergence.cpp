#include "distribution/divergence.h"

#include "common/log.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

} // namespace

std::int32_t
ShortHashOf(const Snapshot& aSnapshot)
{
  if (aSnapshot.Version() == 0) {
    return 0;
  }
  const auto low = static_cast<std::uint32_t>(aSnapshot.ContentHash());
  return static_cast<std::int32_t>(std::max<std::uint32_t>(low, 1));
}

void
DivergenceTracker::Compare(const Snapshot& aHeld,
                           const std::string& aHost,
                           std::int64_t aVersion,
                           std::int32_t aShortHash)
{
  if (aVersion != aHeld.Version()) {
    return;
  }
  if (this->version != aVersion) {
    this->version = aVersion;
    this->peers.clear();
  }
  const std::int32_t own = ShortHashOf(aHeld);
  if (aShortHash == own) {
    this->peers.erase(aHost);
    return;
  }
  if (this->peers.insert(aHost).second) {
    kLog.Error(
      "{} holds different content under version {}: its hash is {:08x}, "
      "the own hash is {:08x}",
      aHost,
      aVersion,
      static_cast<std::uint32_t>(aShortHash),
      static_cast<std::uint32_t>(own));
  }
}

std::size_t
DivergenceTracker::PeerCount(const Snapshot& aHeld) const
{
  return this->version == aHeld.Version() ? this->peers.size() : 0;
}

} // namespace lacewingwharf
