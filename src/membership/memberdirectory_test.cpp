#include "membership/memberdirectory.h"

#include "distribution/fakestore.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace lacewingwharf;

namespace {

/** The directory of one daemon; its store jobs run synchronously. */
struct Daemon
{
  Daemon(FakeStore& aStore, const std::string& aHost, int aPort)
    : directory(SelfOf(aHost, aPort), this->clock.View(), this->Hooks(aStore))
  {
  }

  static DirectoryEntry SelfOf(const std::string& aHost, int aPort)
  {
    DirectoryEntry self;
    self.host = aHost;
    self.address = { "10.0.0.1", aPort };
    self.domain = "gent";
    self.incarnation = 40;
    return self;
  }

  MemberDirectoryHooks Hooks(FakeStore& aStore)
  {
    MemberDirectoryHooks hooks;
    hooks.submit = [&aStore](const PlatformJob& aJob) {
      aJob(aStore.Hooks())();
      return true;
    };
    hooks.onRestored = [this](const DirectoryEntry& aOwn) {
      this->restoredLeaving.push_back(aOwn.leaving ? aOwn.leaving->id : "-");
      this->restoredServer = aOwn.server;
    };
    hooks.onMembers = [this](const std::vector<DirectoryEntry>& aOthers) {
      this->others = aOthers;
    };
    hooks.onLeavingStored = [this](const LeavingServer& aLeaving) {
      this->storedLeavings.push_back(aLeaving.id);
    };
    return hooks;
  }

  void Run(Millis aMillis, bool aIsAlone = false)
  {
    constexpr Millis kTick = 50;
    for (Millis at = 0; at < aMillis; at += kTick) {
      this->clock.Advance(kTick);
      this->directory.Tick(aIsAlone);
    }
  }

  /** Address of the only peer, or the number of peers if it is not one. */
  std::string FirstPeer() const
  {
    const auto& peers = this->directory.Peers();
    return peers.size() == 1
             ? peers[0].address + ":" + std::to_string(peers[0].port)
             : std::to_string(peers.size()) + " peers";
  }

  ManualClock clock{ 1000 };
  std::vector<std::string> restoredLeaving;
  std::vector<std::string> storedLeavings;
  std::optional<ServerProcess> restoredServer;
  std::vector<DirectoryEntry> others;
  MemberDirectory directory;
};

} // namespace

// Daemons that start together may each read the store before the other has
// written its entry. They must still find each other.
Test(memberdirectory, daemons_that_start_together_find_one_another)
{
  FakeStore store;
  Daemon first(store, "a", 1);
  Daemon second(store, "b", 2);
  first.Run(200);
  second.Run(200);
  first.Run(2000);
  second.Run(2000);
  cr_expect_eq(first.FirstPeer(), "10.0.0.1:2");
  cr_expect_eq(second.FirstPeer(), "10.0.0.1:1");
}

// A daemon that starts while the store is down must write its entry later, or
// it stays unknown to the others.
Test(memberdirectory, an_entry_is_written_when_the_store_is_back)
{
  FakeStore store;
  store.isDown = true;
  Daemon daemon(store, "a", 1);
  daemon.Run(3000);
  cr_expect(store.All().empty());
  store.isDown = false;
  daemon.Run(3000);
  cr_expect(store.All().contains("members/a"));
}

// The platform charges for store calls, so a daemon that knows other members
// must stop reading. It reads again when it knows no other member.
Test(memberdirectory, a_daemon_with_members_stops_reading)
{
  FakeStore store;
  Daemon daemon(store, "a", 1);
  daemon.Run(5000);
  const int puts = store.puts["members/a"];
  cr_expect_eq(puts, 1);
  store.Edit("members/b", R"({"address":"10.0.0.2","port":5})");
  daemon.Run(5000);
  cr_expect(daemon.directory.Peers().empty());
  daemon.Run(3000, true);
  cr_expect_eq(daemon.directory.Peers().size(), 1U);
}

