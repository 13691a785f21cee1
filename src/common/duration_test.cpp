#include "common/duration.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// Guards against a time that is read with another unit than it was written in.
Test(duration, reads_a_number_with_its_unit)
{
  cr_expect_eq(ParseDuration("1500ms"), 1500);
  cr_expect_eq(ParseDuration("2.5s"), 2500);
  cr_expect_eq(ParseDuration("0ms"), 0);
}

// Guards against a bad text that is taken for a time.
Test(duration, refuses_what_is_no_time)
{
  for (const char* text :
       { "", "5", "ms", "-1s", "5 s", "5m", "nans", "1e99s" }) {
    cr_expect_not(ParseDuration(text).has_value(), "%s", text);
  }
}
