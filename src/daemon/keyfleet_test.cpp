#include "testkit/fleet.h"
#include "testkit/httprequest.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

using namespace lacewingwharf;

namespace {

FleetConfig
OneDomain()
{
  FleetConfig config;
  config.domains = { { "east", "north", 2 } };
  config.settings = "[distribution]\nstartwait = 1000\n";
  return config;
}

} // namespace

// A caller may send a call again after not-run. The next daemon must not answer
// that the call may have run, which happens when the claim is released too
// late.
Test(keyfleet, a_key_is_released_when_its_call_was_not_run)
{
  constexpr int kKeys = 5;
  // Shorter than the delay of claim updates that are not urgent (200 ms).
  constexpr Millis kPause = 120;
  Fleet fleet(OneDomain());
  fleet.StartAll();
  cr_assert(fleet.Put(
    "work", R"({"kind":"service","owner":"team","class":"interactive"})"));
  cr_assert(fleet.Put(
    "work-route",
    R"({"kind":"route","owner":"team","class":"interactive","service":"work",
"match":{"path":"/jobs","methods":["POST"]},"limits":{"deadline_ms":4000}})"));
  const auto post = [&](std::size_t aHost, int aKey) {
    return SendTestRequest("POST",
                           fleet.CallUrl(aHost, "/jobs"),
                           "body",
                           { fmt::format("Idempotency-Key: key-{}", aKey) })
      .headers;
  };
  // Without a backend server, each call is refused after it has made its claim.
  const auto isNotRun = [](const std::string& aHeaders) {
    return aHeaders.find("Outcome: not-run") != std::string::npos;
  };
  const auto hasNoEndpoint = [](const std::string& aHeaders) {
    return aHeaders.find("Reason: no-endpoint") != std::string::npos;
  };
  cr_assert(WaitUntil([&] {
    return hasNoEndpoint(post(0, kKeys)) && hasNoEndpoint(post(1, kKeys + 1));
  }));
  cr_assert(WaitUntil([&] { return fleet.HaveConverged(fleet.AllHosts()); }));
  for (int key = 0; key < kKeys; ++key) {
    const std::string first = post(0, key);
    cr_expect(isNotRun(first), "%s", first.c_str());
    PauseFor(kPause);
    const std::string second = post(1, key);
    cr_expect(isNotRun(second), "%s", second.c_str());
  }
}
