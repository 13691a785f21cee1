// Large requests on the slow link of a host, without a network.

#include "execution/requestpacer.h"

#include "common/random.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr double kLinkBytesPerMilli = 1250; // 10 Mbit/s
constexpr double kPacedShare = 0.85;        // Of the link.
constexpr Millis kTarget = 1200;
constexpr Millis kDeadline = 5000;
constexpr Millis kServiceTime = 260;
constexpr Millis kRoundTrip = 2;
constexpr Millis kTick = 10;
constexpr Millis kSmallInterval = 10;
constexpr double kSmallShare = 0.04; // Of the link.
constexpr int kLargestBytes = 110000;
constexpr int kSmallestBytes = 16384;
constexpr double kMeanBytes = (kLargestBytes + kSmallestBytes) / 2.0;
constexpr Millis kEnd = 60000;

/** The link of a host delivers what it gets in order of arrival. */
struct Link
{
  double Deliver(double aNow, double aBytes)
  {
    this->freeAt = std::max(this->freeAt, aNow) + aBytes / this->bytesPerMilli;
    return this->freeAt;
  }

  double bytesPerMilli;
  double freeAt = 0;
};

struct Outcomes
{
  int inTime = 0;
  int late = 0;
  int refused = 0;
  double longestSmall = 0; // Milliseconds that a small request needed.
};

/** Plays a minute of uploads at aLoad times what the link can deliver. */
Outcomes
Play(double aLoad, bool aIsPaced, double aBytesPerMilli = kLinkBytesPerMilli)
{
  constexpr std::uint64_t kParts = 1000000;
  const double smallBytes = kSmallShare * kSmallInterval * aBytesPerMilli;
  const double perMilli = aLoad * aBytesPerMilli / kMeanBytes;
  Random random = SeededRandom(7);
  Link link{ aBytesPerMilli };
  RequestPacer pacer(kPacedShare * aBytesPerMilli);
  Outcomes outcomes;
  std::map<std::string, Millis> sentAt;
  std::map<std::string, std::size_t> received;
  std::map<std::string, std::size_t> sizes;
  const auto finish = [&](const std::string& aId, double aArrival) {
    const double answered = aArrival + kServiceTime;
    const bool isInTime =
      answered <= static_cast<double>(sentAt.at(aId) + kTarget);
    ++(isInTime ? outcomes.inTime : outcomes.late);
  };
  for (Millis now = 0; now < kEnd; ++now) {
    const auto time = static_cast<double>(now);
    if (static_cast<double>(RandomBelow(random, kParts)) < perMilli * kParts) {
      const std::string id = fmt::format("u{}", now);
      const auto range =
        static_cast<std::size_t>(kLargestBytes - kSmallestBytes);
      const std::size_t bytes = kSmallestBytes + RandomBelow(random, range);
      sentAt[id] = now;
      if (!aIsPaced) {
        finish(id, link.Deliver(time, static_cast<double>(bytes)));
      } else if (pacer.LatenessOf(
                   bytes, now + kTarget, now + kDeadline, time)) {
        ++outcomes.refused;
      } else {
        pacer.Add(id, bytes);
        sizes[id] = bytes;
      }
    }
    while (const auto grant =
             now % kTick == 0 ? pacer.TakeNext(time) : std::nullopt) {
      const std::size_t part = grant->grantedBytes - received[grant->callId];
      received[grant->callId] = grant->grantedBytes;
      pacer.RecordReceived(grant->callId, grant->grantedBytes);
      const double arrival =
        link.Deliver(time + kRoundTrip, static_cast<double>(part));
      if (grant->grantedBytes == sizes.at(grant->callId)) {
        finish(grant->callId, arrival);
      }
    }
    if (now % kSmallInterval == 0) {
      outcomes.longestSmall =
        std::max(outcomes.longestSmall, link.Deliver(time, smallBytes) - time);
    }
  }
  return outcomes;
}

} // namespace

// Uploads that exceed the link must not be late together: those that the link
// can deliver in time are sent, the others are refused.
Test(requestpacer, uploads_beyond_the_link_are_refused)
{
  const Outcomes sentAtOnce = Play(1.5, false);
  const Outcomes paced = Play(1.5, true);
  cr_expect_lt(sentAtOnce.inTime, paced.inTime / 5);
  cr_expect_lt(paced.late, paced.inTime / 100, "%d", paced.late);
  const double asked = paced.inTime + paced.late + paced.refused;
  const double served = paced.inTime / asked;
  const double possible = kPacedShare / 1.5;
  cr_expect_gt(served, 0.95 * possible, "%f of %f", served, possible);
}

// Small requests share the link. A caller that gives a server 250 ms must not
// lose them to the transfer.
Test(requestpacer, small_requests_pass_while_uploads_exceed_the_link)
{
  constexpr double kLongest = 60;
  const Outcomes sentAtOnce = Play(1.5, false);
  const Outcomes paced = Play(1.5, true);
  cr_expect_gt(sentAtOnce.longestSmall, 10 * kLongest);
  cr_expect_lt(paced.longestSmall, kLongest, "%f", paced.longestSmall);
}

// Hosts have links of other rates. What the link can deliver in time must be
// sent on each of them.
Test(requestpacer, links_of_other_rates_are_used)
{
  constexpr double kSlow = 625;   // 5 Mbit/s
  constexpr double kFast = 25000; // 200 Mbit/s
  for (const double rate : { kSlow, kFast }) {
    const Outcomes paced = Play(1.5, true, rate);
    const double possible = kPacedShare * rate * kEnd / kMeanBytes;
    cr_expect_gt(paced.inTime, 0.9 * possible, "%d at %f", paced.inTime, rate);
  }
}