// A restarted daemon must restore from the store that its server is leaving.
Test(memberdirectory, a_restart_restores_the_leaving_server)
{
  FakeStore store;
  Daemon before(store, "a", 1);
  before.Run(1000);
  before.directory.StoreLeaving({ "i-1", 77 });
  cr_expect_eq(before.storedLeavings.size(), 1U);
  Daemon after(store, "a", 1);
  after.Run(1000);
  cr_expect(after.restoredLeaving == std::vector<std::string>{ "i-1" });
}

// Objects under members/ that are not valid entries must not become peers.
Test(memberdirectory, unreadable_objects_are_ignored)
{
  FakeStore store;
  store.Edit("members/x", "no json");
  store.Edit("members/y", R"({"address":7,"port":"8"})");
  store.Edit("members/z", R"({"address":"10.0.0.9","port":9})");
  Daemon daemon(store, "a", 1);
  daemon.Run(1000);
  cr_expect_eq(daemon.FirstPeer(), "10.0.0.9:9");
}

// After all daemons have restarted, the stored entries must supply the servers,
// both to the daemon that wrote the entry and to the others.
Test(memberdirectory, members_are_read_with_their_servers)
{
  FakeStore store;
  Daemon before(store, "a", 1);
  before.Run(1000);
  const ServerProcess server{ "i-1", 77, "orders", 9000, 6 };
  before.directory.StoreServer(server);
  before.Run(1000);
  Daemon after(store, "a", 1);
  after.Run(100);
  cr_assert(after.restoredServer.has_value());
  cr_expect(*after.restoredServer == server);
  Daemon other(store, "b", 2);
  other.Run(100);
  cr_assert_eq(other.others.size(), 1U);
  const wire::MemberRecord record = RecordOf(other.others[0]);
  cr_expect_eq(record.host, "a");
  cr_expect_eq(record.domain, "gent");
  cr_expect_eq(record.incarnation, 40);
  cr_assert_eq(record.endpoints.size(), 1U);
  cr_expect_eq(record.endpoints[0].slots, 6);
}

// The entry of a stopped daemon may name a server that is leaving. That server
// must not become an endpoint.
Test(memberdirectory, a_leaving_server_is_no_endpoint)
{
  DirectoryEntry entry = Daemon::SelfOf("a", 1);
  entry.server = ServerProcess{ "i-1", 77, "orders", 9000, 6 };
  entry.leaving = LeavingServer{ "i-1", 77 };
  cr_expect(RecordOf(entry).endpoints.empty());
  entry.leaving = LeavingServer{ "i-0", 70 };
  cr_expect_eq(RecordOf(entry).endpoints.size(), 1U);
}

// A host that is removed permanently must not leave an entry in the store.
Test(memberdirectory, a_removed_entry_is_gone)
{
  FakeStore store;
  Daemon daemon(store, "a", 1);
  daemon.Run(1000);
  daemon.directory.Remove();
  cr_expect(store.All().empty());
}

// Daemons that start together know only themselves at first. Each would assume
// all roles of its failure domain if it did not wait for the others.
Test(memberdirectory, settles_only_after_members_that_start_together_are_known)
{
  FakeStore store;
  Daemon daemon(store, "a", 1);
  daemon.Run(300);
  cr_expect(daemon.directory.HasRead());
  cr_expect_not(daemon.directory.HasSettled());
  daemon.Run(2000);
  cr_expect(daemon.directory.HasSettled());
}

// A leaving that is acknowledged and not stored is forgotten when the daemon
// is killed, and the server gets calls again. The store must therefore have it
// before the report counts as stored, however often a write fails.
Test(memberdirectory, a_leaving_counts_as_stored_only_when_the_store_has_it)
{
  FakeStore store;
  Daemon daemon(store, "a", 1);
  daemon.Run(1000);
  store.isDown = true;
  cr_expect_not(daemon.directory.StoreLeaving({ "i-1", 77 }));
  daemon.Run(3000);
  cr_expect_not(daemon.directory.StoreLeaving({ "i-1", 77 })); // Again.
  cr_expect(daemon.storedLeavings.empty());
  store.isDown = false;
  daemon.Run(1000);
  cr_expect(daemon.directory.StoreLeaving({ "i-1", 77 }));
  cr_expect(daemon.storedLeavings == std::vector<std::string>{ "i-1" });
  Daemon after(store, "a", 1);
  after.Run(1000);
  cr_expect(after.restoredLeaving == std::vector<std::string>{ "i-1" });
}

