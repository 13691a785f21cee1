#include "proxy/callermemory.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;

/** Connections of callers without sockets. */
struct MemoryFixture
{
  explicit MemoryFixture(const CallerMemoryLimits& aLimits)
    : memory(aLimits, this->clock.View())
  {
  }

  CallerMemory::Share& Open(const std::string& aAddress = "127.0.0.1")
  {
    this->shares.push_back(std::make_unique<CallerMemory::Share>(
      this->memory, this->shares.size() + 1, aAddress));
    return *this->shares.back();
  }

  /** The connection that is to be ended, or 0. */
  std::uint64_t Over()
  {
    const auto end = this->memory.ChooseOver();
    return end ? end->connection : 0;
  }

  std::uint64_t Idle(std::uint64_t aWithUnreadBytes = 0) const
  {
    const auto end = this->memory.ChooseIdle(
      this->shares.size(), [aWithUnreadBytes](std::uint64_t aConnection) {
        return aConnection != aWithUnreadBytes;
      });
    return end ? end->connection : 0;
  }

  ManualClock clock{ 1000 };
  CallerMemory memory;
  std::vector<std::unique_ptr<CallerMemory::Share>> shares;
};

CallerMemoryLimits
Total(std::size_t aBytes)
{
  CallerMemoryLimits limits;
  limits.totalBytes = aBytes;
  return limits;
}

} // namespace

// Without limits nothing may ever be ended.
Test(callermemory, without_limits_nothing_ends)
{
  MemoryFixture fixture({});
  fixture.Open().Set({ 100 * kMegabyte, 100 * kMegabyte, 100 * kMegabyte },
                     true);
  cr_expect_not(fixture.memory.MayBeOver());
  cr_expect_eq(fixture.Over(), 0U);
  cr_expect_eq(fixture.memory.MaxRequestBytes(), 0U);
}

// A stalled body must end before bodies that arrive, whatever their size.
Test(callermemory, the_body_that_has_stalled_longest_ends_first)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  auto& moving = fixture.Open();
  auto& stalled = fixture.Open();
  moving.Set({ 4 * kMegabyte, 0, 0 }, false);
  stalled.Set({ 2 * kMegabyte, 0, 0 }, false);
  for (int i = 0; i < 50; ++i) {
    fixture.clock.Advance(100);
    moving.RecordProgress(10000, 1000 + (i + 1) * 100);
  }
  cr_expect_eq(fixture.Over(), 0U);
  fixture.Open().Set({ 2 * kMegabyte, 0, 0 }, false);
  cr_expect_eq(fixture.Over(), 2U);
  stalled.Set({}, false);
  cr_expect_eq(fixture.Over(), 0U);
}

// A caller that sends a byte now and then must not count as making progress.
Test(callermemory, a_trickle_is_no_progress)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  auto& trickling = fixture.Open();
  trickling.Set({ 2 * kMegabyte, 0, 0 }, false);
  for (int i = 0; i < 100; ++i) {
    fixture.clock.Advance(100);
    trickling.RecordProgress(10, 1000 + (i + 1) * 100);
  }
  fixture.Open().Set({ 6 * kMegabyte, 0, 0 }, false);
  cr_expect_eq(fixture.Over(), 1U);
}

// A fast start must not excuse the stop behind it.
Test(callermemory, a_fast_start_gives_no_credit)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  auto& stalled = fixture.Open();
  stalled.Set({ 4 * kMegabyte, 0, 0 }, false);
  stalled.RecordProgress(100 * kMegabyte, 1000);
  fixture.clock.Advance(5000);
  fixture.Open().Set({ 4 * kMegabyte, 0, 0 }, false);
  const auto end = fixture.memory.ChooseOver();
  cr_assert(end.has_value());
  cr_expect_eq(end->connection, 1U);
  cr_expect_eq(end->late, 5000);
}

