#pragma once

#include "common/random.h"
#include "usage/usagegate.h"
#include "usage/usagemodelmembers.h"
#include "usage/usageschedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

/**
 * A fleet of gates with a network that loses, delays and duplicates messages.
 * Hosts are killed, restarted, suspended and cut off, and the views of members
 * follow after a delay. Records the arrivals of the calls that run.
 */
class UsageModel
{
public:
  explicit UsageModel(UsageSchedule aSchedule)
    : schedule(aSchedule)
    , random(SeededRandom(aSchedule.seed))
    , snapshot(SnapshotOfTeam(kTeam, aSchedule.rate, aSchedule.burst))
    , otherSnapshot(SnapshotOfTeam("other", aSchedule.rate, aSchedule.burst))
  {
    this->nodes.resize(static_cast<std::size_t>(this->schedule.hosts) +
                       kMaxJoins);
    for (int host = 0; host < this->schedule.hosts; ++host) {
      this->members.Add();
    }
    for (int host = 0; host < this->schedule.hosts; ++host) {
      this->members.LearnAll(host);
      this->StartNode(host);
    }
  }

  void Run()
  {
    this->ScheduleArrival();
    if (this->schedule.hasTroubles) {
      this->troubles = { this->Below(5), this->Below(5) };
      this->hasStore = this->Below(2) == 0;
      this->longestPartition = this->Below(2) == 0 ? 2000 : 6000;
      if (this->schedule.isOftenCutOff) {
        this->troubles = { 0, 2, 3 };
        this->longestPartition = 8000;
        this->longestCalm = 3000;
      }
      this->longestCalm = 1500 * (1 + this->Below(3));
      this->notRunPercent = this->Below(3) * 40;
      this->lossPercent = this->Below(2) == 0 ? 0 : this->Below(20);
      this->latePercent = this->Below(2) == 0 ? 0 : this->Below(20);
      this->repeatPercent = this->Below(2) == 0 ? 0 : this->Below(20);
      this->ScheduleTrouble();
    }
    if (this->schedule.hasVersions) {
      this->ScheduleVersion();
    }
    if (this->schedule.restartAllAt > 0) {
      this->hasStore = true;
      this->At(this->schedule.restartAllAt, [this] { this->RestartAll(); });
    }
    while (!this->events.empty() &&
           this->events.top().at < this->schedule.length) {
      UsageEvent event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
  }

  /** The largest number of calls that ran and arrived in one window. */
  std::size_t WorstWindow(Millis aWindow)
  {
    std::ranges::sort(this->ran);
    std::size_t worst = 0;
    std::size_t end = 0;
    for (std::size_t first = 0; first < this->ran.size(); ++first) {
      while (end < this->ran.size() &&
             this->ran[end] < this->ran[first] + aWindow) {
        ++end;
      }
      worst = std::max(worst, end - first);
    }
    return worst;
  }

  static constexpr Millis kSecondsBefore = 2;
  static constexpr std::size_t kRestartSeconds = 6;
  std::vector<UsageSecond> SecondsOfRestart() const;

  std::vector<Millis> ran; // Arrivals.
  std::size_t offered = 0; // After the start of the fleet, as refusals.
  std::size_t refused = 0;
  std::size_t messages = 0;

  /** Tokens spent when their accountant no longer counted them. */
  int lateSpends = 0;

private:
  static constexpr const char* kTeam = "pulo";
  static constexpr Millis kTick = 20;
  static constexpr std::size_t kMaxJoins = 3;

  /** Within which every reachable host hears of a change of the members. */
  static constexpr int kSpreadTime = 1500;

  struct Node
  {
    bool HasTeam() const { return this->version % 2 == 0; }

    std::unique_ptr<UsageGate> gate; // Null while the host is down.
    int version = 0;
    std::int64_t incarnation = 0;
    Millis suspendedUntil = 0;
    int side = 0; // Of a partition.
    double filledShare = 0;
    bool hadPool = true;
    Millis acceptsAt = 0;                  // Calls.
    Millis lentAt = 0;                     // First time of a loan to it.
    std::map<std::string, Millis> waiting; // Arrivals by call.
  };

  int Below(int aBound)
  {
    return static_cast<int>(
      RandomBelow(this->random, static_cast<std::uint64_t>(aBound)));
  }

  void At(Millis aDelay, std::function<void()> aRun)
  {
    this->events.push({ this->now + std::max<Millis>(0, aDelay),
                        this->nextOrder++,
                        std::move(aRun) });
  }

  Node& NodeOf(int aHost)
  {
    return this->nodes[static_cast<std::size_t>(aHost)];
  }

  UsageTimes Times() const
  {
    UsageTimes times = MakeUsageTimes(this->schedule.bound);
    if (this->schedule.fault == UsageFault::SpentAfterExpiry) {
      times.tokenTime = 30 * times.tokenTime;
    } else if (this->schedule.fault == UsageFault::LentTwice) {
      times.relendTime = 0;
      times.spreadTime = 0;
    }
    return times;
  }

  void StartNode(int aHost)
  {
    Node& node = this->NodeOf(aHost);
    node.incarnation = ++this->nextIncarnation;
    node.filledShare = 0;
    node.waiting.clear();
    UsageGateHooks hooks;
    hooks.send = [this, aHost](const FleetMember& aTo,
                               const wire::Envelope& aSent) {
      this->SendRequest(aHost, aTo.peerPort, aSent.usageRequest);
    };
    hooks.decided = [this, aHost](const std::string& aCall,
                                  const UsageDecision& aDecision) {
      const auto call = this->NodeOf(aHost).waiting.extract(aCall);
      this->Record(aHost, call.mapped(), aDecision);
    };
    // Clocks of hosts are unrelated.
    const auto offset = static_cast<double>(1000 + this->Below(1000000));
    node.gate = std::make_unique<UsageGate>(
      UsageGateConfig{ UsageModelMembers::NameOf(aHost),
                       node.incarnation,
                       UsageModelMembers::RegionOf(aHost),
                       this->Times() },
      Clock([this, offset] { return static_cast<double>(this->now) + offset; }),
      std::move(hooks));
    this->SetVersion(aHost, this->newestVersion);
    this->UpdateView(aHost);
    this->Tick(aHost, node.incarnation);
  }

  void UpdateView(int aHost)
  {
    Node& node = this->NodeOf(aHost);
    if (!node.gate) {
      return;
    }
    if (this->schedule.fault != UsageFault::IncompleteMembers) {
      node.gate->SetView(this->members.ViewOf(aHost));
      return;
    }
    auto view = std::make_shared<EndpointView>(*this->members.ViewOf(aHost));
    view->isComplete = true;
    node.gate->SetView(view);
  }

  void Tick(int aHost, std::int64_t aIncarnation)
  {
    Node& node = this->NodeOf(aHost);
    if (!node.gate || node.incarnation != aIncarnation) {
      return;
    }
    if (this->now >= node.suspendedUntil) {
      node.gate->Tick();
      this->FillBucket(node);
    }
    this->At(kTick, [=, this] { this->Tick(aHost, aIncarnation); });
  }

  /** Injects the fault of an accountant that starts with a full bucket. */
  void FillBucket(Node& aNode)
  {
    constexpr Millis kStart = 1000;
    UsageAccountant& accountant = aNode.gate->Accountant();
    const double share = accountant.ShareOf(UsageGroupOf(kTeam));
    if (accountant.FindPool(kTeam) == nullptr) {
      aNode.hadPool = false;
      return;
    }
    if (this->schedule.fault == UsageFault::NewTeamStartsFull &&
        !std::exchange(aNode.hadPool, true)) {
      this->FillPool(accountant, share);
    }
    if (this->schedule.fault != UsageFault::FullBucketAtStart ||
        share <= aNode.filledShare) {
      return;
    }
    aNode.lentAt = aNode.filledShare == 0 ? this->now : aNode.lentAt;
    if (this->now > aNode.lentAt + kStart) {
      return;
    }
    aNode.filledShare = share;
    this->FillPool(accountant, share);
  }

  void FillPool(UsageAccountant& aAccountant, double aShare)
  {
    // As if the pool had not been refilled for a long time.
    constexpr double kLongAgo = -1e9;
    UsagePool full({ aShare, kLongAgo });
    full.SetCap(this->schedule.rate, this->schedule.burst, this->Times());
    *aAccountant.FindPool(kTeam) = std::move(full);
  }

  void SendRequest(int aFrom, int aTo, const wire::UsageRequest& aRequest)
  {
    const std::int64_t sender = this->NodeOf(aFrom).incarnation;
    this->Transmit(aFrom, aTo, [=, this] {
      const wire::UsageGrant grant =
        this->NodeOf(aTo).gate->HandleRequest(aRequest);
      this->grantedAt.emplace(std::pair(sender, aRequest.sequence), this->now);
      this->Transmit(aTo, aFrom, [=, this] {
        if (this->NodeOf(aFrom).incarnation == sender) {
          this->NodeOf(aFrom).gate->HandleGrant(grant);
        }
      });
    });
  }

  void Transmit(int aFrom, int aTo, const std::function<void()>& aDeliver)
  {
    ++this->messages;
    if (aFrom == aTo) {
      this->At(0, [=, this] { this->Deliver(aTo, aDeliver); });
      return;
    }
    const int copies = this->Below(100) < this->repeatPercent ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (this->Below(100) < this->lossPercent) {
        continue;
      }
      const bool isLate = this->Below(100) < this->latePercent;
      this->At(1 + this->Below(isLate ? 2500 : 10), [=, this] {
        if (this->NodeOf(aFrom).side == this->NodeOf(aTo).side) {
          this->Deliver(aTo, aDeliver);
        }
      });
    }
  }

