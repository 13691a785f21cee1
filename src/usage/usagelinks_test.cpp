#include "usage/usagelinks.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr Millis kStart = 100000;

} // namespace

// A request without the stamp of the accountant's process lends nothing, so the
// next one must not wait for the interval of idle requests.
Test(usagelinks, ARequestIsDueAtOnceAfterTheStampOfANewProcess)
{
  UsageLinks links("a", 1, MakeUsageTimes({}));
  const auto exchange = [&links](std::int64_t aIncarnation) {
    wire::UsageRequest request;
    links.Prepare("x", request, kStart);
    cr_assert_not(links.IsDue("x", kStart));
    wire::UsageGrant grant;
    grant.host = "x";
    grant.incarnation = aIncarnation;
    grant.sequence = request.sequence;
    grant.stamp = 1000;
    cr_assert(links.Accept(grant, kStart).has_value());
  };
  exchange(7);
  cr_assert(links.IsDue("x", kStart));
  exchange(7);
  cr_assert_not(links.IsDue("x", kStart));
  exchange(8);
  cr_assert(links.IsDue("x", kStart));
}

// Replies of a process whose incarnation is lower must be echoed, or nothing is
// lent to it.
Test(usagelinks, AnAccountantMayRestartWithALowerIncarnation)
{
  UsageLinks links("a", 1, MakeUsageTimes({}));
  wire::UsageRequest request;
  for (const std::int64_t incarnation : { 8, 7 }) {
    links.Prepare("x", request, kStart);
    wire::UsageGrant grant;
    grant.host = "x";
    grant.incarnation = incarnation;
    grant.sequence = request.sequence;
    grant.stamp = 1000 * incarnation;
    links.Accept(grant, kStart);
  }
  links.Prepare("x", request, kStart);
  cr_assert_eq(request.echoIncarnation, 7);
  cr_assert_eq(request.echo, 7000);
}