// Requests that were passed on may have run. They must not end, and small
// requests must still be read while large ones are refused.
Test(callermemory, small_requests_are_read_while_large_ones_are_refused)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  fixture.Open().Set({ 0, 7 * kMegabyte + 10000, 0 }, true);
  cr_expect_eq(fixture.Over(), 0U);
  auto& small = fixture.Open();
  small.Set({ 8000, 0, 0 }, false);
  cr_expect_eq(fixture.Over(), 0U);
  auto& large = fixture.Open();
  large.Set({ 60000, 0, 0 }, false);
  const auto end = fixture.memory.ChooseOver();
  cr_assert(end.has_value());
  cr_expect_eq(end->connection, 3U);
  cr_expect_eq(end->limit, CallerLimit::RequestBytes);
  cr_expect_eq(end->bound, 7 * kMegabyte);
  cr_expect_gt(end->seen, end->bound);
  large.Set({}, false);
  cr_expect_eq(fixture.Over(), 0U);
  // At the limit itself small ones are refused too.
  fixture.Open().Set({ 0, kMegabyte - 15000, 0 }, true);
  cr_expect_eq(fixture.Over(), 2U);
}

// Requests must leave room for answers, or an answer that is complete could not
// be sent.
Test(callermemory, requests_leave_half_of_the_total_for_answers)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  fixture.Open().Set({ 0, 7 * kMegabyte, 0 }, true);
  fixture.Open().Set({ 0, 0, 8 * kMegabyte }, false);
  cr_expect_eq(fixture.Over(), 0U);
  fixture.clock.Advance(2000);
  fixture.Open().Set({ 0, 0, 2 * kMegabyte }, false);
  const auto end = fixture.memory.ChooseOver();
  cr_assert(end.has_value());
  cr_expect_eq(end->connection, 2U);
  cr_expect_eq(end->limit, CallerLimit::TotalBytes);
}

// One connection, or one address, must not use what is left to the others.
Test(callermemory, connections_and_addresses_have_limits_of_their_own)
{
  CallerMemoryLimits limits;
  limits.connectionBytes = 2 * kMegabyte;
  limits.addressBytes = 3 * kMegabyte;
  MemoryFixture fixture(limits);
  auto& first = fixture.Open("127.0.0.1");
  auto& second = fixture.Open("127.0.0.2");
  first.Set({ 0, 0, 2 * kMegabyte }, false);
  second.Set({ 0, 0, 2 * kMegabyte }, false);
  cr_expect_eq(fixture.Over(), 0U);
  fixture.clock.Advance(1000);
  fixture.Open("127.0.0.2").Set({ 0, 0, 2 * kMegabyte }, false);
  const auto end = fixture.memory.ChooseOver();
  cr_assert(end.has_value());
  cr_expect_eq(end->connection, 2U);
  cr_expect_eq(end->limit, CallerLimit::AddressBytes);
  second.Set({}, false);
  first.Set({ 1, 0, 2 * kMegabyte }, false);
  cr_expect_eq(fixture.Over(), 1U);
  cr_expect_eq(fixture.memory.MaxRequestBytes(), kMegabyte);
}

// The number of connections of an address must be counted down as well.
Test(callermemory, an_address_has_a_limited_number_of_connections)
{
  CallerMemoryLimits limits;
  limits.addressConnections = 2;
  MemoryFixture fixture(limits);
  fixture.Open();
  fixture.Open();
  cr_expect_not(fixture.memory.MayOpen("127.0.0.1"));
  cr_expect(fixture.memory.MayOpen("127.0.0.2"));
  fixture.shares.pop_back();
  cr_expect(fixture.memory.MayOpen("127.0.0.1"));
}

// Connections in use must not be closed for others, and those of callers that
// have sent requests only after the others.
Test(callermemory, connections_that_sent_no_request_make_room_first)
{
  MemoryFixture fixture({});
  auto& used = fixture.Open();
  used.Set({}, true);
  fixture.clock.Advance(10);
  used.Set({}, false);
  fixture.clock.Advance(500);
  auto& silent = fixture.Open();
  cr_expect_eq(fixture.Idle(), 0U, "all are too new");
  fixture.clock.Advance(1000);
  cr_expect_eq(fixture.Idle(), 2U);
  silent.Set({}, true);
  cr_expect_eq(fixture.Idle(), 1U);
  used.Set({ 0, 0, 1 }, false);
  cr_expect_eq(fixture.Idle(), 0U);
}

// A body that arrives must not be closed for other connections; one that has
// stalled may.
Test(callermemory, a_body_that_arrives_keeps_its_connection)
{
  MemoryFixture fixture({});
  auto& body = fixture.Open();
  body.Set({ kMegabyte, 0, 0 }, false);
  fixture.clock.Advance(2000);
  body.RecordProgress(kMegabyte, 3000);
  cr_expect_eq(fixture.Idle(), 0U);
  fixture.clock.Advance(2000);
  cr_expect_eq(fixture.Idle(), 1U);
}

