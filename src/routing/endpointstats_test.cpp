#include "routing/ejectionpolicy.h"
#include "routing/endpointstats.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

Observation
AttemptEnd(CallEnd aEnd, double aLatency)
{
  Observation observation;
  observation.end = aEnd;
  observation.latencyMillis = aLatency;
  return observation;
}

} // namespace

// An endpoint whose slow attempts are always given up has no slow answers. If
// its latency did not rise, it would get as many calls as the others.
Test(endpointstats, attempts_that_were_given_up_raise_the_latency)
{
  EndpointStats stats;
  stats.RecordAttemptEnd(AttemptEnd(CallEnd::Succeeded, 100), 0);
  for (const double expected : { 800.0, 1600.0, 3200.0, 6400.0, 6400.0 }) {
    stats.RecordAttemptEnd(AttemptEnd(CallEnd::Slow, 400), 0);
    cr_expect_float_eq(stats.Latency(0), expected, 1e-6);
  }
  // A lower bound never lowers it.
  stats.RecordAttemptEnd(AttemptEnd(CallEnd::Slow, 10), 0);
  cr_expect_float_eq(stats.Latency(0), 6400, 1e-6);
  // After an answer, the next one counts like the first one again.
  constexpr double kLater = 60000;
  stats.RecordAttemptEnd(AttemptEnd(CallEnd::Succeeded, 100), kLater);
  stats.RecordAttemptEnd(AttemptEnd(CallEnd::Slow, 400), kLater);
  cr_expect_float_eq(stats.Latency(kLater), 800, 1e-6);
}

// A slow answer is not an error, so it must not eject an endpoint.
Test(endpointstats, attempts_that_were_given_up_eject_nothing)
{
  EjectionPolicy ejection;
  for (int attempt = 0; attempt < 100; ++attempt) {
    ejection.RecordAttemptEnd(CallEnd::Slow, attempt);
  }
  cr_expect_not(ejection.IsEjectionActive(100));
}
