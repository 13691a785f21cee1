#include "distribution/acceptor.h"

#include "distribution/testcatalogue.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace lacewingwharf;

namespace {

ObjectList
Listed(const FakeStore& aStore)
{
  ObjectList list{ aStore.Revision(), {} };
  for (const auto& [name, object] : aStore.All()) {
    list.objects.push_back(object);
  }
  return list;
}

/** A store with edits, and the snapshot that was last accepted from it. */
struct Fixture
{
  FakeStore store;
  SnapshotPtr held = Snapshot::Empty();

  Decision Decide()
  {
    Decision decision = DecideNext(*this->held, Listed(this->store));
    if (decision.delta) {
      const auto applied = Apply(*this->held, *decision.delta);
      cr_assert(applied.has_value());
      cr_assert_eq(applied.assume_value()->Version(),
                   this->held->Version() + 1);
      this->held = applied.assume_value();
    }
    return decision;
  }

  void Edit(const std::string& aName, const std::string& aText)
  {
    this->store.Edit("catalogue/" + aName, aText);
  }

  void Erase(const std::string& aName)
  {
    this->store.Erase("catalogue/" + aName);
  }

  /** Adds a service and a route to it, and accepts both. */
  void AcceptOrders()
  {
    this->Edit("orders", ServiceText("o"));
    this->Edit("orders-route", RouteText("orders", "/orders", 5));
    cr_assert(this->Decide().rejections.empty());
  }

  std::string Text(const std::string& aName) const
  {
    const AcceptedEntry* const entry = this->held->Find(aName);
    return entry == nullptr ? "" : entry->text;
  }
};

bool
IsRejected(const Decision& aDecision, const std::string& aEntry)
{
  return std::ranges::find(aDecision.rejections, aEntry, &Rejection::entry) !=
         aDecision.rejections.end();
}

} // namespace

// One invalid entry must not block or revert the edits of other entries.
Test(acceptor, ABadEntryKeepsItsLastValueWhileGoodEditsAreTaken)
{
  Fixture fixture;
  fixture.AcceptOrders();
  const std::string before = fixture.Text("orders-route");
  fixture.Edit("orders-route", R"({"kind":"route"})");
  fixture.Edit("fonts", ServiceText("o"));
  const Decision decision = fixture.Decide();
  cr_assert(decision.delta.has_value());
  cr_assert_eq(fixture.Text("orders-route"), before);
  cr_assert_neq(fixture.Text("fonts"), "");
  cr_assert_eq(decision.rejections.size(), 1U);
  cr_assert_eq(decision.rejections[0].entry, "orders-route");
  cr_assert_eq(decision.rejections[0].revision, 3);
  cr_assert_eq(decision.rejections[0].reason, "owner is missing");
  cr_assert_not(fixture.Decide().delta.has_value());
}

// Requirement R2: a service must not be removed while a route refers to it.
Test(acceptor, AServiceStillNamedByARouteIsNotRemoved)
{
  Fixture fixture;
  fixture.AcceptOrders();
  fixture.Erase("orders");
  const Decision refused = fixture.Decide();
  cr_assert_not(refused.delta.has_value());
  cr_assert(IsRejected(refused, "orders"));
  fixture.Erase("orders-route");
  cr_assert(fixture.Decide().rejections.empty());
  cr_assert(fixture.held->Entries().empty());
}

// A service must not be removed if the same version adds a new route to it.
Test(acceptor, ANewRouteKeepsAServiceThatIsRemovedAtTheSameTime)
{
  Fixture fixture;
  fixture.AcceptOrders();
  fixture.Edit("second", RouteText("orders", "/second"));
  fixture.Erase("orders-route");
  fixture.Erase("orders");
  const Decision decision = fixture.Decide();
  cr_assert_eq(decision.rejections.size(), 1U);
  cr_assert(IsRejected(decision, "orders"));
  cr_assert_neq(fixture.Text("second"), "");
  cr_assert_eq(fixture.Text("orders-route"), "");
}

// If the edit of a route is rejected, the route still refers to its old
// service. The removal of that service, which the edit would have allowed, must
// then be rejected too.
Test(acceptor, ARejectedRouteEditAlsoRejectsTheRemovalOfItsService)
{
  Fixture fixture;
  fixture.AcceptOrders();
  fixture.Edit("other", RouteText("missing", "/other"));
  fixture.Edit("orders-route", RouteText("absent", "/orders"));
  fixture.Erase("orders");
  const Decision decision = fixture.Decide();
  cr_assert_not(decision.delta.has_value());
  cr_assert_eq(decision.rejections.size(), 3U);
  cr_assert_eq(fixture.Text("orders-route"), RouteText("orders", "/orders", 5));
}

