#include "daemon/callerlimits.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// Limits of the catalogue that are not applied let a daemon refuse proper
// requests, or close connections that callers may still use.
Test(callerlimits, the_catalogue_replaces_the_limits_of_the_daemon)
{
  ConnectionLimits own;
  own.request = { 16384, 4096 };
  own.idleTimeout = 90000;
  own.stallTimeout = 90000;
  cr_expect(CallerLimits(own, {}) == own);
  const ConnectionLimits limits =
    CallerLimits(own, { 65536, 1024, 3000, 120000 });
  cr_expect_eq(limits.request.headBytes, 65536U);
  cr_expect_eq(limits.request.bodyBytes, 1024U);
  cr_expect_eq(limits.headTimeout, 3000);
  cr_expect_eq(limits.idleTimeout, 120000);
  cr_expect_eq(limits.stallTimeout, 90000);
}

// A catalogue must not make a daemon hold larger bodies than its host can.
Test(callerlimits, bodies_are_bounded_by_the_settings)
{
  ConnectionLimits own;
  own.request.bodyBytes = 4096;
  cr_expect_eq(CallerLimits(own, { 0, 1 << 20, 0, 0 }).request.bodyBytes,
               4096U);
}
