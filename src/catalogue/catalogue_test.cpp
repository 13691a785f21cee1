#include "catalogue/delta.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

namespace {

constexpr const char* kOrders =
  R"({"kind":"service","owner":"engraving","class":"interactive"})";

std::string
Route(const std::string& aPath, const std::string& aMethods)
{
  return R"({"kind":"route","owner":"shop","class":"interactive",)"
         R"("service":"orders","match":{"path":")" +
         aPath + R"(","methods":)" + aMethods + "}}";
}

Delta
WholeDelta(std::int64_t aVersion, std::vector<ChangedEntry> aChanged)
{
  Delta delta;
  delta.isWhole = true;
  delta.stamp.version = aVersion;
  delta.changed = std::move(aChanged);
  return delta;
}

/** Builds a snapshot without the hash check, which Apply() makes last. */
CatalogueResult<SnapshotPtr>
BuildFrom(const std::vector<ChangedEntry>& aChanged)
{
  AcceptedEntries entries;
  for (const ChangedEntry& changed : aChanged) {
    auto entry = ParseEntry(changed.name, changed.text);
    cr_assert(entry.has_value(), "%s", changed.text.c_str());
    entries[changed.name] = std::make_shared<const AcceptedEntry>(
      AcceptedEntry{ entry.assume_value(), changed.revision, changed.text });
  }
  return Snapshot::Build({ 1, 0, 0 }, entries);
}

void
AssertRefused(const std::string& aText, const std::string& aExpected)
{
  const auto entry = ParseEntry("e", aText);
  cr_assert_not(entry.has_value(), "accepted: %s", aText.c_str());
  const std::string& detail = entry.assume_error().detail;
  cr_assert(detail.find(aExpected) != std::string::npos,
            "'%s' lacks '%s'",
            detail.c_str(),
            aExpected.c_str());
}

} // namespace

// A limit must not be read into the field of another one.
Test(catalogue, RouteFieldsAreRead)
{
  const auto parsed =
    ParseEntry("orders-post",
               R"({"kind":"route","owner":"shop-tills","class":"critical",
        "service":"orders","match":{"path":"/orders","methods":["POST"]},
        "idempotent":true,"change":{"id":"c1","size":2},
        "limits":{"concurrency":24,"rate":200,"deadline_ms":2000,
                  "queue_ms":200,"body_bytes":1024,"retries":3}})");
  cr_assert(parsed.has_value());
  const Entry& entry = parsed.assume_value();
  cr_assert_eq(entry.workClass, WorkClass::Critical);
  cr_assert_eq(entry.service, "orders");
  cr_assert_eq(entry.limits.concurrency, 24);
  cr_assert_eq(entry.limits.ratePerSecond, 200);
  cr_assert_eq(entry.limits.deadline, 2000);
  cr_assert_eq(entry.limits.queueWait, 200);
  cr_assert_eq(entry.limits.bodyBytes, 1024);
  cr_assert_eq(entry.limits.retries, 3);
  cr_assert_eq(entry.changeSet->size, 2);
  cr_assert(entry.IsIdempotent(HttpMethod::Post));
}

// A POST, PUT or DELETE must not be repeated without permission.
Test(catalogue, OnlyReadsAreIdempotentByDefault)
{
  const Entry entry;
  cr_assert(entry.IsIdempotent(HttpMethod::Get));
  cr_assert_not(entry.IsIdempotent(HttpMethod::Put));
  cr_assert_not(entry.IsIdempotent(HttpMethod::Delete));
  cr_assert_not(entry.IsIdempotent(HttpMethod::Post));
}

// An entry with a misspelt, missing or invalid field must not be accepted.
Test(catalogue, BadEntriesAreRefusedWithTheReason)
{
  AssertRefused("{", "not valid JSON");
  AssertRefused("[]", "not a JSON object");
  AssertRefused(R"({"kind":"rout","owner":"o"})", "kind must be");
  AssertRefused(R"({"kind":"service","class":"batch"})", "owner is missing");
  AssertRefused(R"({"kind":"service","owner":"o","class":"urgent"})",
                "class must be");
  AssertRefused(R"({"kind":"service","owner":"o","class":"batch","limit":{}})",
                "limit is not a known key");
  AssertRefused(R"({"kind":"owner","owner":"o","limits":{"rate":-1}})",
                "limits.rate is -1");
  AssertRefused(R"({"kind":"owner","owner":"o","limits":{"rate":1.5}})",
                "limits.rate must be a whole number");
  AssertRefused(R"({"kind":"owner","owner":"o","limits":{"retries":1}})",
                "limits.retries is not a known key");
  AssertRefused(Route("orders", R"(["GET"])"), "match.path must start");
  AssertRefused(Route("/orders/", R"(["GET"])"), "match.path must start");
  AssertRefused(Route("/orders", R"(["FETCH"])"), "unknown method");
  AssertRefused(Route("/orders", "[]"), "at least one method");
  cr_assert_not(ParseEntry("a/b", kOrders).has_value());
  cr_assert_not(ParseEntry(".store", kOrders).has_value());
}