  /** A suspended host receives its messages when it continues. */
  void Deliver(int aTo, const std::function<void()>& aDeliver)
  {
    Node& node = this->NodeOf(aTo);
    if (!node.gate) {
      return;
    }
    if (this->now < node.suspendedUntil) {
      this->At(node.suspendedUntil - this->now,
               [=, this] { this->Deliver(aTo, aDeliver); });
      return;
    }
    aDeliver();
  }

  void ScheduleArrival()
  {
    if (this->now >= this->loadUntil && !this->schedule.isLoadSteady) {
      this->loadUntil = this->now + 100 + this->Below(3000);
      const std::array<double, 4> loads{
        0.1, 1, this->schedule.load, this->schedule.load
      };
      this->load = loads[static_cast<std::size_t>(this->Below(4))];
    } else if (this->schedule.isLoadSteady) {
      this->load = this->schedule.load;
    }
    const double mean = 1000.0 / (this->load * this->schedule.rate);
    const Millis gap =
      this->schedule.isBursty
        ? this->RandomGapMicros(mean)
        : Millis{ this->Below(static_cast<int>(2000 * mean)) } + 500;
    this->arrivalMicros += gap;
    this->At(this->arrivalMicros / 1000 - this->now, [this] {
      this->Arrive(this->Below(this->members.Size()));
      this->ScheduleArrival();
    });
  }

