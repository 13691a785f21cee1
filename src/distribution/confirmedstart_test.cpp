// How a process that starts learns from its peers that its version is the
// newest one. Load: all daemons of a region start at once, and the document
// has to cross a narrow link to it.

#include "common/log.h"
#include "distribution/distributor.h"
#include "distribution/fetchserver.h"
#include "distribution/testcatalogue.h"
#include "distribution/wireconversion.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kTick = 10;
constexpr Millis kStartWait = 2000;
constexpr Millis kRolloutTime = 3000;
constexpr std::int64_t kNewest = 5;

/**
 * A daemon that starts. Its reads of the store are counted, and not answered
 * unless the store is down.
 */
struct Starting
{
  explicit Starting(const std::string& aRegion = "east",
                    bool aHasDocuments = true)
    : distributor(Config(aRegion),
                  this->clock.View(),
                  SeededRandom(11),
                  this->Hooks(aHasDocuments))
  {
    Log::SetLevel(LogLevel::Error);
  }

  static DistributorConfig Config(const std::string& aRegion)
  {
    DistributorConfig config;
    config.host = "h0";
    config.group = aRegion;
    config.region = aRegion;
    config.platformRegion = "east";
    config.startWait = kStartWait;
    config.rolloutTime = kRolloutTime;
    return config;
  }

  DistributorHooks Hooks(bool aHasDocuments)
  {
    DistributorHooks hooks;
    hooks.send = [this](const std::string& aHost, const wire::Envelope& aSent) {
      if (aSent.__isset.configFetch &&
          aSent.configFetch.held == kVersionQuery) {
        this->queried.push_back(aHost);
        this->questions[aHost].emplace_back(this->clock.View().Now(),
                                            aSent.configFetch.question);
      }
    };
    hooks.reply = [this](SessionId, const wire::Envelope& aReply) {
      this->reply = aReply.configAnswer;
    };
    hooks.groupMembers = [this] { return this->members; };
    hooks.hasReadMembers = [this] { return this->hasReadMembers; };
    hooks.acceptorCandidates = [] { return std::vector<std::string>(); };
    hooks.submit = [this](const PlatformJob& aJob) {
      ++this->reads;
      if (this->isStoreDown) {
        aJob({})();
      }
      return true;
    };
    hooks.onSnapshotChange = [](const SnapshotPtr&) {};
    if (aHasDocuments) {
      hooks.readDocument = [](const ObjectStore&)
        -> PlatformResult<std::optional<CatalogueDocument>> {
        return PlatformError{ PlatformErrorCode::Unreachable, "" };
      };
    }
    return hooks;
  }

  void Run(Millis aTime)
  {
    for (Millis done = 0; done < aTime; done += kTick) {
      this->distributor.Tick();
      this->clock.Advance(kTick);
    }
    this->distributor.Tick();
  }

  /**
   * A peer answers with the newest version. One of an earlier build does not
   * repeat the number of the question.
   */
  void Answer(const std::string& aHost,
              std::optional<Millis> aConfirmed,
              std::optional<std::int64_t> aQuestion = std::nullopt)
  {
    const auto delta = DeltaToEntries(
      *Snapshot::Empty(), { kNewest, 0, 0 }, { { "s", 1, ServiceText("o") } });
    wire::ConfigAnswer answer;
    answer.held = kNewest;
    answer.bodies.push_back(ToWire(delta.value()));
    if (aConfirmed) {
      answer.__set_confirmedMillis(*aConfirmed);
    }
    if (aQuestion) {
      answer.__set_question(*aQuestion);
    }
    this->distributor.HandleAnswer(aHost, answer);
    this->distributor.Tick();
  }

  ManualClock clock{ 100000 };
  std::vector<std::string> queried;
  std::set<std::string> queriedBefore;

  /** Times and numbers of the questions for the version, by host. */
  std::map<std::string, std::vector<std::pair<Millis, std::int64_t>>> questions;
  wire::ConfigAnswer reply;
  std::vector<std::string> members{ "h0", "h1", "h2", "h3", "h4",
                                    "h5", "h6", "h7", "h8", "h9" };
  bool hasReadMembers = true;
  bool isStoreDown = false;
  int reads = 0;
  Distributor distributor;
};

} // namespace

