#include "common/log.h"
#include "distribution/distributor.h"
#include "distribution/testcatalogue.h"
#include "distribution/wireconversion.h"
#include "membership/memorynetwork.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>

using namespace lacewingwharf;

namespace {

/** A push of version 1 with one service of aOwner. */
wire::ConfigPush
FirstVersion(const std::string& aOwner)
{
  FakeStore store;
  store.Edit("catalogue/s", ServiceText(aOwner));
  const auto list = store.Hooks().list("catalogue/").assume_value();
  wire::ConfigPush push;
  push.root = "other";
  push.body = ToWire(*DecideNext(*Snapshot::Empty(), list).delta);
  return push;
}

/**
 * Members whose gossip contains the version and content hash of their
 * distributors.
 */
struct Domain
{
  explicit Domain(std::size_t aMembers)
    : network(1)
  {
    Log::SetLevel(LogLevel::Error);
    this->network.extendHooks = [this](std::size_t aNode,
                                       MembershipHooks& aHooks) {
      Distributor& distributor = this->Get(aNode);
      aHooks.ownVersion = [&distributor] {
        return distributor.HeldSnapshot()->Version();
      };
      aHooks.ownContentHash = [&distributor] {
        return ShortHashOf(*distributor.HeldSnapshot());
      };
      aHooks.onPeerContent = [&distributor](const std::string& aHost,
                                            std::int64_t aVersion,
                                            std::int32_t aHash) {
        distributor.HandlePeerContent(aHost, aVersion, aHash);
      };
    };
    for (std::size_t node = 0; node < aMembers; ++node) {
      this->network.Add("north", "bangor");
    }
  }

  Distributor& Get(std::size_t aNode)
  {
    auto& distributor = this->distributors[aNode];
    if (!distributor) {
      DistributorHooks hooks;
      hooks.send = [](const std::string&, const wire::Envelope&) {};
      hooks.onSnapshotChange = [](const SnapshotPtr&) {};
      distributor = std::make_unique<Distributor>(DistributorConfig{},
                                                  this->network.clock.View(),
                                                  SeededRandom(1),
                                                  hooks);
    }
    return *distributor;
  }

  std::map<std::size_t, std::unique_ptr<Distributor>> distributors;
  MemoryNetwork network;
};

} // namespace

// Two daemons that enforce different catalogues under the same version number
// must be reported. The version number in gossip alone does not show that they
// differ, so gossip also contains the content hash.
Test(divergence, APeerWithOtherContentUnderTheHeldVersionIsReported)
{
  Domain domain(3);
  domain.Get(0).HandlePush("other", FirstVersion("o1"));
  domain.Get(1).HandlePush("other", FirstVersion("o1"));
  domain.Get(2).HandlePush("other", FirstVersion("o2"));
  domain.network.Run(10000);
  cr_assert_eq(domain.Get(0).DivergentPeerCount(), 1U);
  cr_assert_eq(domain.Get(1).DivergentPeerCount(), 1U);
  cr_assert_eq(domain.Get(2).DivergentPeerCount(), 2U);
}

// Peers must not be reported if they have the same content, or another version
// while a push is in transit.
Test(divergence, SameContentAndOtherVersionsAreNotReported)
{
  Domain domain(3);
  domain.Get(0).HandlePush("other", FirstVersion("o1"));
  domain.Get(1).HandlePush("other", FirstVersion("o1"));
  domain.network.Run(10000);
  for (std::size_t node = 0; node < 3; ++node) {
    cr_assert_eq(domain.Get(node).DivergentPeerCount(), 0U);
  }
  domain.Get(0).HandlePeerContent("x", 1, 77);
  domain.Get(0).HandlePeerContent("y", 2, 78);
  cr_assert_eq(domain.Get(0).DivergentPeerCount(), 1U);
}