// No part of a change set may be in force before all its entries are present.
Test(acceptor, AnIncompleteChangeSetIsNotAccepted)
{
  Fixture fixture;
  fixture.Edit("a", ServiceText("o", R"("id":"c1","size":2)"));
  fixture.Edit("single", ServiceText("o"));
  const Decision first = fixture.Decide();
  cr_assert(IsRejected(first, "a"));
  cr_assert_eq(fixture.held->Entries().size(), 1U);
  fixture.Edit("b", RouteText("a", "/b", 0, R"("id":"c1","size":2)"));
  const Decision second = fixture.Decide();
  cr_assert(second.rejections.empty());
  cr_assert_eq(second.delta->changed.size(), 2U);
}

// A change set with an invalid member must not be accepted without that member.
Test(acceptor, AChangeSetWithAnInvalidMemberIsRejectedWhole)
{
  Fixture fixture;
  fixture.AcceptOrders();
  const std::string change = R"("id":"c2","size":2)";
  fixture.Edit("fonts", ServiceText("o", change));
  fixture.Edit("fonts-route", RouteText("nowhere", "/fonts", 0, change));
  fixture.Edit("good", ServiceText("o"));
  const Decision decision = fixture.Decide();
  cr_assert_eq(decision.rejections.size(), 2U);
  cr_assert_eq(fixture.Text("fonts"), "");
  cr_assert_neq(fixture.Text("good"), "");
}

// Two routes must not match the same requests, so the later edit is rejected.
// Routes that exchange their paths in one version do not conflict.
Test(acceptor, OfTwoRoutesWithTheSameMatchTheLaterEditIsRejected)
{
  Fixture fixture;
  fixture.AcceptOrders();
  fixture.Edit("y", RouteText("orders", "/same"));
  fixture.Edit("x", RouteText("orders", "/same"));
  const Decision decision = fixture.Decide();
  cr_assert(IsRejected(decision, "x"));
  cr_assert_not(IsRejected(decision, "y"));
  fixture.Edit("orders-route", RouteText("orders", "/same"));
  fixture.Edit("y", RouteText("orders", "/orders"));
  fixture.Erase("x");
  cr_assert(fixture.Decide().rejections.empty());
}

// A list that was read before the held version was accepted must not revert it.
Test(acceptor, AnOlderListChangesNothing)
{
  Fixture fixture;
  fixture.AcceptOrders();
  const ObjectList old = Listed(fixture.store);
  fixture.Edit("orders-route", RouteText("orders", "/orders", 9));
  fixture.Edit("fonts", ServiceText("o"));
  fixture.Decide();
  cr_assert_not(DecideNext(*fixture.held, old).delta.has_value());
}

// Requirement R9: a store that is restored to an older state must not revert
// accepted entries. Later edits and removals must be accepted.
Test(acceptor, ARestoredStoreStartsAnEpoch)
{
  Fixture fixture;
  fixture.AcceptOrders();
  fixture.Edit("old", ServiceText("o"));
  fixture.Decide();
  const auto backup = fixture.store.All();
  const auto backupRevision = fixture.store.Revision();
  fixture.Edit("orders-route", RouteText("orders", "/orders", 9));
  fixture.Edit("fonts", ServiceText("o"));
  fixture.Erase("old");
  fixture.Decide();
  const std::int64_t before = fixture.held->Version();
  fixture.store.Restore(backup, backupRevision);

  const Decision epoch = DecideNextEpoch(
    *fixture.held, Listed(fixture.store), fixture.store.Revision());
  cr_assert_gt(epoch.next->Version(), before);
  cr_assert_eq(epoch.next->Stamp().storeEpoch, 1);
  cr_assert_eq(epoch.next->Stamp().floorRevision, backupRevision);
  fixture.held = epoch.next;
  cr_assert_not(fixture.Decide().delta.has_value());
  cr_assert_eq(fixture.Text("orders-route"), RouteText("orders", "/orders", 9));
  cr_assert_neq(fixture.Text("fonts"), "");
  cr_assert_eq(fixture.Text("old"), "");

  fixture.Edit("orders-route", RouteText("orders", "/orders", 11));
  cr_assert(fixture.Decide().delta.has_value());
  cr_assert_eq(fixture.Text("orders-route"),
               RouteText("orders", "/orders", 11));
  fixture.Erase("orders-route");
  cr_assert(fixture.Decide().delta.has_value());
  cr_assert_eq(fixture.Text("orders-route"), "");
}