  Millis RandomGapMicros(double aMean)
  {
    constexpr int kSteps = 1000000;
    const double part =
      static_cast<double>(1 + this->Below(kSteps)) / (kSteps + 1);
    return static_cast<Millis>(-std::log(part) * 1000 * aMean);
  }

  void Arrive(int aHost)
  {
    Node& node = this->NodeOf(aHost);
    if (!node.gate || !node.HasTeam() ||
        this->now < std::max(node.suspendedUntil, node.acceptsAt)) {
      return;
    }
    this->offered += this->now >= this->schedule.warmUp ? 1 : 0;
    const std::string call = fmt::format("{}", ++this->nextCall);
    node.waiting.emplace(call, this->now);
    constexpr Millis kRemaining = 1000;
    const UsageDecision decision =
      node.gate->Admit(call,
                       *this->snapshot->Teams().front(),
                       WorkClass::Interactive,
                       kRemaining,
                       0);
    if (decision.verdict != UsageVerdict::Waiting) {
      node.waiting.erase(call);
      this->Record(aHost, this->now, decision);
    }
  }

  void Record(int aHost, Millis aArrival, const UsageDecision& aDecision)
  {
    if (!aDecision.token && aDecision.verdict == UsageVerdict::Granted) {
      return; // The team was removed while the call waited.
    }
    if (this->NodeOf(aHost).side == 0) {
      this->arrivals.emplace_back(aArrival,
                                  aDecision.verdict == UsageVerdict::Granted);
    }
    if (aDecision.verdict == UsageVerdict::Refused) {
      this->refused += aArrival >= this->schedule.warmUp ? 1 : 0;
      return;
    }
    const auto key =
      std::pair(this->NodeOf(aHost).incarnation, aDecision.token->sequence);
    const Millis grantEnd =
      this->grantedAt.at(key) +
      MakeUsageTimes(this->schedule.bound).outstandingTime;
    this->lateSpends += this->now > grantEnd ? 1 : 0;
    const bool isRefusedLater = this->Below(100) < this->notRunPercent;
    if (!isRefusedLater) {
      this->ran.push_back(aArrival);
      return;
    }
    // A call that did not run returns its token.
    const std::int64_t incarnation = this->NodeOf(aHost).incarnation;
    this->At(this->Below(300), [=, this] {
      this->Deliver(aHost, [=, this] {
        if (this->NodeOf(aHost).incarnation == incarnation) {
          this->NodeOf(aHost).gate->GiveBack(kTeam, *aDecision.token);
        }
      });
    });
  }