// While the read of the store takes long, a daemon refused all requests, also
// when a peer knew that the version it had given was the newest.
Test(confirmedstart, a_version_that_a_peer_confirms_is_served_at_once)
{
  Starting starting;
  starting.Run(50);
  cr_assert_not(starting.distributor.IsReady());
  starting.Answer(starting.queried.front(), 200);
  cr_expect(starting.distributor.IsReady());
  starting.Run(kStartWait);
  cr_expect_eq(starting.reads, 0, "the store was read without need");
}

// A version that may be outdated must not be served before the store was read.
Test(confirmedstart, a_version_that_may_be_old_waits_for_the_store)
{
  for (const auto confirmed :
       { std::optional<Millis>(), std::optional<Millis>(kRolloutTime) }) {
    Starting starting;
    starting.Run(50);
    starting.Answer(starting.queried.front(), confirmed);
    cr_expect_not(starting.distributor.IsReady());
    starting.Run(kStartWait / 2);
    cr_expect_not(starting.distributor.IsReady());
    cr_expect_eq(starting.reads, 1);
  }
}

// An answer that was on its way for long says nothing about the present.
Test(confirmedstart, an_answer_counts_from_its_question)
{
  Starting starting;
  starting.Run(50);
  const std::string peer = starting.queried.front();
  constexpr Millis kLongWay = kRolloutTime / 2;
  starting.clock.Advance(static_cast<double>(kLongWay));
  starting.Answer(peer, 100);
  cr_expect_not(starting.distributor.IsReady());
}

// A peer that is slow, or a link that delivers late, may answer a question when
// the next one was asked already. Evidence that is dated from the later
// question is younger than it is, and a daemon then serves an outdated version.
Test(confirmedstart, an_answer_counts_from_its_own_question_and_no_later_one)
{
  for (const bool hasNumbers : { true, false }) {
    Starting starting;
    starting.Run(50);
    const std::string peer = starting.queried.front();
    const auto& questions = starting.questions[peer];
    const auto number = [&](std::size_t aIndex) {
      return hasNumbers ? std::optional(questions[aIndex].second)
                        : std::nullopt;
    };
    // It is asked twice before it answers, and again after its first answer,
    // which is no evidence.
    starting.Run(600);
    cr_assert_eq(questions.size(), 2);
    starting.Answer(peer, std::nullopt, number(0));
    starting.Run(600);
    cr_assert_geq(questions.size(), 3);
    // This is the answer to the second question.
    starting.Answer(peer, 100, number(1));
    const auto confirmedAt = starting.distributor.ConfirmedAt();
    cr_assert(confirmedAt.has_value());
    cr_expect_eq(*confirmedAt,
                 questions[hasNumbers ? 1 : 0].first - 100,
                 "%ld, asked at %ld",
                 static_cast<long>(*confirmedAt),
                 static_cast<long>(questions[1].first));
  }
}

// An answer that repeats a number which is not open has no known age.
Test(confirmedstart, an_answer_to_an_unknown_question_is_no_confirmation)
{
  Starting starting;
  starting.Run(50);
  const std::string peer = starting.queried.front();
  const std::int64_t number = starting.questions[peer].front().second;
  starting.Answer(peer, 100, number + 100);
  cr_expect_not(starting.distributor.ConfirmedAt().has_value());
  cr_assert_gt(starting.queried.size(), 1U);
  starting.Answer(starting.queried[1], 100, number);
  cr_expect_not(starting.distributor.ConfirmedAt().has_value(), "other peer");
  starting.Answer(peer, 100, number);
  cr_expect(starting.distributor.ConfirmedAt().has_value());
}

// A daemon can only date an answer if the number of its question comes back.
// Daemons of earlier builds send no number and get none.
Test(confirmedstart, an_answer_repeats_the_number_of_the_question)
{
  Starting starting;
  wire::ConfigFetch fetch;
  starting.distributor.HandleFetch(1, "h1", fetch);
  cr_expect_not(starting.reply.__isset.question);
  fetch.__set_question(42);
  starting.distributor.HandleFetch(1, "h1", fetch);
  cr_expect(starting.reply.__isset.question);
  cr_expect_eq(starting.reply.question, 42);
}