// Whatever callers do, the limit on the total must hold for what can be ended,
// and counts must return to zero.
Test(callermemory, limits_hold_in_random_schedules)
{
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::minstd_rand random(seed);
    CallerMemoryLimits limits = Total(16 * kMegabyte);
    limits.connectionBytes = 4 * kMegabyte;
    limits.addressBytes = 12 * kMegabyte;
    MemoryFixture fixture(limits);
    for (int i = 0; i < 40; ++i) {
      fixture.Open(i % 3 == 0 ? "127.0.0.1" : "127.0.0.2");
    }
    for (int step = 0; step < 500; ++step) {
      fixture.clock.Advance(static_cast<double>(random() % 50));
      auto& share = *fixture.shares[random() % fixture.shares.size()];
      const std::size_t bytes = random() % (3 * kMegabyte);
      const bool isAnswer = random() % 2 == 0;
      share.Set({ isAnswer ? 0 : bytes, 0, isAnswer ? bytes : 0 }, false);
      int ended = 0;
      while (const std::uint64_t over = fixture.Over()) {
        fixture.shares[over - 1]->Set({}, false);
        cr_assert_lt(++ended, 41);
      }
      const HeldBytes held = fixture.memory.Counts().held;
      cr_assert_leq(held.Sum(), limits.totalBytes, "seed %u", seed);
      cr_assert_leq(held.Intake(), limits.totalBytes / 2, "seed %u", seed);
    }
    fixture.shares.clear();
    cr_expect_eq(fixture.memory.Counts().held.Sum(), 0U);
  }
}

// A body that is complete when it is first seen was never counted as being
// read, so many of them could be passed on above the limit.
Test(callermemory, complete_requests_are_passed_on_within_the_limit)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  cr_expect(fixture.memory.MayPassOn(7 * kMegabyte), "the only one");
  fixture.Open().Set({ 0, 4 * kMegabyte, 0 }, true);
  cr_expect(fixture.memory.MayPassOn(kMegabyte));
  cr_expect_not(fixture.memory.MayPassOn(2 * kMegabyte));
  fixture.Open().Set({ 4 * kMegabyte, 0, 0 }, false);
  cr_expect(fixture.memory.MayPassOn(kMegabyte), "stalled bodies end first");
  fixture.Open().Set({ 0, 3 * kMegabyte, 0 }, true);
  cr_expect_not(fixture.memory.MayPassOn(kMegabyte));
  cr_expect(fixture.memory.MayPassOn(1024), "room is left for small ones");
  MemoryFixture unlimited({});
  unlimited.Open().Set({ 0, 100 * kMegabyte, 0 }, true);
  cr_expect(unlimited.memory.MayPassOn(100 * kMegabyte));
}

// Requests that run cannot be ended, so when they alone are above the limit,
// heads that arrive in pieces must not end for them.
Test(callermemory, small_heads_do_not_end_for_requests_that_run)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  fixture.Open().Set({ 0, 9 * kMegabyte, 0 }, true);
  fixture.Open().Set({ 500, 0, 0 }, false);
  cr_expect_eq(fixture.Over(), 0U);
}

// A kept connection whose next request has begun to arrive is not idle.
Test(callermemory, a_connection_that_sends_a_request_is_not_idle)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  auto& share = fixture.Open();
  fixture.clock.Advance(10000);
  share.RecordProgress(500, 11000);
  share.Set({ 500, 0, 0 }, false);
  cr_expect_eq(fixture.Idle(), 0U);
  share.Set({}, false);
  cr_expect_eq(fixture.Idle(), 1U);
}

// If its requests that run are above the limit of a connection or an address,
// ending answers does not help, and would lose those requests.
Test(callermemory, answers_do_not_end_for_requests_that_run)
{
  CallerMemoryLimits limits;
  limits.connectionBytes = 2 * kMegabyte;
  MemoryFixture connection(limits);
  auto& share = connection.Open();
  share.Set({ 0, 3 * kMegabyte, kMegabyte }, true);
  cr_expect_eq(connection.Over(), 0U);
  share.Set({ 500, 3 * kMegabyte, kMegabyte }, true);
  cr_expect_eq(connection.Over(), 1U, "what is read can end");
  limits = {};
  limits.addressBytes = 2 * kMegabyte;
  MemoryFixture address(limits);
  address.Open().Set({ 0, 3 * kMegabyte, 0 }, true);
  auto& other = address.Open();
  other.Set({ 0, 0, kMegabyte }, false);
  cr_expect_eq(address.Over(), 0U);
  other.Set({ 500, 0, kMegabyte }, false);
  cr_expect_eq(address.Over(), 2U, "what is read can end");
}

