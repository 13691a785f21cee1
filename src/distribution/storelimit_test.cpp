#include "common/log.h"
#include "distribution/acceptedchain.h"
#include "distribution/acceptorrole.h"
#include "distribution/storedtext.h"
#include "distribution/testcatalogue.h"
#include "distribution/versionholder.h"

#include <criterion/criterion.h>

#include <deque>

using namespace lacewingwharf;

namespace {

/** An acceptor on a store that limits the size of values. */
struct Acceptor
{
  Acceptor()
    : role("a",
           this->clock.View(),
           SeededRandom(1),
           { [this](PlatformJob aJob) {
              this->jobs.push_back(std::move(aJob));
              return true;
            },
             [this] { return this->holder.HeldSnapshot(); },
             [this](const Delta& aDelta) { this->holder.Offer(aDelta); } })
  {
    Log::SetLevel(LogLevel::Error);
    this->role.SetActive(true);
  }

  /** Runs the work that becomes due within aTime. */
  void Run(Millis aTime)
  {
    constexpr Millis kStep = 100;
    for (Millis waited = 0; waited < aTime; waited += kStep) {
      this->role.Tick();
      while (!this->jobs.empty()) {
        PlatformJob job = std::move(this->jobs.front());
        this->jobs.pop_front();
        job(this->store.Hooks())();
      }
      this->clock.Advance(kStep);
    }
  }

  void Round()
  {
    this->role.RequestRound();
    this->Run(3000);
  }

  bool Has(const std::string& aEntry) const
  {
    return this->holder.HeldSnapshot()->Find(aEntry) != nullptr;
  }

  std::string StatusOf(const std::string& aEntry) const
  {
    const auto found =
      this->store.All().find("status/" + aEntry + "/acceptance");
    return found == this->store.All().end() ? "" : found->second.value;
  }

  ManualClock clock{ 1000 };
  FakeStore store;
  std::deque<PlatformJob> jobs;
  VersionHolder holder;
  AcceptorRole role;
};

/**
 * Returns a service entry with aBytes of white space. It compresses well only
 * if aSeed is 0.
 */
std::string
PaddedService(std::size_t aBytes, std::uint64_t aSeed)
{
  constexpr std::string_view kSpaces = " \t\n\r";
  const Random random = SeededRandom(aSeed);
  std::string text = ServiceText("o");
  for (std::size_t index = 0; index < aBytes; ++index) {
    text += aSeed == 0 ? ' ' : kSpaces[random() % kSpaces.size()];
  }
  return text;
}

} // namespace

// A first version or a snapshot must not be retried forever because its plain
// text exceeds the platform's limit.
Test(storelimit, ALargeCatalogueIsStoredCompressedAndReadBack)
{
  Acceptor acceptor;
  for (const char* const name : { "a", "b", "c" }) {
    acceptor.store.Edit(fmt::format("catalogue/{}", name),
                        PaddedService(700000, 0));
  }
  acceptor.Round();
  cr_assert_eq(acceptor.holder.HeldSnapshot()->Entries().size(), 3U);
  cr_assert(WriteSnapshot(
    acceptor.store.Hooks(), *acceptor.holder.HeldSnapshot(), "a"));
  cr_assert_eq(acceptor.store.refusedAsTooLarge, 0);
  const auto whole = ReadNewestWhole(acceptor.store.Hooks()).assume_value();
  const auto read = Apply(*Snapshot::Empty(), whole.deltas.front());
  cr_assert_eq(read.assume_value()->ContentHash(),
               acceptor.holder.HeldSnapshot()->ContentHash());
}

// Edits that are too large for the store must not block all others. The status
// of their entries states the reason, and the store never has to refuse a
// write.
Test(storelimit, TheLargestEditsThatDoNotFitAreRejectedWithTheReason)
{
  Acceptor acceptor;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    acceptor.store.Edit(fmt::format("catalogue/large-{}", seed),
                        PaddedService(900000, seed));
  }
  acceptor.store.Edit("catalogue/small", ServiceText("o"));
  acceptor.Round();
  cr_assert(acceptor.Has("large-1"));
  cr_assert(acceptor.Has("small"));
  cr_assert_not(acceptor.Has("large-5"));
  cr_assert_neq(acceptor.StatusOf("large-5").find("too-large"),
                std::string::npos);
  cr_assert_eq(acceptor.store.refusedAsTooLarge, 0);
  acceptor.store.Edit("catalogue/large-5", ServiceText("o"));
  acceptor.Round();
  cr_assert(acceptor.Has("large-5"));
  cr_assert_eq(acceptor.StatusOf("large-5"), "");
}

// On a platform with a lower limit, the refused write must not be repeated
// every two seconds, and the status must report it to the operator.
Test(storelimit, AVersionThatThePlatformRefusesIsReportedForItsEntries)
{
  Acceptor acceptor;
  acceptor.store.maxValueBytes = 20000;
  acceptor.store.Edit("catalogue/large", PaddedService(200000, 1));
  acceptor.Round();
  acceptor.Run(60000);
  cr_assert_eq(acceptor.holder.HeldSnapshot()->Version(), 0);
  cr_assert_neq(acceptor.StatusOf("large").find("refuses to store"),
                std::string::npos);
  cr_assert_leq(acceptor.store.refusedAsTooLarge, 10);
  acceptor.store.Edit("catalogue/large", ServiceText("o"));
  acceptor.Round();
  cr_assert(acceptor.Has("large"));
  cr_assert_eq(acceptor.StatusOf("large"), "");
}

// A damaged object must not cause a memory allocation, and must not be read as
// an empty version.
Test(storelimit, ADamagedCompressedObjectIsRefused)
{
  cr_assert_not(DecodeStored(R"({"zstd":"AAAA"})").has_value());
  cr_assert_not(DecodeStored(R"({"zstd":"*"})").has_value());
  cr_assert_not(DecodeStored(R"({"zstd":7})").has_value());
}
