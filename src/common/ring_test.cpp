#include "common/ring.h"

#include <criterion/criterion.h>

#include <thread>

using lacewingwharf::Ring;

// Guards against a producer that overruns a slow consumer without notice.
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

// Guards against a consumer that sleeps through the shutdown.
Test(ring, CloseWakesAWaitingConsumer)
{
  Ring<int> ring(1);
  std::jthread closer([&ring] { ring.Close(); });
  cr_assert_not(ring.Pop(60000).has_value());
  cr_assert(ring.IsClosed());
}
