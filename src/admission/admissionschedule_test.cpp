#include "admission/admissionharness.h"
#include "common/random.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace lacewingwharf;
using namespace lacewingwharf::testing;

namespace {

/**
 * A naive implementation of the rules: a list of waiting and a list of running
 * calls, without expected waits, limits or a queue bound.
 */
class NaiveServer
{
public:
  explicit NaiveServer(int aSlots)
    : slots(aSlots)
  {
  }

  /** Returns the ids of the calls that start now, in order. */
  std::vector<std::string> Offer(const AdmissionRequest& aRequest)
  {
    this->waiting.push_back(aRequest);
    return this->StartCalls();
  }

  std::vector<std::string> Finish(const std::string& aId)
  {
    std::erase_if(this->running,
                  [&](const auto& aCall) { return aCall.callId == aId; });
    return this->StartCalls();
  }

  std::vector<AdmissionRequest> running;
  std::vector<AdmissionRequest> waiting;

private:
  auto RunningOf(const std::string& aOwner) const
  {
    return std::ranges::count(this->running, aOwner, &AdmissionRequest::owner);
  }

  bool IsBefore(const AdmissionRequest& aLeft,
                const AdmissionRequest& aRight) const
  {
    const auto cap = std::max(1, this->slots - this->slots / 4);
    const auto left = this->RunningOf(aLeft.owner);
    const auto right = this->RunningOf(aRight.owner);
    if (aLeft.owner != aRight.owner && (left >= cap) != (right >= cap)) {
      return left < cap;
    }
    if (aLeft.workClass != aRight.workClass) {
      return aLeft.workClass < aRight.workClass;
    }
    return left < right;
  }

  std::vector<std::string> StartCalls()
  {
    std::vector<std::string> started;
    while (static_cast<int>(this->running.size()) < this->slots &&
           !this->waiting.empty()) {
      std::size_t best = 0;
      for (std::size_t index = 1; index < this->waiting.size(); ++index) {
        if (this->IsBefore(this->waiting[index], this->waiting[best])) {
          best = index;
        }
      }
      started.push_back(this->waiting[best].callId);
      this->running.push_back(this->waiting[best]);
      this->waiting.erase(this->waiting.begin() + static_cast<int>(best));
    }
    return started;
  }

  int slots;
};

AdmissionRequest
RandomRequest(const Random& aRandom, int aId)
{
  AdmissionRequest request = RequestOf(std::to_string(aId), 1000000000);
  request.owner = "owner" + std::to_string(RandomBelow(aRandom, 4));
  request.workClass = static_cast<WorkClass>(RandomBelow(aRandom, 4));
  return request;
}

} // namespace

// Calls have to start by class first and then by fewest running calls of the
// owner, as they do in the naive implementation.
Test(admissionschedule, StartOrderMatchesTheNaiveServer)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Random random = SeededRandom(seed);
    const int slots = 1 + static_cast<int>(RandomBelow(random, 8));
    ManualClock clock;
    std::vector<std::string> order;
    Admission admission(
      "host",
      clock.View(),
      { [&](const std::string& aId) { order.push_back(aId); },
        [](const std::string&, const Refusal&) { cr_assert(false); } });
    admission.SetConfiguration(CatalogueWith({}, {}), ViewOf({}));
    admission.SetEndpoint(kService, kPort, slots, 0, EndpointState::Ready);
    NaiveServer naive(slots);
    std::vector<std::string> expected;
    const auto add = [&expected](const std::vector<std::string>& aIds) {
      expected.insert(expected.end(), aIds.begin(), aIds.end());
    };
    for (int step = 0; step < 300; ++step) {
      const bool isFull =
        std::ssize(naive.waiting) >= std::ptrdiff_t{ 4 } * slots;
      const bool mayFinish = !naive.running.empty();
      if (mayFinish && (isFull || RandomBelow(random, 2) == 0)) {
        const auto index = RandomBelow(random, naive.running.size());
        const std::string id = naive.running[index].callId;
        add(naive.Finish(id));
        admission.Finish(id, 0);
      } else {
        const auto request = RandomRequest(random, step);
        add(naive.Offer(request));
        admission.Offer(request);
      }
      cr_assert(order == expected, "seed %d", static_cast<int>(seed));
    }
  }
}

// Whatever happens to the endpoint in the meantime, each call gets exactly one
// decision, no more calls run than there are slots, and none starts after its
// deadline.
Test(admissionschedule, EveryOfferIsDecidedOnceAndSlotsAreNotExceeded)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    const Random random = SeededRandom(seed);
    ManualClock clock;
    int slots = 4;
    std::map<std::string, int> decisions;
    std::map<std::string, Millis> deadlines;
    std::set<std::string> running;
    std::set<std::string> cancelled;
    Admission admission(
      "host",
      clock.View(),
      { [&](const std::string& aId) {
         ++decisions[aId];
         running.insert(aId);
         cr_assert(static_cast<int>(running.size()) <= slots);
         cr_assert(clock.View().Now() < deadlines[aId]);
       },
        [&](const std::string& aId, const Refusal&) { ++decisions[aId]; } });
    admission.SetConfiguration(CatalogueWith({}, {}), ViewOf({}));
    admission.SetEndpoint(kService, kPort, slots, 0, EndpointState::Ready);
    for (int step = 0; step < 1000; ++step) {
      clock.Advance(static_cast<double>(RandomBelow(random, 5)));
      const std::string id = std::to_string(step);
      switch (RandomBelow(random, 12)) {
        case 0:
          slots = 1 + static_cast<int>(RandomBelow(random, 6));
          admission.SetEndpoint(
            kService,
            kPort,
            slots,
            0,
            static_cast<EndpointState>(RandomBelow(random, 3)));
          break;
        case 1:
          admission.RemoveEndpoint(kService, kPort);
          break;
        case 2:
          admission.Tick();
          break;
        case 3: {
          const std::string some =
            std::to_string(RandomBelow(random, step + 1));
          if (admission.CancelWaiting(some)) {
            cancelled.insert(some);
          }
          break;
        }
        case 4:
        case 5:
        case 6:
        case 7:
          if (!running.empty()) {
            const std::string first = *running.begin();
            running.erase(first);
            admission.Finish(first, 5);
          }
          break;
        default: {
          auto request = RandomRequest(random, step);
          request.deadlineAt =
            clock.View().Now() + static_cast<Millis>(RandomBelow(random, 60));
          request.queueWait = static_cast<Millis>(RandomBelow(random, 30));
          deadlines[id] = request.deadlineAt;
          admission.Offer(request);
        }
      }
    }
    admission.RemoveEndpoint(kService, kPort);
    for (const auto& [id, deadline] : deadlines) {
      const int expected = cancelled.contains(id) ? 0 : 1;
      cr_assert_eq(decisions[id], expected, "seed %d", static_cast<int>(seed));
    }
  }
}
