#include "membership/memberdirectory.h"

#include "common/log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("membership");

// A daemon that finds fewer entries than this reads a second time, when daemons
// that started together with it have written theirs. With more entries, gossip
// completes its members.
constexpr std::size_t kEnoughEntries = 8;
constexpr Millis kSecondReadDelay = 600;

// Time after the first read until the daemon computes roles from the members
// that it knows.
constexpr Millis kSettleTime = 1200;

// Interval between reads while the daemon knows no other member.
constexpr Millis kAloneInterval = 1000;
constexpr Millis kRetryInterval = 500;

// Interval between reads of the own object after a restore. It must be back
// within 2 s of the store's return, so the first one that fails is repeated
// sooner than other calls.
constexpr Millis kCheckRetryInterval = 200;

/**
 * Replaces the own object on condition of its revision. A write whose answer
 * was lost may take effect late and must not undo a newer one. After a conflict
 * the object is compared: a lost write may have taken effect, and a store that
 * was restored from a copy issues revisions again.
 */
PlatformResult<std::int64_t>
Replace(const ObjectStore& aStore,
        const std::string& aName,
        const std::string& aText,
        std::int64_t aRevision)
{
  auto written = aStore.put(aName, aText, aRevision);
  const bool isStale =
    !written && (written.error().code == PlatformErrorCode::Conflict ||
                 written.error().code == PlatformErrorCode::NotFound);
  if (!isStale) {
    return written;
  }
  const auto present = aStore.get(aName);
  if (!present) {
    return present.error().code == PlatformErrorCode::NotFound
             ? aStore.put(aName, aText, kCreateOnly)
             : PlatformResult<std::int64_t>(failure(present.error()));
  }
  if (present.value().value != aText) {
    return aStore.put(aName, aText, present.value().revision);
  }
  PlatformResult<std::int64_t> unchanged = present.value().revision;
  unchanged.era = present.era;
  return unchanged;
}

} // namespace

MemberDirectory::MemberDirectory(DirectoryEntry aSelf,
                                 Clock aClock,
                                 MemberDirectoryHooks aHooks)
  : self(std::move(aSelf))
  , clock(std::move(aClock))
  , hooks(std::move(aHooks))
{
}

void
MemberDirectory::Tick(bool aIsAlone)
{
  const Millis now = this->clock.Now();
  if (this->isBusy) {
    return;
  }
  const bool isReadDue =
    now >= this->readDueAt &&
    (!this->hasRead || this->reads < this->requiredReads || aIsAlone);
  if (isReadDue) {
    this->Read();
    return;
  }
  // The entry of an earlier process is read before it is overwritten.
  if (!this->hasRead || this->isRemoved) {
    return;
  }
  if (this->MayBeLost()) {
    if (now >= this->checkDueAt) {
      this->CheckOwn();
    }
  } else if (!this->isWritten && now >= this->writeDueAt) {
    this->Write();
  }
}

void
MemberDirectory::Read()
{
  this->isBusy = true;
  const std::weak_ptr<bool> guard = this->lifetime;
  const bool isSubmitted =
    this->hooks.submit([this, guard](const ObjectStore& aStore) {
      auto list = aStore.list(kMemberPrefix);
      return Completion([this, guard, result = std::move(list)] {
        if (guard.expired()) {
          return;
        }
        this->isBusy = false;
        if (!result) {
          kLog.Warning("cannot read the member entries: {} {}",
                       kPlatformErrorNames.NameOf(result.assume_error().code),
                       result.assume_error().detail);
          this->readDueAt = this->clock.Now() + kRetryInterval;
          return;
        }
        if (!this->hasRead) {
          this->RecordEra(result.era);
        }
        std::vector<DirectoryEntry> entries;
        const std::string own = kMemberPrefix + this->self.host;
        for (const StoredObject& object : result.assume_value().objects) {
          if (object.name == own) {
            this->revision = object.revision;
          }
          if (auto entry = DecodeEntry(object)) {
            entries.push_back(std::move(*entry));
          }
        }
        this->HandleEntries(entries);
      });
    });
  if (!isSubmitted) {
    this->isBusy = false;
  }
}