// An answer that was not asked for has no known age.
Test(confirmedstart, an_answer_without_a_question_is_no_confirmation)
{
  Starting starting;
  starting.Run(50);
  const std::string peer = starting.queried.front();
  starting.Answer(peer, std::nullopt);
  starting.Answer(peer, 100);
  cr_expect_not(starting.distributor.IsReady());
}

// A confirmation of an older version does not count once a newer one is known.
Test(confirmedstart, a_newer_version_ends_the_confirmation)
{
  Starting starting;
  starting.Run(50);
  starting.distributor.HandlePeerVersion("h9", kNewest + 1);
  starting.Answer(starting.queried.front(), 100);
  cr_expect_not(starting.distributor.IsReady());
}

// Where the fleet accepts versions itself, peers may all be behind the store.
Test(confirmedstart, a_fleet_with_an_acceptor_asks_the_store)
{
  Starting starting("east", false);
  starting.Run(50);
  const auto asked = starting.queried;
  for (const std::string& peer : asked) {
    starting.Answer(peer, 100);
  }
  starting.Run(kStartWait / 2);
  cr_expect_not(starting.distributor.IsReady());
}

// If all daemons start at once, the first peers that are asked know nothing, so
// others have to be asked while the store is read.
Test(confirmedstart, other_peers_are_asked_while_none_knows_the_version)
{
  Starting starting;
  for (Millis done = 0; done < 1000; done += 100) {
    starting.Run(100);
    for (const std::string& peer : std::exchange(starting.queried, {})) {
      wire::ConfigAnswer answer;
      starting.distributor.HandleAnswer(peer, answer);
      starting.queriedBefore.insert(peer);
    }
  }
  cr_expect_geq(starting.queriedBefore.size(), 8);
}

// In a region without the store, the reads of all hosts would share one link.
Test(confirmedstart, reads_in_a_region_without_the_store_are_spread)
{
  Starting near("east");
  near.Run(100);
  cr_expect_eq(near.reads, 1);
  Starting far("west");
  far.Run(100);
  cr_expect_eq(far.reads, 0);
  far.Run(kStartWait / 2);
  cr_expect_eq(far.reads, 1);
}

// A daemon that is alone in its region shares the link with nobody, so a delay
// before its read only makes it refuse calls for longer.
Test(confirmedstart, a_daemon_alone_in_its_region_reads_at_once)
{
  Starting alone("west");
  alone.members = { "h0" };
  alone.Run(100);
  cr_expect_eq(alone.reads, 1);
  Starting unlisted("west");
  unlisted.members.clear(); // Not even this daemon is known yet.
  unlisted.Run(100);
  cr_expect_eq(unlisted.reads, 1);
}

// As long as the member list was not read, a daemon in a region that restarts
// knows no other member. All of them would then read the store at once.
Test(confirmedstart, a_daemon_is_not_alone_before_it_has_read_the_members)
{
  Starting alone("west");
  alone.members = { "h0" };
  alone.hasReadMembers = false;
  alone.Run(100);
  cr_expect_eq(alone.reads, 0);
  alone.hasReadMembers = true;
  alone.Run(kTick);
  cr_expect_eq(alone.reads, 1);
}

// A daemon that is alone must not repeat a read that fails on each tick.
Test(confirmedstart, reads_that_fail_are_repeated_after_a_pause)
{
  Starting alone("west");
  alone.members = { "h0" };
  alone.isStoreDown = true;
  alone.Run(1000);
  cr_expect_geq(alone.reads, 2, "%d", alone.reads);
  cr_expect_leq(alone.reads, 4, "%d", alone.reads);
}

// A daemon answers with the age of what it knows itself.
Test(confirmedstart, an_answer_tells_the_age_of_the_confirmation)
{
  Starting starting;
  starting.Run(50);
  starting.distributor.HandleFetch(1, "h1", {});
  cr_expect_not(starting.reply.__isset.confirmedMillis);
  starting.Answer(starting.queried.front(), 200);
  starting.clock.Advance(300);
  starting.distributor.HandleFetch(1, "h1", {});
  cr_expect(starting.reply.__isset.confirmedMillis);
  cr_expect_geq(starting.reply.confirmedMillis, 500);
}