// A daemon that has not read its entry yet must not acknowledge a leaving, and
// must keep the one that an earlier process stored.
Test(memberdirectory, a_leaving_reported_before_the_first_read_is_stored)
{
  FakeStore store;
  store.isDown = true;
  Daemon daemon(store, "a", 1);
  cr_expect_not(daemon.directory.StoreLeaving({ "i-1", 77 }));
  daemon.Run(1000);
  cr_expect(daemon.storedLeavings.empty());
  store.isDown = false;
  daemon.Run(2000);
  cr_expect(daemon.storedLeavings == std::vector<std::string>{ "i-1" });
}

// When all daemons of a large fleet restart at once, each call to the store is
// repeated by every daemon. A daemon whose entry is still true must only read.
Test(memberdirectory, a_restart_with_a_true_entry_reads_once_and_writes_nothing)
{
  FakeStore store;
  for (int index = 0; index < 20; ++index) {
    store.Edit(fmt::format("members/other-{}", index),
               R"({"address":"10.0.0.2","port":5})");
  }
  const ServerProcess server{ "i-1", 77, "orders", 9000, 6 };
  Daemon before(store, "a", 1);
  before.Run(1000);
  before.directory.StoreServer(server);
  before.Run(1000);
  const int puts = store.puts["members/a"];
  Daemon after(store, "a", 1);
  int reads = 0;
  store.onList = [&reads] { ++reads; };
  after.Run(500);
  after.directory.StoreServer(server); // The first heartbeat.
  after.Run(5000);
  cr_expect(after.directory.HasSettled());
  cr_expect_eq(reads, 1);
  cr_expect_eq(store.puts["members/a"], puts);
  after.directory.StoreServer({ "i-2", 99, "orders", 9000, 6 });
  after.Run(1000);
  cr_expect_eq(store.puts["members/a"], puts + 1);
}

// Other writers may leave entries among those of the daemons. An entry with a
// port or an address that cannot be used names no member; a name instead of an
// address would block the thread that looks it up.
Test(memberdirectory, entries_that_name_no_member_are_ignored)
{
  FakeStore store;
  int number = 0;
  const std::string nested =
    std::string(100000, '[') + std::string(100000, ']');
  for (const std::string& value :
       { std::string(R"({"address":"10.0.0.2","port":65536})"),
         std::string(R"({"address":"10.0.0.2","port":4294967301})"),
         std::string(R"({"address":"10.0.0.2","port":18446744073709551615})"),
         std::string(R"({"address":"10.0.0.2","port":1e400})"),
         std::string(R"({"address":"10.0.0.2","port":-1})"),
         std::string(R"({"address":"host.example","port":5})"),
         std::string(
           "{\"address\":\"10.0.0.2\",\"port\":5,\"region\":\"\xff\"}"),
         std::string("[]"),
         nested,
         R"({"address":"10.0.0.2","port":5,"server":)" + nested + "}" }) {
    store.Edit(fmt::format("members/x{}", ++number), value);
  }
  store.Edit(
    "members/y",
    R"({"address":"10.0.0.3","port":6,"server":{"id":"i","port":70000,)"
    R"("slots":4,"service":"s","startedAt":1}})");
  Daemon daemon(store, "a", 1);
  daemon.Run(200);
  cr_expect_eq(daemon.FirstPeer(), "10.0.0.3:6");
  cr_assert_eq(daemon.others.size(), 1U);
  cr_expect_not(daemon.others[0].server.has_value());
}
