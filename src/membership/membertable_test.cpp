#include "membership/endpointregistry.h"
#include "membership/membersyncer.h"
#include "membership/membertable.h"
#include "membership/recordpush.h"
#include "membership/updatequeue.h"
#include "membership/wiresize.h"

#include "common/log.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace lacewingwharf;

namespace {

wire::MemberRecord
RecordOf(const std::string& aHost,
         std::int64_t aIncarnation,
         std::int64_t aSequence,
         wire::MemberState::type aState)
{
  wire::MemberRecord record;
  record.host = aHost;
  record.domain = "bangor";
  record.address = "10.0.0.1";
  record.incarnation = aIncarnation;
  record.sequence = aSequence;
  record.state = aState;
  return record;
}

void
SilenceLogs()
{
  Log::SetLevel(LogLevel::Error);
}

} // namespace

TestSuite(membertable, .init = SilenceLogs);

// Records of a restart, of a suspicion and of its refutation may arrive in any
// order and repeatedly. The table must be the same after every order.
Test(membertable, EveryOrderOfUpdatesGivesTheSameTable)
{
  using State = wire::MemberState;
  const std::vector<wire::MemberRecord> updates = {
    RecordOf("a", 1, 1, State::ALIVE),   RecordOf("a", 1, 1, State::SUSPECT),
    RecordOf("a", 1, 1, State::DEAD),    RecordOf("a", 1, 2, State::ALIVE),
    RecordOf("a", 2, 1, State::SUSPECT), RecordOf("a", 2, 1, State::ALIVE),
  };
  std::vector<std::size_t> order = { 0, 1, 2, 3, 4, 5 };
  do {
    MemberTable table("bangor");
    for (const std::size_t index : order) {
      table.Merge(updates[index], 0);
      table.Merge(updates[order.front()], 0);
    }
    cr_assert_eq(*table.Find("a"), updates[4]);
    cr_assert_eq(table.SuspectCount(), 1U);
    cr_assert_eq(table.LiveHosts().size(), 1U);
  } while (std::next_permutation(order.begin(), order.end()));
}

// A table of one failure domain must reject the records of another.
Test(membertable, OtherDomainsAreNotMerged)
{
  MemberTable table("gent");
  cr_assert_not(table.Merge(RecordOf("a", 1, 1, wire::MemberState::ALIVE), 0));
}

// If the digest ignored a part of the key, a sync would treat tables that
// differ in that part as equal.
Test(membertable, DigestsDifferWithEveryPartOfTheKey)
{
  using State = wire::MemberState;
  std::set<std::vector<std::int64_t>> digests;
  for (const auto& record : { RecordOf("a", 1, 1, State::ALIVE),
                              RecordOf("a", 1, 2, State::ALIVE),
                              RecordOf("a", 2, 1, State::ALIVE),
                              RecordOf("a", 1, 1, State::DEAD) }) {
    MemberTable table("bangor");
    table.Merge(record, 0);
    digests.insert(table.Digests());
  }
  cr_assert_eq(digests.size(), 4U);
}

// Each update is sent a limited number of times, no datagram exceeds its limit,
// and a new update is sent before older ones.
Test(membertable, QueueBoundsSendsAndBytes)
{
  UpdateQueue queue;
  for (int index = 0; index < 100; ++index) {
    queue.Add(
      RecordOf(fmt::format("host-{}", index), 1, 1, wire::MemberState::ALIVE));
  }
  queue.Take(kMaxRecordBytes, 1600);
  queue.Add(RecordOf("urgent", 1, 1, wire::MemberState::SUSPECT));
  cr_assert_eq(queue.Take(kMaxRecordBytes, 1600).front().host, "urgent");
  int sends = 0;
  while (queue.Size() > 0) {
    wire::MemberSync sync;
    sync.records = queue.Take(kMaxRecordBytes, 1600);
    cr_assert_leq(EncodedSize(sync), kMaxDatagramBytes);
    cr_assert_lt(++sends, 101 * UpdateQueue::SendLimit(1600));
  }
}

// A push must reach every member from every root, for any number of members.
Test(membertable, TreesReachEveryMemberFromEveryRoot)
{
  for (const std::size_t count : { 1U, 2U, 9U, 75U, 200U }) {
    std::vector<std::string> hosts;
    for (std::size_t index = 0; index < count; ++index) {
      hosts.push_back(fmt::format("host-{:04}", index));
    }
    for (const std::string& root : { hosts.front(), hosts[count / 2] }) {
      std::set<std::string> reached = { root };
      std::vector<std::string> next = { root };
      while (!next.empty()) {
        const std::string host = next.back();
        next.pop_back();
        for (const auto& child : TreeChildren(hosts, root, host, 3)) {
          if (reached.insert(child).second) {
            next.push_back(child);
          }
        }
      }
      cr_assert_eq(reached.size(), count);
    }
  }
}

// A backend server that stops without a notice must expire. A pause of the
// daemon itself, which then has not read renewals, must not expire it.
Test(membertable, EndpointsExpireWithoutRenewal)
{
  EndpointRegistry registry(3000);
  const Announcement ready{ "orders", 1, 6, 110, wire::EndpointState::READY };
  cr_assert(registry.Announce(ready, 0));
  cr_assert_not(registry.Announce(ready, 2000));
  cr_assert_not(registry.Expire(5000));
  registry.RestartTimeouts(60000);
  cr_assert_not(registry.Expire(60000));
  cr_assert(registry.Expire(63001));
  cr_assert(registry.Endpoints().empty());
}

// When many daemons start at once, the budget limits the sync answers. An
// answer above the budget delays the next one until the debt is refilled.
Test(membertable, SyncBudgetRefusesUntilItIsRefilled)
{
  ByteBudget budget(1000, 5000);
  cr_assert(budget.IsAvailable(0));
  budget.Spend(7000);
  cr_assert_not(budget.IsAvailable(1000));
  cr_assert_not(budget.IsAvailable(2000));
  cr_assert(budget.IsAvailable(2100));
}

// A sync must transfer the missing records in both directions.
Test(membertable, SyncGivesBothSidesTheMissingRecords)
{
  MemberTable left("bangor");
  MemberTable right("bangor");
  left.Merge(RecordOf("a", 1, 2, wire::MemberState::ALIVE), 0);
  left.Merge(RecordOf("b", 1, 1, wire::MemberState::ALIVE), 0);
  right.Merge(RecordOf("a", 1, 1, wire::MemberState::ALIVE), 0);
  right.Merge(RecordOf("c", 1, 1, wire::MemberState::ALIVE), 0);
  MemberSyncer syncer({ "a" }, SeededRandom(1));
  wire::MemberSync request = syncer.Request(left);
  request.buckets = left.Digests();
  const auto answer = MemberSyncer::AnswerTo(request, right);
  const auto rest = syncer.Complete(answer, left, 0);
  cr_assert(rest.has_value());
  for (const wire::MemberRecord& record : answer.records) {
    left.Merge(record, 0);
  }
  for (const wire::MemberRecord& record : rest->records) {
    right.Merge(record, 0);
  }
  cr_assert_eq(left.Size(), 3U);
  cr_assert_eq(left.Digests(), right.Digests());
}
