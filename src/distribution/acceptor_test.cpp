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

/** A catalogue of edits that is accepted step by step. */
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

  /** A service with a route to it, both accepted. */
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

// Guards against one bad entry that holds up or reverts the others.
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

// Guards against a route whose service was removed (R2).
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

// Guards against a service that is removed while a new route to it arrives.
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

// Guards against a rejection that leaves a route without its service: the
// route is rejected, so the removal it allowed is too.
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

// Guards against a change set of which only a part is in force.
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

// Guards against a change set that is accepted without its invalid member.
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

// Guards against two routes for the same requests: the later edit loses, and
// routes that exchange their paths in one version do not conflict.
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

// Guards against a list that was read before the held version was accepted.
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

// Guards R9: a store restored to an older state does not revert accepted
// entries, and later edits and removals are accepted again.
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