void
MemberDirectory::HandleEntries(const std::vector<DirectoryEntry>& aEntries)
{
  if (!this->hasRead) {
    this->requiredReads = aEntries.size() < kEnoughEntries ? 2 : 1;
    this->settledAt = this->clock.Now() + kSettleTime;
  }
  ++this->reads;
  this->readDueAt =
    this->clock.Now() +
    (this->reads < this->requiredReads ? kSecondReadDelay : kAloneInterval);
  this->peers.clear();
  std::vector<DirectoryEntry> others;
  for (const DirectoryEntry& entry : aEntries) {
    if (entry.host == this->self.host) {
      this->RestoreOwn(entry);
      continue;
    }
    this->peers.push_back(entry.address);
    others.push_back(entry);
  }
  if (this->hooks.onMembers) {
    this->hooks.onMembers(others);
  }
  this->hasRead = true;
  kLog.Decision("members-read", "count={}", aEntries.size());
}

bool
MemberDirectory::HasSettled() const
{
  return this->settledAt && this->clock.Now() >= *this->settledAt;
}

void
MemberDirectory::RestoreOwn(const DirectoryEntry& aOwn)
{
  if (this->hasRead) {
    return;
  }
  // Reports that this process has received meanwhile are newer.
  this->self.leaving = this->self.leaving ? this->self.leaving : aOwn.leaving;
  this->self.server = this->self.server ? this->self.server : aOwn.server;
  this->SetOwn(aOwn);
  if (this->hooks.onRestored) {
    this->hooks.onRestored(aOwn);
  }
}

/** Compares what the store has for the own object with the own state. */
void
MemberDirectory::SetOwn(const std::optional<DirectoryEntry>& aStored)
{
  if (!aStored) {
    this->storedLeaving.reset();
    this->isWritten = false;
    return;
  }
  this->storedLeaving = this->MayBeLost() ? std::nullopt : aStored->leaving;
  // Other daemons take the incarnation from gossip, so an entry that differs
  // only in it need not be written.
  DirectoryEntry present = *aStored;
  present.incarnation = this->self.incarnation;
  this->isWritten = EncodeEntry(present) == EncodeEntry(this->self);
}

void
MemberDirectory::HandleRestore(std::int64_t aEra, Millis aDelay)
{
  this->requiredEra = aEra;
  if (!this->MayBeLost()) {
    return;
  }
  this->storedLeaving.reset();
  this->checkDueAt = this->clock.Now() + aDelay;
  if (this->isRemoved) {
    this->Remove();
  }
}

/** A response without an era is taken for one of the era that is known. */
void
MemberDirectory::RecordEra(std::optional<std::int64_t> aEra)
{
  this->knownEra = aEra ? aEra : this->requiredEra;
}

void
MemberDirectory::CheckOwn()
{
  this->isBusy = true;
  this->checkDueAt = this->clock.Now() + kCheckRetryInterval;
  const std::weak_ptr<bool> guard = this->lifetime;
  const std::string name = kMemberPrefix + this->self.host;
  const bool isSubmitted =
    this->hooks.submit([this, guard, name](const ObjectStore& aStore) {
      return Completion([this, guard, result = aStore.get(name)] {
        if (!guard.expired()) {
          this->isBusy = false;
          this->HandleOwnRead(result);
        }
      });
    });
  if (!isSubmitted) {
    this->isBusy = false;
  }
}

