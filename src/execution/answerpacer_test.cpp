// Large answers on the slow link of a host, without a network.

#include "execution/answerpacer.h"

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
constexpr double kRate = kPacedShare * kLinkBytesPerMilli;
constexpr Millis kTarget = 2000;
constexpr Millis kDeadline = 6000;
constexpr Millis kServiceTime = 200;
constexpr Millis kSmallInterval = 10;
constexpr double kSmallShare = 0.04; // Of the link.
constexpr int kLargestBytes = 170000;
constexpr int kSmallestBytes = 10000;
constexpr double kMeanBytes = (kLargestBytes + kSmallestBytes) / 2.0;
constexpr Millis kEnd = 60000;
const std::string kEntry = "extracts";

/** The link of a host sends what it gets in order of arrival. */
struct Link
{
  double Send(double aNow, double aBytes)
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
  double longestSmall = 0; // Milliseconds that a small answer needed.
};

/** Plays a minute of downloads at aLoad times what the link can send. */
Outcomes
Play(double aLoad, bool aIsPaced, double aBytesPerMilli = kLinkBytesPerMilli)
{
  struct Download
  {
    Millis arrivedAt = 0;
    int bytes = 0;
  };
  constexpr std::uint64_t kParts = 1000000;
  const double smallBytes = kSmallShare * kSmallInterval * aBytesPerMilli;
  const double perMilli = aLoad * aBytesPerMilli / kMeanBytes;
  Random random = SeededRandom(7);
  Link link{ aBytesPerMilli };
  AnswerPacer pacer(kPacedShare * aBytesPerMilli);
  Outcomes outcomes;
  std::map<std::string, Download> downloads;
  std::multimap<Millis, std::string> finishing;
  const auto send = [&](const std::string& aId, double aNow) {
    const Download& download = downloads.at(aId);
    const double done = link.Send(aNow, download.bytes);
    const bool isInTime =
      done <= static_cast<double>(download.arrivedAt + kTarget);
    ++(isInTime ? outcomes.inTime : outcomes.late);
  };
  for (Millis now = 0; now < kEnd; ++now) {
    const auto time = static_cast<double>(now);
    if (static_cast<double>(RandomBelow(random, kParts)) < perMilli * kParts) {
      const std::string id = fmt::format("d{}", now);
      if (aIsPaced &&
          pacer.LatenessOf(kEntry, now + kTarget, now + kDeadline, time)) {
        ++outcomes.refused;
      } else {
        const auto range =
          static_cast<std::size_t>(kLargestBytes - kSmallestBytes);
        const int bytes =
          kSmallestBytes + static_cast<int>(RandomBelow(random, range));
        downloads[id] = { now, bytes };
        finishing.emplace(now + kServiceTime, id);
        pacer.Reserve(id, kEntry);
      }
    }
    while (!finishing.empty() && finishing.begin()->first <= now) {
      const std::string id = finishing.begin()->second;
      finishing.erase(finishing.begin());
      if (aIsPaced) {
        pacer.Queue(
          id, kEntry, static_cast<std::size_t>(downloads.at(id).bytes));
      } else {
        send(id, time);
      }
    }
    while (const auto id = aIsPaced ? pacer.TakeNext(time) : std::nullopt) {
      send(*id, time);
    }
    if (now % kSmallInterval == 0) {
      outcomes.longestSmall =
        std::max(outcomes.longestSmall, link.Send(time, smallBytes) - time);
    }
  }
  return outcomes;
}

} // namespace

// Downloads that exceed the link must not be late together: those that the link
// can send in time are sent, the others are refused.
Test(answerpacer, downloads_beyond_the_link_are_refused)
{
  const Outcomes sentAtOnce = Play(1.5, false);
  const Outcomes paced = Play(1.5, true);
  cr_expect_lt(sentAtOnce.inTime, paced.inTime / 5);
  cr_expect_lt(paced.late, paced.inTime / 100, "%d", paced.late);
  const double asked = paced.inTime + paced.late + paced.refused;
  const double served = paced.inTime / asked;
  const double possible = kRate / kLinkBytesPerMilli / 1.5;
  cr_expect_gt(served, 0.95 * possible, "%f of %f", served, possible);
}

