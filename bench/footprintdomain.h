#pragma once

#include "common/clock.h"
#include "membership/domainsummaries.h"
#include "membership/membertable.h"

#include <fmt/format.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::bench {

constexpr int kFootprintPort = 17840;

inline std::string
SimulatedAddress(std::size_t aIndex)
{
  constexpr std::size_t kFirst = 16;
  constexpr std::size_t kPerRow = 250;
  return fmt::format(
    "127.84.{}.{}", kFirst + aIndex / kPerRow, aIndex % kPerRow + 1);
}

/** Returns the record of a member with one ready endpoint. */
inline wire::MemberRecord
SimulatedRecord(const std::string& aRegion,
                const std::string& aDomain,
                std::size_t aIndex,
                int aServices,
                Millis aIncarnation)
{
  wire::MemberRecord record;
  record.host = fmt::format("{}-host-{:04}", aDomain, aIndex);
  record.address = SimulatedAddress(aIndex);
  record.peerPort = kFootprintPort;
  record.region = aRegion;
  record.domain = aDomain;
  record.incarnation = aIncarnation;
  record.sequence = 1;
  record.state = wire::MemberState::ALIVE;
  record.endpoints.resize(1);
  wire::Endpoint& endpoint = record.endpoints.front();
  endpoint.serviceName =
    fmt::format("service-{}", aIndex % static_cast<std::size_t>(aServices));
  endpoint.port = 9000;
  endpoint.slots = 12;
  endpoint.connections = 130;
  endpoint.state = wire::EndpointState::READY;
  return record;
}

inline void
ToggleState(wire::MemberRecord& aRecord)
{
  ++aRecord.sequence;
  auto& state = aRecord.endpoints.front().state;
  state = state == wire::EndpointState::READY ? wire::EndpointState::DRAINING
                                              : wire::EndpointState::READY;
}

/** Simulates another failure domain, of which the daemon receives summaries. */
class SimulatedDomain
{
public:
  SimulatedDomain(const std::string& aRegion,
                  std::string aName,
                  int aMembers,
                  int aServices,
                  Clock aWall)
    : name(std::move(aName))
    , wall(std::move(aWall))
    , table(this->name)
    , summaries(aRegion, this->name)
  {
    for (int index = 0; index < aMembers; ++index) {
      this->table.Merge(SimulatedRecord(aRegion,
                                        this->name,
                                        static_cast<std::size_t>(index),
                                        aServices,
                                        this->wall.Now()),
                        0);
    }
    this->Build();
  }

  void ChangeRecord(std::size_t aIndex)
  {
    wire::MemberRecord record =
      *this->table.Find(this->table.LiveHosts()[aIndex]);
    ToggleState(record);
    this->table.Merge(record, 0);
  }

  wire::DomainSummary WholeSummary() const
  {
    return this->summaries.ChangesSince(this->name, 0);
  }

  /**
   * Returns the summary that the relays of the domain send at aNow, if any:
   * changes at most once per second, and a refresh every 10 s.
   */
  std::optional<wire::DomainSummary> TakeDueSummary(Millis aNow)
  {
    constexpr Millis kMinInterval = 1000;
    constexpr Millis kRefreshInterval = 10000;
    if (aNow - this->builtAt < kMinInterval) {
      return std::nullopt;
    }
    this->builtAt = aNow;
    const bool isRefresh = aNow - this->refreshedAt >= kRefreshInterval;
    if (this->Build() != SummaryChange::Endpoints && !isRefresh) {
      return std::nullopt;
    }
    if (isRefresh) {
      this->summaries.Touch(this->wall.Now());
      this->refreshedAt = aNow;
    }
    wire::DomainSummary summary =
      this->summaries.ChangesSince(this->name, this->sentStamp);
    this->sentStamp = summary.stamp;
    if (isRefresh) {
      summary.contacts = this->Contacts();
      summary.buckets = this->summaries.Digests(this->name);
    }
    return summary;
  }

private:
  std::vector<wire::MemberRecord> Contacts() const
  {
    constexpr std::size_t kContacts = 8;
    std::vector<wire::MemberRecord> contacts;
    for (std::size_t index = 0; index < kContacts; ++index) {
      contacts.push_back(*this->table.Find(this->table.LiveHosts()[index]));
      contacts.back().endpoints.clear();
      contacts.back().sequence = 0;
    }
    return contacts;
  }

  SummaryChange Build()
  {
    return this->summaries.Build(
      this->table, {}, this->Contacts(), this->wall.Now(), true);
  }

  std::string name;
  Clock wall;
  MemberTable table;
  DomainSummaries summaries;
  std::int64_t sentStamp = 0;
  Millis builtAt = 0;
  Millis refreshedAt = 0;
};

} // namespace lacewingwharf::bench
