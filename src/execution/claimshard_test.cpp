#include "execution/claimshard.h"
#include "execution/claimwriter.h"

#include <criterion/criterion.h>

#include <optional>

using namespace lacewingwharf;

// A shard must stay below the platform's size limit, and expired claims must
// not be kept for ever.
Test(claimshard, FullShardRefusesUntilClaimsArePruned)
{
  ClaimShard shard({ 1000, 100, 2000 });
  wire::ClaimRequest request;
  request.holder = "call";
  int granted = 0;
  for (request.keyHash = 0; request.keyHash < 200; ++request.keyHash) {
    granted += shard.Apply(request, 10) == wire::ClaimResult::GRANTED ? 1 : 0;
  }
  cr_assert_gt(granted, 20);
  cr_assert_lt(granted, 200);
  cr_assert_leq(shard.Encode().size(), 2000U);
  const auto copy = ClaimShard::Parse(shard.Encode(), {});
  cr_assert_eq(copy->Size(), shard.Size());
  shard.Prune(1011);
  cr_assert_eq(shard.Size(), 0U);
  cr_assert_eq(shard.Apply(request, 1011), wire::ClaimResult::GRANTED);
}

// A request that the platform thread does not accept must not wait without
// limit.
Test(claimshard, WriterRefusesWhatItCannotSubmit)
{
  ManualClock clock(1000);
  ClaimWriterHooks hooks;
  hooks.submit = [](const PlatformJob&) { return false; };
  ClaimWriter writer({}, clock.View(), clock.View(), hooks);
  std::optional<wire::ClaimResult::type> result;
  writer.Handle({},
                [&result](const auto& aAnswer) { result = aAnswer.result; });
  writer.Tick();
  cr_assert_not(result.has_value());
  clock.Advance(3001);
  writer.Tick();
  cr_assert_eq(*result, wire::ClaimResult::UNAVAILABLE);
}
