// Teams on the product's own interface, with daemons in separate processes.

#include "common/sha256.h"
#include "testkit/fleet.h"
#include "testkit/httprequest.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace lacewingwharf;

namespace {

constexpr Millis kRolloutTime = 12000;
const std::string kKey = "plain-key";

/** Two daemons without a server, whose catalogue has one team. */
struct TeamFleet : Fleet
{
  TeamFleet()
    : Fleet(Config())
  {
    this->StartAll();
    cr_assert(this->Put(
      "work", R"({"kind":"service","owner":"o","class":"interactive"})"));
    cr_assert(this->Put("work-route",
                        R"({"kind":"route","owner":"o","class":"interactive",)"
                        R"("service":"work","match":{"path":"/jobs"}})"));
    cr_assert(this->Put(
      "team.tills",
      fmt::format(R"({{"kind":"team","owner":"tills","keys":["{}"],"rate":5}})",
                  Sha256Hex(kKey))));
    cr_assert(WaitUntil([this] { return this->AreAll("unknown", 401); }));
  }

  /** Whether all daemons answer a call with this key with this status. */
  bool AreAll(const std::string& aKey, long aStatus)
  {
    return this->StatusAt(0, aKey) == aStatus &&
           this->StatusAt(1, aKey) == aStatus;
  }

  long StatusAt(std::size_t aHost, const std::string& aKey)
  {
    return SendTestRequest("GET",
                           this->CallUrl(aHost, "/jobs"),
                           {},
                           { "Authorization: Bearer " + aKey })
      .status;
  }

  static FleetConfig Config()
  {
    FleetConfig config;
    config.domains = { { "east", "north", 2 } };
    config.settings = "[distribution]\nstartwait = 1000\n";
    return config;
  }
};

} // namespace

// While the store answers, an unknown key must be refused for good at every
// moment, for longer than a watch of a catalogue without teams. While it is
// down, new keys may exist, and the known ones must stay valid.
Test(teamfleet, unknown_keys_are_refused_for_good_only_while_the_store_answers)
{
  constexpr int kSamples = 44;
  constexpr Millis kPause = 500; // 22 s in all; a plain watch takes 20 s.
  TeamFleet fleet;
  for (int sample = 0; sample < kSamples; ++sample) {
    PauseFor(kPause);
    cr_assert(fleet.AreAll("unknown", 401), "sample %d", sample);
  }
  cr_assert(fleet.AreAll(kKey, 503)); // There is no server.
  const CtlRun explained =
    fleet.Ctl({ "explain",
                "tills",
                "--daemon",
                fmt::format("{}:{}", fleet.Address(0), Fleet::kAdminPort),
                "--daemon",
                fmt::format("{}:{}", fleet.Address(1), Fleet::kAdminPort) });
  cr_expect(explained.output.starts_with(
              "team tills: 1 keys, class of the route, rate 5/s, burst 0\n"),
            "%s",
            explained.output.c_str());
  cr_expect(explained.output.find("refused no-endpoint: 2") !=
              std::string::npos,
            "%s",
            explained.output.c_str());
  cr_assert(fleet.Platform().Switch(R"({"down":true})"));
  cr_expect(
    WaitUntil([&] { return fleet.AreAll("unknown", 503); }, 2 * kRolloutTime));
  cr_expect(fleet.AreAll(kKey, 503));
  cr_assert(fleet.Platform().Switch(R"({"down":false})"));
  cr_expect(WaitUntil([&] { return fleet.AreAll("unknown", 401); }));
}
