#include "membership/memberdirectory.h"

#include "common/jsonitems.h"
#include "common/jsonvalue.h"
#include "common/log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Log kLog("membership");
constexpr const char* kPrefix = "members/";

// More than any backend server has. A higher number is not from a daemon.
constexpr std::int64_t kMaxSlots = 100000;

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

std::string
EncodeEntry(const DirectoryEntry& aEntry)
{
  Json json = { { "address", aEntry.address.address },
                { "port", aEntry.address.port },
                { "region", aEntry.region },
                { "domain", aEntry.domain },
                { "incarnation", aEntry.incarnation } };
  if (aEntry.server) {
    json["server"] = { { "id", aEntry.server->id },
                       { "startedAt", aEntry.server->startedAt },
                       { "service", aEntry.server->service },
                       { "port", aEntry.server->port },
                       { "slots", aEntry.server->slots } };
  }
  if (aEntry.leaving) {
    json["leaving"] = { { "id", aEntry.leaving->id },
                        { "startedAt", aEntry.leaving->startedAt } };
  }
  return json.dump();
}

bool
IsAddress(const std::string& aText)
{
  in_addr address{};
  return inet_pton(AF_INET, aText.c_str(), &address) == 1;
}

/** Returns 0 when the field is missing or is no port. */
int
PortIn(const Json& aObject)
{
  constexpr std::int64_t kMaxPort = 65535;
  const auto port = IntegerField(aObject, "port").value_or(0);
  return port > 0 && port <= kMaxPort ? static_cast<int>(port) : 0;
}

std::int64_t
NumberIn(const Json& aObject, const char* aField)
{
  return IntegerField(aObject, aField).value_or(0);
}

std::optional<DirectoryEntry>
DecodeEntry(const StoredObject& aObject)
{
  const Json json = ParseItem(aObject.value);
  if (!json.is_object() || !IsAddress(TextField(json, "address")) ||
      PortIn(json) == 0) {
    kLog.Warning("ignoring object {} of {} bytes: not a member entry",
                 aObject.name,
                 aObject.value.size());
    return std::nullopt;
  }
  DirectoryEntry entry;
  entry.host = aObject.name.substr(std::string_view(kPrefix).size());
  entry.address = { TextField(json, "address"), PortIn(json) };
  entry.region = TextField(json, "region");
  entry.domain = TextField(json, "domain");
  entry.incarnation = NumberIn(json, "incarnation");
  const Json server = json.value("server", Json::object());
  const std::int64_t slots = NumberIn(server, "slots");
  if (PortIn(server) != 0 && slots > 0 && slots <= kMaxSlots) {
    entry.server = ServerProcess{ TextField(server, "id"),
                                  NumberIn(server, "startedAt"),
                                  TextField(server, "service"),
                                  PortIn(server),
                                  static_cast<int>(slots) };
  }
  const Json leaving = json.value("leaving", Json::object());
  if (leaving.is_object() && !TextField(leaving, "id").empty()) {
    entry.leaving =
      LeavingServer{ TextField(leaving, "id"), NumberIn(leaving, "startedAt") };
  }
  return entry;
}

/**
 * Replaces the own object on condition of its revision. A write whose answer
 * was lost may take effect late and must not undo a newer one.
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
  return aStore.put(
    aName, aText, present ? present.value().revision : kCreateOnly);
}

} // namespace

wire::MemberRecord
RecordOf(const DirectoryEntry& aEntry)
{
  wire::MemberRecord record;
  record.host = aEntry.host;
  record.address = aEntry.address.address;
  record.peerPort = aEntry.address.port;
  record.region = aEntry.region;
  record.domain = aEntry.domain;
  record.incarnation = aEntry.incarnation;
  record.state = wire::MemberState::ALIVE;
  const bool isLeaving =
    aEntry.server && aEntry.leaving && aEntry.leaving->id == aEntry.server->id;
  if (aEntry.server && !isLeaving) {
    wire::Endpoint endpoint;
    endpoint.serviceName = aEntry.server->service;
    endpoint.port = aEntry.server->port;
    endpoint.slots = aEntry.server->slots;
    endpoint.state = wire::EndpointState::READY;
    record.endpoints.push_back(endpoint);
  }
  return record;
}

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
  if (this->hasRead && !this->isWritten && now >= this->writeDueAt) {
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
      auto list = aStore.list(kPrefix);
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
        std::vector<DirectoryEntry> entries;
        const std::string own = kPrefix + this->self.host;
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
  this->storedLeaving = aOwn.leaving;
  // Reports that this process has received meanwhile are newer.
  this->self.leaving = this->self.leaving ? this->self.leaving : aOwn.leaving;
  this->self.server = this->self.server ? this->self.server : aOwn.server;
  // Other daemons take the incarnation from gossip, so an entry that differs
  // only in it need not be written.
  DirectoryEntry present = aOwn;
  present.incarnation = this->self.incarnation;
  this->isWritten = EncodeEntry(present) == EncodeEntry(this->self);
  if (this->hooks.onRestored) {
    this->hooks.onRestored(aOwn);
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
  const std::string name = kPrefix + this->self.host;
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
  if (this->self.leaving == aLeaving) {
    return false; // A write is running, or Tick() repeats it.
  }
  this->self.leaving = aLeaving;
  this->isWritten = false;
  if (this->hasRead && !this->isBusy) {
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
  const std::string name = kPrefix + this->self.host;
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
          this->revision = result.value();
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