  void ScheduleVersion();
  void SetVersion(int aHost, int aVersion);
  void RestartAll();
  std::vector<bool> CutOffSome();
  void StartAgain(int aHost);
  void ScheduleTrouble();
  void Suspect(int aHost);
  void Kill(int aHost);
  void Join();
  void LearnMembers(int aHost, std::int64_t aIncarnation, Millis aStartedAt);
  bool CanReach(int aHost, int aPeer);
  void Partition();
  void SpreadChange();

  UsageSchedule schedule;
  Random random;
  SnapshotPtr snapshot;
  SnapshotPtr otherSnapshot; // Without the team.
  int newestVersion = 0;     // Those with odd numbers do not have the team.
  std::vector<Node> nodes;   // Those of hosts that have not joined are unused.
  UsageModelMembers members;
  std::map<std::pair<std::int64_t, std::int64_t>, Millis> grantedAt;
  std::priority_queue<UsageEvent> events;
  std::uint64_t nextOrder = 0;
  std::int64_t nextIncarnation = 0;
  std::uint64_t nextCall = 0;
  std::vector<std::pair<Millis, bool>> arrivals; // And whether granted.
  Millis allAcceptAt = 0;                        // After a restart of all.
  Millis now = 0;
  Millis arrivalMicros = 0;
  Millis loadUntil = 0;
  double load = 0;
  std::vector<int> troubles;
  bool hasStore = false; // The list of members in the store can be read.
  int longestCalm = 0;
  int longestPartition = 1;
  bool isCut = false;
  int notRunPercent = 0; // Of the calls that have a token.
  int lossPercent = 0;
  int latePercent = 0;
  int repeatPercent = 0;
};

} // namespace lacewingwharf::testing

#include "usage/usagemodelrestart.h"
#include "usage/usagemodeltroubles.h"
#include "usage/usagemodelversions.h"
