#include "distribution/peerquestions.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// Answers arrive late, twice or not at all. The age of each must count from its
// own question, so that old evidence is never taken for younger evidence.
Test(peerquestions, each_answer_has_the_time_of_its_own_question)
{
  ManualClock clock(1000);
  PeerQuestions questions(clock.View());
  const auto first = questions.Ask("a");
  clock.Advance(500);
  const auto second = questions.Ask("a");
  clock.Advance(500);
  const auto other = questions.Ask("b");
  cr_expect_eq(questions.TakeAskedAt("a", second).value(), 1500);
  cr_expect_eq(questions.TakeAskedAt("a", first).value(), 1000);
  cr_expect_not(questions.TakeAskedAt("a", first).has_value(), "a copy");
  cr_expect_not(questions.TakeAskedAt("a", other).has_value(), "not asked");
  cr_expect_eq(questions.TakeAskedAt("b", other).value(), 2000);
}

// Without a number, nothing shows which question was answered. Only the time of
// the first one is safe. An answer without any question has no time at all.
Test(peerquestions, an_answer_without_a_number_counts_from_the_first_question)
{
  ManualClock clock(1000);
  PeerQuestions questions(clock.View());
  cr_expect_not(questions.TakeAskedAt("a", std::nullopt).has_value());
  questions.Ask("a");
  cr_expect_eq(questions.TakeAskedAt("a", std::nullopt).value(), 1000);
  cr_expect_not(questions.TakeAskedAt("a", std::nullopt).has_value());
  clock.Advance(60000);
  questions.Ask("a");
  cr_expect_eq(questions.TakeAskedAt("a", std::nullopt).value(), 1000);
}

// A peer that never answers must not use memory without bound, and a late
// answer to a question that is forgotten must not count as one to another.
Test(peerquestions, old_questions_are_forgotten)
{
  constexpr int kMany = 1000;
  ManualClock clock(1000);
  PeerQuestions questions(clock.View());
  const auto first = questions.Ask("a");
  for (int count = 1; count < kMany; ++count) {
    clock.Advance(500);
    questions.Ask("a");
  }
  cr_expect_not(questions.TakeAskedAt("a", first).has_value());
  int open = 0;
  while (questions.TakeAskedAt("a", std::nullopt)) {
    ++open;
  }
  cr_expect_leq(open, 10, "%d", open);
}
