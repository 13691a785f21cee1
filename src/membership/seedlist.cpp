#include "membership/seedlist.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewingwharf {

namespace {

using Json = nlohmann::json;

constexpr Millis kReadInterval = 2000;
constexpr Millis kWriteInterval = 30000;

// Time until the list is compared again after it was found unchanged. Building
// the list costs a lookup per member.
constexpr Millis kCompareInterval = 1000;
constexpr std::size_t kMaxSeeds = 16;

std::vector<PeerAddress>
ParseSeeds(const std::string& aText)
{
  std::vector<PeerAddress> peers;
  const Json rows = Json::parse(aText, nullptr, false);
  if (!rows.is_array()) {
    return peers;
  }
  for (const Json& row : rows) {
    if (row.is_object() && row.contains("address") && row.contains("port")) {
      peers.push_back({ row.value("address", ""), row.value("port", 0) });
    }
  }
  return peers;
}

std::string
EncodeSeeds(const std::vector<PeerAddress>& aPeers)
{
  Json rows = Json::array();
  std::ranges::transform(
    aPeers, std::back_inserter(rows), [](const PeerAddress& aPeer) {
      return Json{ { "address", aPeer.address }, { "port", aPeer.port } };
    });
  return rows.dump();
}

} // namespace

SeedList::SeedList(std::string aDomain, Clock aClock, SubmitPlatformJob aSubmit)
  : domain(std::move(aDomain))
  , clock(std::move(aClock))
  , submit(std::move(aSubmit))
{
}

void
SeedList::ReadWhenAlone(bool aIsAlone)
{
  const Millis now = this->clock.Now();
  if (!aIsAlone || this->state->isBusy || now < this->nextReadAt) {
    return;
  }
  this->nextReadAt = now + kReadInterval;
  const std::string name = fmt::format("seeds/{}", this->domain);
  this->state->isBusy =
    this->submit([name, state = this->state](const ObjectStore& aStore) {
      const auto object = aStore.get(name);
      auto peers =
        object ? ParseSeeds(object.value().value) : std::vector<PeerAddress>();
      return Completion([state, peers = std::move(peers)] {
        state->isBusy = false;
        state->peers = peers;
      });
    });
}

void
SeedList::Publish(const std::vector<PeerAddress>& aMembers)
{
  if (!this->IsPublishDue()) {
    return;
  }
  const std::size_t count = std::min(aMembers.size(), kMaxSeeds);
  const std::string text =
    EncodeSeeds({ aMembers.begin(),
                  aMembers.begin() + static_cast<std::ptrdiff_t>(count) });
  const bool isUnchanged = text == this->publishedText;
  this->nextWriteAt =
    this->clock.Now() + (isUnchanged ? kCompareInterval : kWriteInterval);
  if (isUnchanged) {
    return;
  }
  this->publishedText = text;
  const std::string name = fmt::format("seeds/{}", this->domain);
  this->submit([name, text](const ObjectStore& aStore) {
    // A failed write is not retried: the next change writes the list again, and
    // daemons also get peers from the settings.
    static_cast<void>(aStore.put(name, text, kAnyRevision));
    return Completion([] {});
  });
}

} // namespace lacewingwharf
