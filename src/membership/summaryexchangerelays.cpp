// The part of SummaryExchange that knows the relays of the own domain.

#include "common/hash.h"
#include "membership/membertable.h"
#include "membership/summaryexchange.h"

#include <algorithm>

namespace lacewingwharf {

namespace {

constexpr std::size_t kMaxContacts = 8;

} // namespace

const std::vector<std::string>&
SummaryExchange::Relays() const
{
  if (this->contactsVersion != this->table.LiveVersion()) {
    this->contactsVersion = this->table.LiveVersion();
    this->contacts =
      RendezvousOrder(this->config.domain, this->table.LiveHosts());
    this->contacts.resize(std::min(this->contacts.size(), kMaxContacts));
    const std::size_t count =
      std::min(this->contacts.size(), this->config.relays);
    this->relays.assign(this->contacts.begin(),
                        this->contacts.begin() +
                          static_cast<std::ptrdiff_t>(count));
  }
  return this->relays;
}

bool
SummaryExchange::IsRelay() const
{
  return std::ranges::find(this->Relays(), this->config.host) !=
         this->Relays().end();
}

std::size_t
SummaryExchange::OwnRank() const
{
  const auto& order = this->Relays();
  const auto own = std::ranges::find(order, this->config.host);
  return static_cast<std::size_t>(own - order.begin());
}

std::vector<wire::MemberRecord>
SummaryExchange::OwnContacts() const
{
  this->Relays();
  std::vector<wire::MemberRecord> records;
  for (const std::string& host : this->contacts) {
    records.push_back(*this->table.Find(host));
    // Contacts carry only what is needed to reach the member; the other fields
    // change too often.
    records.back().endpoints.clear();
    records.back().sequence = 0;
    records.back().state = wire::MemberState::ALIVE;
  }
  return records;
}

std::optional<PeerAddress>
SummaryExchange::AddressOfMember(const std::string& aHost) const
{
  const wire::MemberRecord* const record = this->table.Find(aHost);
  if (record == nullptr) {
    return std::nullopt;
  }
  return PeerAddress{ record->address, record->peerPort };
}

} // namespace lacewingwharf
