#include "common/ring.h"

#include <criterion/criterion.h>

#include <thread>

using lacewingwharf::Ring;

// When a producer is faster than its consumer, items that do not fit must be
// rejected and counted instead of being lost silently.
Test(ring, FullRingRejectsTheNewestAndCountsIt)
{
  Ring<int> ring(2);
  cr_assert(ring.Push(1));
  cr_assert(ring.Push(2));
  cr_assert_not(ring.Push(3));
  cr_assert_eq(ring.Overflows(), 1U);
  cr_assert_eq(*ring.TryPop(), 1);
  cr_assert_eq(*ring.TryPop(), 2);
  cr_assert_not(ring.TryPop().has_value());
}

// Without a wake-up by Close(), a waiting consumer delays the shutdown until
// its timeout.
Test(ring, CloseWakesAWaitingConsumer)
{
  Ring<int> ring(1);
  std::jthread closer([&ring] { ring.Close(); });
  cr_assert_not(ring.Pop(60000).has_value());
  cr_assert(ring.IsClosed());
}