// A request must not go to the route of a shorter prefix, nor to that of a path
// with the same first letters, such as "/a" for "/ab".
Test(catalogue, LongestPrefixOnASegmentBoundaryWins)
{
  const auto built = BuildFrom({ { "orders", 1, kOrders },
                                 { "root", 2, Route("/", R"(["GET"])") },
                                 { "a", 3, Route("/a", R"(["GET","POST"])") },
                                 { "ab", 4, Route("/a/b", R"(["GET"])") } });
  cr_assert(built.has_value());
  const Snapshot& snapshot = *built.assume_value();
  const auto name = [&snapshot](HttpMethod aMethod, const char* aPath) {
    const Entry* const route = snapshot.MatchRoute(aMethod, aPath);
    return route == nullptr ? std::string("none") : route->name;
  };
  cr_assert_eq(name(HttpMethod::Get, "/a/b/c?x=/y"), "ab");
  cr_assert_eq(name(HttpMethod::Get, "/a/bc"), "a");
  cr_assert_eq(name(HttpMethod::Post, "/a/b/c"), "a");
  cr_assert_eq(name(HttpMethod::Get, "/ab"), "root");
  cr_assert_eq(name(HttpMethod::Get, "/a/"), "a");
  cr_assert_eq(name(HttpMethod::Post, "/x"), "none");
  cr_assert_eq(name(HttpMethod::Get, ""), "none");
  cr_assert_eq(name(HttpMethod::Get, "a"), "none");
}

// A snapshot with a route to a missing service must not exist (requirement R2).
Test(catalogue, InvalidSnapshotsCannotBeBuilt)
{
  const auto dangling = BuildFrom({ { "r", 1, Route("/a", R"(["GET"])") } });
  cr_assert_eq(dangling.assume_error().code,
               CatalogueErrorCode::DanglingReference);
  const auto twice = BuildFrom({ { "orders", 1, kOrders },
                                 { "r", 2, Route("/a", R"(["GET","PUT"])") },
                                 { "s", 3, Route("/a", R"(["PUT"])") } });
  cr_assert_eq(twice.assume_error().code, CatalogueErrorCode::DuplicateMatch);
}

// Two entries with limits on all callers would let the order of names decide
// which of them hold.
Test(catalogue, OnlyOneListenerEntryIsValid)
{
  const std::string listener =
    R"({"kind":"listener","owner":"o","limits":{"head_bytes":4096,)"
    R"("body_bytes":1024,"head_ms":3000,"idle_ms":15000}})";
  const auto one = BuildFrom({ { "a", 1, listener } });
  cr_assert(one.has_value());
  const ListenerLimits expected{ 4096, 1024, 3000, 15000 };
  cr_expect(one.assume_value()->CallerLimits() == expected);
  cr_expect(Snapshot::Empty()->CallerLimits() == ListenerLimits());
  const auto two = BuildFrom({ { "a", 1, listener }, { "b", 2, listener } });
  cr_assert_eq(two.assume_error().code, CatalogueErrorCode::DuplicateMatch);
  AssertRefused(
    R"({"kind":"listener","owner":"o","limits":{"head_bytes":262145}})",
    "limits.head_bytes is 262145");
  AssertRefused(R"({"kind":"listener","owner":"o"})", "limits is missing");
}

// A delta in which an entry was lost or changed on the way is refused
// (requirement R3).
Test(catalogue, ApplyChecksBaseAndHash)
{
  const SnapshotPtr one =
    BuildFrom({ { "orders", 1, kOrders } }).assume_value();
  Delta delta = DeltaBetween(*Snapshot::Empty(), *one);
  cr_assert_eq(Apply(*Snapshot::Empty(), delta).assume_value()->ContentHash(),
               one->ContentHash());
  cr_assert_eq(Apply(*one, delta).assume_error().code,
               CatalogueErrorCode::WrongBase);
  delta.changed.front().revision = 2;
  cr_assert_eq(Apply(*Snapshot::Empty(), delta).assume_error().code,
               CatalogueErrorCode::HashMismatch);
  cr_assert_eq(Apply(*one, WholeDelta(2, { { "orders", 1, kOrders } }))
                 .assume_error()
                 .code,
               CatalogueErrorCode::HashMismatch);
}

// An accepted version must not change when it is encoded and decoded.
Test(catalogue, AcceptedObjectsSurviveEncoding)
{
  const SnapshotPtr one =
    BuildFrom({ { "orders", 7, kOrders } }).assume_value();
  AcceptedObject object{ MakeWholeDelta(*one), "host-a", "n1" };
  object.delta.removed = { "gone" };
  const auto decoded = DecodeAccepted(EncodeAccepted(object));
  cr_assert(decoded.has_value());
  const AcceptedObject& read = decoded.assume_value();
  cr_assert_eq(read.nonce, "n1");
  cr_assert_eq(read.writer, "host-a");
  cr_assert_eq(read.delta.removed, object.delta.removed);
  cr_assert_eq(read.delta.contentHash, one->ContentHash());
  cr_assert(Apply(*Snapshot::Empty(), read.delta).has_value());
  cr_assert_not(DecodeAccepted(R"({"version":1})").has_value());
}