// Pacing must not refuse or delay uploads that the link can deliver.
Test(requestpacer, uploads_within_the_link_are_in_time)
{
  const Outcomes paced = Play(0.5, true);
  cr_expect_lt(paced.refused, paced.inTime / 100, "%d", paced.refused);
  cr_expect_eq(paced.late, 0, "%d", paced.late);
}

// A body that the link cannot deliver in time even when it is idle does not
// arrive earlier at another host. Refusing it would refuse its route for good.
Test(requestpacer, an_idle_link_accepts_every_call)
{
  RequestPacer pacer(kPacedShare * kLinkBytesPerMilli);
  cr_expect(pacer.LatenessOf(20000000, kTarget, kDeadline, 0) == std::nullopt);
}

// A caller that returns after the time that its refusal gave must find room, if
// nobody else came.
Test(requestpacer, a_refused_call_fits_after_its_lateness)
{
  constexpr std::size_t kBytes = 100000;
  RequestPacer pacer(kPacedShare * kLinkBytesPerMilli);
  constexpr int kBacklog = 20;
  for (int call = 0; call < kBacklog; ++call) {
    pacer.Add(fmt::format("c{}", call), kBytes);
  }
  const auto lateness = pacer.LatenessOf(kBytes, kTarget, kDeadline, 0);
  cr_assert(lateness.has_value());
  for (Millis now = 0; now <= *lateness; now += kTick) {
    while (const auto grant = pacer.TakeNext(static_cast<double>(now))) {
      pacer.RecordReceived(grant->callId, grant->grantedBytes);
    }
  }
  cr_expect(pacer.LatenessOf(kBytes,
                             *lateness + kTarget,
                             *lateness + kDeadline,
                             static_cast<double>(*lateness)) == std::nullopt);
}

// Calls that were cancelled must not count as load of the link.
Test(requestpacer, removed_calls_take_no_room)
{
  RequestPacer pacer(kPacedShare * kLinkBytesPerMilli);
  pacer.Add("a", 100000);
  pacer.Add("b", 100000);
  cr_assert(pacer.TakeNext(0).has_value());
  pacer.Remove("a");
  pacer.Remove("b");
  pacer.Remove("unknown");
  cr_expect_eq(pacer.WaitingBytes(), 0U);
  cr_expect(pacer.TakeNext(1000) == std::nullopt);
}

// Where the rate of the link is not known, a body must be granted at once.
Test(requestpacer, without_a_rate_bodies_are_granted_whole)
{
  RequestPacer pacer(0);
  pacer.Add("a", 100000);
  pacer.Add("b", 200000);
  cr_expect(pacer.LatenessOf(100000, 1, 1, 0) == std::nullopt);
  const auto first = pacer.TakeNext(0);
  const auto second = pacer.TakeNext(0);
  cr_assert(first && second);
  cr_expect_eq(first->grantedBytes, 100000U);
  cr_expect_eq(second->grantedBytes, 200000U);
}

// A sender that does not send what it was granted must not fill the link later
// with everything at once, and must not hold up others.
Test(requestpacer, a_paused_sender_has_few_parts_on_the_way)
{
  constexpr std::size_t kBytes = 1000000;
  RequestPacer pacer(kPacedShare * kLinkBytesPerMilli);
  pacer.Add("paused", kBytes);
  pacer.Add("other", kBytes);
  std::map<std::string, std::size_t> granted;
  for (Millis now = 0; now < kTarget; now += kTick) {
    while (const auto grant = pacer.TakeNext(static_cast<double>(now))) {
      granted[grant->callId] = grant->grantedBytes;
      if (grant->callId == "other") {
        pacer.RecordReceived(grant->callId, grant->grantedBytes);
      }
    }
  }
  cr_expect_lt(granted["paused"], 70000U);
  cr_expect_gt(granted["other"], 900000U);
}

// A body that takes most of the time until its deadline must be accepted beside
// a short backlog, or a link in steady use would never accept it.
Test(requestpacer, a_body_that_takes_long_is_accepted_beside_a_short_backlog)
{
  constexpr std::size_t kBytes = 4000000; // 3,765 ms.
  RequestPacer pacer(kPacedShare * kLinkBytesPerMilli);
  pacer.Add("short", 100000);
  cr_expect(pacer.LatenessOf(kBytes, kTarget, kDeadline, 0) == std::nullopt);
  pacer.Add("long", 2000000);
  cr_expect(pacer.LatenessOf(kBytes, kTarget, kDeadline, 0).has_value());
}

// One sender with a slow link must not keep others from an idle destination.
Test(requestpacer, a_slow_sender_does_not_fill_its_destination)
{
  constexpr double kRate = 1000;
  constexpr std::size_t kBytes = 100000;
  RequestPacer pacer(kRate);
  pacer.Add("slow", 6 * kBytes);
  cr_expect(pacer.LatenessOf(kBytes, kTarget / 2, kDeadline, 0));
  double now = 0;
  while (now < 200) { // Nothing of the granted parts arrives.
    pacer.TakeNext(now);
    now += kTick;
  }
  cr_expect_not(pacer.LatenessOf(
    kBytes, static_cast<Millis>(now) + kTarget / 2, kDeadline, now));
}