// Small answers share the link. They must wait for no more than one or two
// large answers.
Test(answerpacer, small_answers_pass_while_downloads_exceed_the_link)
{
  const double largest = kLargestBytes / kLinkBytesPerMilli;
  const Outcomes sentAtOnce = Play(1.5, false);
  const Outcomes paced = Play(1.5, true);
  cr_expect_gt(sentAtOnce.longestSmall, 10 * largest);
  cr_expect_lt(paced.longestSmall, 2 * largest, "%f", paced.longestSmall);
}

// Hosts have links of other rates. What the link can send in time must be sent
// on each of them.
Test(answerpacer, links_of_other_rates_are_used)
{
  constexpr double kSlow = 250;   // 2 Mbit/s
  constexpr double kFast = 25000; // 200 Mbit/s
  for (const double rate : { kSlow, kFast }) {
    const Outcomes paced = Play(1.5, true, rate);
    const double possible = kPacedShare * rate * kEnd / kMeanBytes;
    cr_expect_gt(paced.inTime, 0.9 * possible, "%d at %f", paced.inTime, rate);
  }
}

// A caller that returns after the time that its refusal gave must find room, if
// nobody else came.
Test(answerpacer, a_refused_call_fits_after_its_lateness)
{
  AnswerPacer pacer(kRate);
  pacer.Queue("known", kEntry, 100000);
  pacer.TakeNext(0);
  constexpr int kBacklog = 20;
  for (int call = 0; call < kBacklog; ++call) {
    pacer.Queue(fmt::format("c{}", call), kEntry, 100000);
  }
  const auto lateness = pacer.LatenessOf(kEntry, kTarget, kDeadline, 0);
  cr_assert(lateness.has_value());
  for (Millis now = 0; now <= *lateness; now += 10) {
    while (pacer.TakeNext(static_cast<double>(now))) {
    }
  }
  cr_expect(pacer.LatenessOf(kEntry,
                             *lateness + kTarget,
                             *lateness + kDeadline,
                             static_cast<double>(*lateness)) == std::nullopt);
}

// An answer that the link cannot send in time even when it is idle is not
// earlier at another server. Refusing it would refuse its entry for good.
Test(answerpacer, an_idle_link_accepts_every_call)
{
  AnswerPacer pacer(kRate);
  pacer.Queue("huge", kEntry, 20000000);
  pacer.TakeNext(0);
  constexpr double kIdle = 60000;
  constexpr Millis kNow = 60000;
  cr_expect(pacer.LatenessOf(kEntry, kNow + kTarget, kNow + kDeadline, kIdle) ==
            std::nullopt);
}

// Pacing must not refuse or delay downloads that the link can send.
Test(answerpacer, downloads_within_the_link_are_in_time)
{
  const Outcomes paced = Play(0.7, true);
  cr_expect_eq(paced.refused, 0, "%d", paced.refused);
  cr_expect_eq(paced.late, 0, "%d", paced.late);
}

// A call that cannot meet its target any more still gets an answer before its
// deadline.
Test(answerpacer, calls_past_their_target_are_measured_against_the_deadline)
{
  AnswerPacer pacer(kRate);
  pacer.Queue("first", kEntry, 100000);
  cr_expect(pacer.LatenessOf(kEntry, 50, kDeadline, 0) == std::nullopt);
  cr_expect(pacer.LatenessOf(kEntry, 200, kDeadline, 0) == 29);
  cr_expect(pacer.LatenessOf(kEntry, 50, 150, 0) == 69);
}

// Calls that were cancelled or refused must not count as load of the link.
Test(answerpacer, removed_calls_take_no_room)
{
  AnswerPacer pacer(kRate);
  pacer.Queue("sent", kEntry, 100000);
  pacer.TakeNext(0);
  constexpr double kLater = 1000;
  constexpr Millis kTargetAt = 1150;
  for (const char* id : { "a", "b" }) {
    pacer.Reserve(id, kEntry);
  }
  cr_expect(pacer.LatenessOf(kEntry, kTargetAt, kDeadline, kLater).has_value());
  pacer.Remove("a");
  pacer.Remove("b");
  cr_expect(pacer.LatenessOf(kEntry, kTargetAt, kDeadline, kLater) ==
            std::nullopt);
  pacer.Queue("c", kEntry, 100000);
  pacer.Remove("c");
  cr_expect_eq(pacer.WaitingBytes(), 0U);
  cr_expect(pacer.TakeNext(kLater) == std::nullopt);
}
