#include "membership/memberdirectory.h"

#include "common/log.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Log kLog("membership");
constexpr const char* kPrefix = "members/";

// Daemons that start together have written their objects by the second read.
constexpr Millis kFirstReads = 600;
constexpr int kFirstReadCount = 3;

// Pause between reads of a daemon that knows no other member.
constexpr Millis kAloneInterval = 1000;
constexpr Millis kRetryInterval = 500;

std::string
TextOf(const DirectoryEntry& aEntry)
{
  Json json = { { "address", aEntry.address.address },
                { "port", aEntry.address.port } };
  if (aEntry.leaving) {
    json["leaving"] = { { "id", aEntry.leaving->id },
                        { "startedAt", aEntry.leaving->startedAt } };
  }
  return json.dump();
}

std::optional<DirectoryEntry>
EntryOf(const StoredObject& aObject)
{
  const Json json = Json::parse(aObject.value, nullptr, false);
  if (!json.is_object() || !json.contains("address") ||
      !json["address"].is_string() || !json.contains("port") ||
      !json["port"].is_number_integer()) {
    kLog.Warning("object {} is not a member: {}", aObject.name, aObject.value);
    return std::nullopt;
  }
  DirectoryEntry entry;
  entry.host = aObject.name.substr(std::string_view(kPrefix).size());
  entry.address = { json["address"].get<std::string>(),
                    json["port"].get<int>() };
  const auto leaving = json.find("leaving");
  if (leaving != json.end() && leaving->is_object() &&
      leaving->contains("id") && (*leaving)["id"].is_string() &&
      leaving->contains("startedAt") &&
      (*leaving)["startedAt"].is_number_integer()) {
    entry.leaving = LeavingServer{ (*leaving)["id"].get<std::string>(),
                                   (*leaving)["startedAt"].get<std::int64_t>() };
  }
  return entry;
}

} // namespace

MemberDirectory::MemberDirectory(DirectoryEntry aSelf,
                                 Clock aClock,
                                 SubmitPlatformJob aSubmit)
  : self(std::move(aSelf))
  , clock(std::move(aClock))
  , submit(std::move(aSubmit))
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
    now >= this->readDueAt && (this->reads < kFirstReadCount || aIsAlone);
  if (isReadDue) {
    this->Read();
    return;
  }
  // What an earlier process stored is read before it is overwritten.
  if (this->hasRead && !this->isWritten && now >= this->writeDueAt) {
    this->Write([](bool) {});
  }
}

void
MemberDirectory::Read()
{
  this->isBusy = true;
  const std::weak_ptr<bool> guard = this->alive;
  const bool isSubmitted =
    this->submit([this, guard](const ObjectStore& aStore) {
      auto list = aStore.list(kPrefix);
      return Completion([this, guard, result = std::move(list)] {
        if (guard.expired()) {
          return;
        }
        this->isBusy = false;
        if (!result) {
          kLog.Warning(
            "the members cannot be read: {} {}",
            kPlatformErrorNames.NameOf(result.assume_error().code),
            result.assume_error().detail);
          this->readDueAt = this->clock.Now() + kRetryInterval;
          return;
        }
        std::vector<DirectoryEntry> entries;
        for (const StoredObject& object : result.assume_value().objects) {
          if (auto entry = EntryOf(object)) {
            entries.push_back(std::move(*entry));
          }
        }
        this->TakeList(entries);
      });
    });
  if (!isSubmitted) {
    this->isBusy = false;
  }
}

void
MemberDirectory::TakeList(const std::vector<DirectoryEntry>& aEntries)
{
  ++this->reads;
  this->readDueAt =
    this->clock.Now() +
    (this->reads < kFirstReadCount ? kFirstReads : kAloneInterval);
  this->peers.clear();
  for (const DirectoryEntry& entry : aEntries) {
    if (entry.host != this->self.host) {
      this->peers.push_back(entry.address);
      continue;
    }
    if (!this->hasRead && entry.leaving && !this->self.leaving) {
      this->self.leaving = entry.leaving;
      if (this->onRecalled) {
        this->onRecalled(*entry.leaving);
      }
    }
    this->isWritten = this->isWritten || entry.address == this->self.address;
  }
  this->hasRead = true;
  kLog.Decision("members-read", "count={}", aEntries.size());
}

void
MemberDirectory::StoreLeaving(const LeavingServer& aLeaving,
                              std::function<void(bool)> aDone)
{
  if (this->self.leaving == aLeaving) {
    aDone(true);
    return;
  }
  this->self.leaving = aLeaving;
  this->Write(std::move(aDone));
}

void
MemberDirectory::Write(std::function<void(bool)> aDone)
{
  this->writeDueAt = this->clock.Now() + kRetryInterval;
  const std::weak_ptr<bool> guard = this->alive;
  const std::string name = kPrefix + this->self.host;
  const bool isSubmitted = this->submit(
    [this, guard, name, text = TextOf(this->self), done = aDone](
      const ObjectStore& aStore) {
      auto written = aStore.put(name, text, kAnyRevision);
      return Completion([this, guard, done, result = std::move(written)] {
        if (!guard.expired()) {
          this->isWritten = this->isWritten || result.has_value();
          done(result.has_value());
        }
      });
    });
  if (!isSubmitted) {
    aDone(false);
  }
}

} // namespace lacewingwharf
