#include "common/duration.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// A duration must not be read in another unit than the one it is written with.
Test(duration, reads_a_number_with_its_unit)
{
  cr_expect_eq(ParseDuration("1500ms"), 1500);
  cr_expect_eq(ParseDuration("2.5s"), 2500);
  cr_expect_eq(ParseDuration("0ms"), 0);
}

// Text without a number, without a known unit or out of range has no value.
Test(duration, rejects_texts_that_are_not_durations)
{
  for (const char* text :
       { "", "5", "ms", "-1s", "5 s", "5m", "nans", "1e99s" }) {
    cr_expect_not(ParseDuration(text).has_value(), "%s", text);
  }
}
