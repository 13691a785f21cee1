// The part of ControlService that handles a store that was restored from a
// copy.

#include "common/log.h"
#include "daemon/controlservice.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr Log kLog("control");

// All entries must be back within 2 s of the store's return, and it takes some
// time until each daemon knows of it. 300 daemons that read and write within
// this time make 600 reads and 600 writes a second; the store takes 6,000 and
// 1,200.
constexpr Millis kMaxCheckDelay = 500;

} // namespace

void
ControlService::RecordPeerStoreEra(std::int64_t aEra)
{
  // A lower era means only that the peer does not know of the restore yet.
  static_cast<void>(this->storeEra->Record(aEra));
}

void
ControlService::HandleStoreRise()
{
  const auto rise = this->storeEra->TakeRise();
  if (!rise) {
    return;
  }
  const auto delay =
    static_cast<Millis>(RandomBelow(this->random, kMaxCheckDelay));
  const auto& leaving = this->localServer.Leaving();
  kLog.Decision("store-restored",
                "era_before={} era={} version={} leaving={} check_in_ms={}",
                rise->eraBefore,
                rise->era,
                this->distributor.HeldSnapshot()->Version(),
                leaving ? leaving->id : "-",
                delay);
  // The store has responded to some daemon since it came back.
  this->platform.EndBackoff();
  this->distributor.HandleStoreRise();
  if (this->rollouts) {
    this->rollouts->HandleStoreRise();
  }
  this->membership.SpreadStoreEra();
  this->directory.HandleRestore(rise->era, delay);
}

} // namespace lacewingwharf