void
MemberDirectory::HandleOwnRead(const PlatformResult<StoredObject>& aRead)
{
  const bool isMissing =
    !aRead && aRead.error().code == PlatformErrorCode::NotFound;
  if (!aRead && !isMissing) {
    kLog.Warning("cannot read the own member entry: {} {}",
                 kPlatformErrorNames.NameOf(aRead.error().code),
                 aRead.error().detail);
    return; // Tick() repeats it.
  }
  this->RecordEra(aRead.era);
  if (this->MayBeLost()) {
    return; // The store was restored once more meanwhile.
  }
  this->revision = aRead ? aRead.value().revision : kCreateOnly;
  this->SetOwn(aRead ? DecodeEntry(aRead.value()) : std::nullopt);
  kLog.Decision("entry-checked-after-restore",
                "era={} revision={} leaving={} result={}",
                this->knownEra.value_or(0),
                this->revision,
                this->self.leaving ? this->self.leaving->id : "-",
                this->isWritten ? "present"
                : isMissing     ? "missing"
                                : "different");
  if (!this->isWritten) {
    this->Write();
  } else if (this->storedLeaving && this->hooks.onLeavingStored) {
    this->hooks.onLeavingStored(*this->storedLeaving);
  }
}

void
MemberDirectory::StoreServer(const ServerProcess& aServer)
{
  if (this->self.server == aServer) {
    return;
  }
  this->self.server = aServer;
  this->isWritten = false; // Tick() writes it.
}

void
MemberDirectory::Remove()
{
  const std::string name = kMemberPrefix + this->self.host;
  this->isRemoved = true;
  this->hooks.submit([name](const ObjectStore& aStore) {
    const auto removed = aStore.remove(name, kAnyRevision);
    if (!removed) {
      kLog.Warning("cannot remove the own member entry: {}",
                   kPlatformErrorNames.NameOf(removed.error().code));
    }
    return Completion([] {});
  });
}

bool
MemberDirectory::StoreLeaving(const LeavingServer& aLeaving)
{
  if (this->storedLeaving == aLeaving) {
    return true;
  }
  const bool isNew = this->self.leaving != aLeaving;
  if (isNew) {
    this->self.leaving = aLeaving;
    this->isWritten = false;
  }
  if (!this->hasRead || this->isBusy) {
    return false; // Tick() writes it.
  }
  if (this->MayBeLost()) {
    this->CheckOwn();
  } else if (isNew) {
    this->Write();
  }
  return this->storedLeaving == aLeaving;
}

void
MemberDirectory::Write()
{
  this->isBusy = true;
  this->writeDueAt = this->clock.Now() + kRetryInterval;
  const std::weak_ptr<bool> guard = this->lifetime;
  const std::string name = kMemberPrefix + this->self.host;
  const bool isSubmitted = this->hooks.submit(
    [this,
     guard,
     name,
     text = EncodeEntry(this->self),
     leaving = this->self.leaving,
     expectedRevision = this->revision](const ObjectStore& aStore) {
      auto written = Replace(aStore, name, text, expectedRevision);
      return Completion(
        [this, guard, text, leaving, result = std::move(written)] {
          if (guard.expired()) {
            return;
          }
          this->isBusy = false;
          if (!result) {
            kLog.Warning("cannot write the own member entry: {} {}",
                         kPlatformErrorNames.NameOf(result.error().code),
                         result.error().detail);
            return;
          }
          this->RecordEra(result.era);
          this->revision = result.value();
          if (this->MayBeLost()) {
            return; // Acknowledged before a restore. Tick() compares it.
          }
          this->isWritten = text == EncodeEntry(this->self);
          this->HandleWritten(leaving);
        });
    });
  if (!isSubmitted) {
    this->isBusy = false;
  }
}

void
MemberDirectory::HandleWritten(const std::optional<LeavingServer>& aLeaving)
{
  this->storedLeaving = aLeaving;
  if (aLeaving && this->hooks.onLeavingStored) {
    this->hooks.onLeavingStored(*aLeaving);
  }
  // A report that arrived during the write must not wait for the next tick.
  if (!this->isWritten) {
    this->Write();
  }
}

} // namespace lacewingwharf
