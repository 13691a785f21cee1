// Without teams, SlotQueue must decide every call as it did before slots were
// shared among teams.

#include "admission/admissionharness.h"
#include "admission/formerslotqueue.h"
#include "admission/slotqueue.h"
#include "common/random.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

constexpr int kSeeds = 400;
constexpr int kSteps = 1000;

using Change = std::function<void(AdmissionRequest&)>;

std::string
TextOf(const Refusal& aRefusal)
{
  return std::string(kRefusalReasonNames.NameOf(aRefusal.reason)) + " " +
         aRefusal.entry + " " + aRefusal.owner + " " +
         std::to_string(aRefusal.bound) + " " + std::to_string(aRefusal.seen) +
         " " + std::to_string(aRefusal.retryAfter);
}

std::string
TextOf(const OfferResult& aResult)
{
  std::string text = aResult.refusal ? TextOf(*aResult.refusal) : "queued";
  if (aResult.displaced) {
    text += " for " + aResult.displaced->request.callId + " " +
            TextOf(aResult.displaced->refusal);
  }
  return text;
}

std::string
TextOf(const std::vector<RefusedCall>& aCalls)
{
  std::string text;
  for (const RefusedCall& call : aCalls) {
    text += call.request.callId + " " + TextOf(call.refusal) + ", ";
  }
  return text;
}

/** Makes the same random calls to a queue and records its decisions. */
template<typename Queue>
class Schedule
{
public:
  Schedule(std::uint64_t aSeed, Change aChange, const Snapshot& aSnapshot)
    : random(SeededRandom(aSeed))
    , change(std::move(aChange))
  {
    if constexpr (std::is_same_v<Queue, SlotQueue>) {
      this->queue.SetTeams(aSnapshot);
    }
    this->queue.SetCapacity(1 + this->Below(8), 0);
    this->hasTargets = this->Below(4) > 0;
    this->owners = 1 + this->Below(5);
  }

  std::vector<std::string> Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      this->now += this->Below(10);
      this->Step(step);
      this->decisions.push_back(TextOf(this->queue.TakeExpired(this->now)));
      while (auto started = this->queue.StartNext(this->now)) {
        this->decisions.push_back("starts " + started->callId);
        this->running.push_back(std::move(*started));
      }
    }
    return this->decisions;
  }

private:
  int Below(int aBound) const
  {
    return static_cast<int>(
      RandomBelow(this->random, static_cast<std::uint64_t>(aBound)));
  }

  void Step(int aStep)
  {
    const int kind = this->Below(20);
    if (kind == 0) {
      this->queue.SetCapacity(1 + this->Below(8), this->Below(12));
    } else if (kind == 1) {
      const std::string id = std::to_string(this->Below(aStep + 1));
      const auto cancelled = this->queue.CancelWaiting(id);
      this->decisions.push_back(cancelled ? "cancelled " + id : "unknown");
    } else if (kind < 8 && !this->running.empty()) {
      const int index = this->Below(static_cast<int>(this->running.size()));
      const AdmissionRequest call = this->running[index];
      this->running.erase(this->running.begin() + index);
      this->queue.Finish(call, this->Below(120), this->now);
    } else {
      const AdmissionRequest request = this->MakeRequest(aStep);
      this->decisions.push_back(TextOf(this->queue.Offer(request, this->now)));
    }
  }

  AdmissionRequest MakeRequest(int aStep) const
  {
    AdmissionRequest request;
    request.callId = std::to_string(aStep);
    request.owner = "owner" + std::to_string(this->Below(this->owners));
    request.entry = "entry" + std::to_string(this->Below(3));
    request.workClass = static_cast<WorkClass>(this->Below(4));
    request.deadlineAt = static_cast<Millis>(this->now) + this->Below(2000);
    request.queueWait = this->Below(2) == 0 ? 0 : this->Below(500);
    if (this->hasTargets && this->Below(5) > 0) {
      request.targetAt = static_cast<Millis>(this->now) + this->Below(1200);
    }
    this->change(request);
    return request;
  }

  Random random;
  Change change;
  Queue queue;
  std::vector<AdmissionRequest> running;
  std::vector<std::string> decisions;
  bool hasTargets = true;
  int owners = 1;
  double now = 1000;
};

SnapshotPtr
CatalogueWithTeam()
{
  AcceptedEntries entries = CatalogueWith({}, {})->Entries();
  Entry team;
  team.name = "team.tills";
  team.kind = EntryKind::Team;
  team.owner = "tills";
  team.team.keyDigests = { "digest" };
  team.team.ratePerSecond = 10;
  AddEntry(entries, team);
  return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
}

int
CountOf(const std::vector<std::string>& aDecisions, std::string_view aText)
{
  return static_cast<int>(
    std::ranges::count_if(aDecisions, [aText](const std::string& aDecision) {
      return aDecision.find(aText) != std::string::npos;
    }));
}

void
CheckSameDecisions(const Change& aChange, const Snapshot& aSnapshot)
{
  int displaced = 0;
  int full = 0;
  int tooLate = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto former =
      Schedule<FormerSlotQueue>(seed, aChange, aSnapshot).Run();
    const auto present = Schedule<SlotQueue>(seed, aChange, aSnapshot).Run();
    cr_assert(former == present, "seed %d", static_cast<int>(seed));
    displaced += CountOf(former, "displaced");
    full += CountOf(former, "queue-full");
    tooLate += CountOf(former, "queue-wait");
  }
  // The schedules must contain every kind of decision.
  cr_expect_gt(displaced, kSeeds);
  cr_expect_gt(full, kSeeds);
  cr_expect_gt(tooLate, kSeeds);
}

} // namespace

// A deployment without teams must not notice that others share slots.
Test(formerorder, calls_without_teams_are_decided_as_before)
{
  CheckSameDecisions([](AdmissionRequest&) {}, *Snapshot::Empty());
}

// Calls that servers make while they run a request have no team and must be
// ordered as before where the catalogue has teams.
Test(formerorder, calls_of_servers_are_decided_as_before)
{
  CheckSameDecisions([](AdmissionRequest&) {}, *CatalogueWithTeam());
}

// The order of the calls of one team must stay as it was.
Test(formerorder, calls_of_a_single_team_are_decided_as_before)
{
  const auto setTeam = [](AdmissionRequest& aRequest) {
    aRequest.team = "tills";
  };
  CheckSameDecisions(setTeam, *CatalogueWithTeam());
}