// An address above its limit in which nothing can end must not hide another
// one.
Test(callermemory, each_address_above_its_limit_is_considered)
{
  CallerMemoryLimits limits;
  limits.addressBytes = 2 * kMegabyte;
  for (const std::size_t reading : { 0U, 1U }) { // The other one runs.
    MemoryFixture fixture(limits);
    fixture.Open("127.0.0.1");
    fixture.Open("127.0.0.2");
    fixture.shares[1 - reading]->Set({ 0, 3 * kMegabyte, 0 }, true);
    fixture.shares[reading]->Set({ 3 * kMegabyte, 0, 0 }, false);
    cr_expect_eq(fixture.Over(), reading + 1);
  }
}

// The answer of a refusal frees nothing, so its connection must not end for the
// total while requests of it run.
Test(callermemory, small_answers_do_not_end_requests_that_run)
{
  MemoryFixture fixture(Total(16 * kMegabyte));
  fixture.Open().Set({ 0, 1000, 20 }, true);
  fixture.clock.Advance(600000);
  fixture.Open().Set({ 0, 0, 20000 }, false);
  fixture.Open().Set({ 0, 0, 16 * kMegabyte }, false);
  cr_expect_eq(fixture.Over(), 3U);
  fixture.shares.back()->Set({ 0, 16 * kMegabyte, 0 }, true);
  cr_expect_eq(fixture.Over(), 2U);
  fixture.shares[1]->Set({}, false);
  cr_expect_eq(fixture.Over(), 0U);
}

// A connection with unread bytes is not idle; the next one makes room instead.
Test(callermemory, a_connection_with_unread_bytes_does_not_make_room)
{
  MemoryFixture fixture({});
  fixture.Open();
  cr_expect_eq(fixture.Idle(1), 0U);
  fixture.clock.Advance(1000);
  cr_expect_eq(fixture.Idle(), 1U);
  cr_expect_eq(fixture.Idle(1), 0U);
  fixture.Open();
  fixture.clock.Advance(1000);
  cr_expect_eq(fixture.Idle(), 1U);
  cr_expect_eq(fixture.Idle(1), 2U);
}

// Requests of callers that have disconnected must count, for their address as
// well, until they end.
Test(callermemory, abandoned_requests_count_until_they_end)
{
  CallerMemoryLimits limits = Total(16 * kMegabyte);
  limits.addressBytes = 6 * kMegabyte;
  MemoryFixture fixture(limits);
  for (std::uint64_t request = 1; request <= 2; ++request) {
    auto& left = fixture.Open("127.0.0.1");
    left.Set({ 0, 2 * kMegabyte, 0 }, true);
    fixture.memory.Abandon(request, 2 * kMegabyte, "127.0.0.1");
    left.Set({}, false);
    fixture.shares.clear();
  }
  cr_expect_eq(fixture.memory.Counts().held.requests, 4 * kMegabyte);
  cr_expect_not(fixture.memory.MayPassOn(2 * kMegabyte));
  auto& same = fixture.Open("127.0.0.1");
  same.Set({ 3 * kMegabyte, 0, 0 }, false);
  cr_expect_eq(fixture.Over(), 1U, "its address is above the limit");
  fixture.memory.Release(1);
  fixture.memory.Release(1);
  fixture.memory.Release(77);
  cr_expect_eq(fixture.memory.Counts().held.requests, 2 * kMegabyte);
  cr_expect_eq(fixture.Over(), 0U);
  fixture.shares.clear();
  fixture.memory.Release(2);
  cr_expect_eq(fixture.memory.Counts().held.Sum(), 0U);
  auto& next = fixture.Open("127.0.0.1");
  next.Set({ 6 * kMegabyte, 0, 0 }, false);
  cr_expect_eq(fixture.Over(), 0U);
}
