#pragma once

#include "admission/admissionharness.h"
#include "common/random.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf::testing {

/** A team of the model, its load, and what its callers got. */
struct LoadTeam
{
  std::string name;
  double usualPerSecond = 0;
  double offeredPerSecond = 0;
  int offered = 0;
  int served = 0; // Answered in time.

  double Fraction() const
  {
    return this->offered == 0
             ? 1
             : static_cast<double>(this->served) / this->offered;
  }
};

/** Load of the model; the teams' usual loads are scaled to reach it. */
struct LoadPlan
{
  double loadOfCapacity = 1.5;
  std::size_t greedyRank = 0; // The largest team has rank 0.
  double greedyFactor = 5;
  bool hasCaps = true;
  bool hasTeams = true; // Otherwise the calls carry no team.
  double seconds = 300;
  std::uint64_t seed = 1;
};

/**
 * 10 servers of 6 slots with uneven speed and the calls of 83 teams of uneven
 * size. A call goes to the less loaded of two random servers and, when it is
 * refused, to two others, as an entry daemon does it for calls that did not
 * run.
 */
class TeamLoad
{
public:
  static constexpr int kTeams = 83;

  explicit TeamLoad(LoadPlan aPlan)
    : plan(aPlan)
    , random(SeededRandom(aPlan.seed))
  {
    this->MakeTeams();
    const SnapshotPtr catalogue = this->Catalogue();
    for (std::size_t index = 0; index < kMeanMillis.size(); ++index) {
      this->AddServer(index, catalogue);
    }
  }

  void Run()
  {
    for (std::size_t team = 0; team < this->teams.size(); ++team) {
      this->PushArrival(team);
    }
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->clock.Advance(event.at - this->Now());
      this->Handle(event);
    }
  }

  std::vector<LoadTeam> teams;

private:
  static constexpr int kSlots = 6;
  static constexpr int kRoutes = 4;
  static constexpr int kServersTried = 3;
  static constexpr Millis kTarget = 500;
  static constexpr Millis kDeadline = 1500;
  static constexpr double kCapOfUsual = 1.6;
  static inline const std::vector<double> kMeanMillis{
    70, 80, 90, 100, 110, 120, 140, 160, 200, 250
  };

  enum class EventKind
  {
    Arrival,
    End
  };

  struct Event
  {
    double at = 0;
    EventKind kind = EventKind::Arrival;
    std::size_t team = 0;
    std::size_t call = 0;

    bool operator<(const Event& aOther) const { return this->at > aOther.at; }
  };

  struct Call
  {
    std::size_t team = 0;
    std::size_t route = 0;
    double arrivedAt = 0;
    double startedAt = 0;
    std::vector<std::size_t> tried;
  };

  /** Calls a second that all servers together can run. */
  static double Capacity()
  {
    return std::accumulate(
      kMeanMillis.begin(), kMeanMillis.end(), 0.0, [](double aSum, double aMs) {
        return aSum + kSlots * 1000 / aMs;
      });
  }

  double Now() const { return this->clock.View().PreciseNow(); }

  double Uniform() const
  {
    return static_cast<double>(this->random() >> 11U) * 0x1.0p-53;
  }

  /** Usual loads of 400 to 3 calls a second over all servers of a fleet. */
  static double SizeOfRank(std::size_t aRank)
  {
    const double exponent = std::log(400.0 / 3) / std::log(kTeams);
    return 400 / std::pow(static_cast<double>(aRank + 1), exponent);
  }

  void MakeTeams()
  {
    double total = 0;
    for (std::size_t rank = 0; rank < kTeams; ++rank) {
      LoadTeam team;
      team.name = "team" + std::to_string(rank);
      team.usualPerSecond = SizeOfRank(rank);
      team.offeredPerSecond =
        team.usualPerSecond *
        (rank == this->plan.greedyRank ? this->plan.greedyFactor : 1);
      total += team.offeredPerSecond;
      this->teams.push_back(team);
    }
    const double scale = this->plan.loadOfCapacity * Capacity() / total;
    for (LoadTeam& team : this->teams) {
      team.usualPerSecond *= scale;
      team.offeredPerSecond *= scale;
    }
  }

  SnapshotPtr Catalogue() const
  {
    AcceptedEntries entries = CatalogueWith({}, {})->Entries();
    for (std::size_t rank = 0; rank < kTeams; ++rank) {
      Entry team;
      team.name = "team." + this->teams[rank].name;
      team.kind = EntryKind::Team;
      team.owner = this->teams[rank].name;
      team.team.keyDigests = { team.owner };
      if (this->plan.hasCaps) {
        team.team.ratePerSecond =
          static_cast<int>(std::lround(SizeOfRank(rank) * kCapOfUsual));
      }
      AddEntry(entries, team);
    }
    return Snapshot::Build({ 1, 0, 0 }, std::move(entries)).value();
  }

  void AddServer(std::size_t aIndex, const SnapshotPtr& aCatalogue)
  {
    Admission::Hooks hooks;
    hooks.start = [this, aIndex](const std::string& aId) {
      const std::size_t id = std::stoul(aId);
      Call& call = this->calls[id];
      call.startedAt = this->Now();
      const double routeFactor = 0.7 + 0.2 * static_cast<double>(call.route);
      const double millis =
        kMeanMillis[aIndex] * routeFactor * (0.5 + this->Uniform());
      this->events.push({ this->Now() + millis, EventKind::End, 0, id });
    };
    hooks.refuse = [this](const std::string& aId, const Refusal&) {
      this->Send(std::stoul(aId));
    };
    auto server = std::make_unique<Admission>(
      "host" + std::to_string(aIndex), this->clock.View(), std::move(hooks));
    server->SetConfiguration(aCatalogue, ViewOf({}));
    server->SetEndpoint(kService, kPort, kSlots, 0, EndpointState::Ready);
    this->servers.push_back(std::move(server));
  }

  void PushArrival(std::size_t aTeam)
  {
    const double mean = 1000 / this->teams[aTeam].offeredPerSecond;
    const double at = this->Now() - mean * std::log(1 - this->Uniform());
    if (at < this->plan.seconds * 1000) {
      this->events.push({ at, EventKind::Arrival, aTeam, 0 });
    }
  }

  void Handle(const Event& aEvent)
  {
    if (aEvent.kind == EventKind::End) {
      this->End(aEvent.call);
      return;
    }
    this->Begin(aEvent.team);
    this->PushArrival(aEvent.team);
  }

  void Begin(std::size_t aTeam)
  {
    Call call;
    call.team = aTeam;
    call.route = RandomBelow(this->random, kRoutes);
    call.arrivedAt = this->Now();
    this->calls.push_back(call);
    ++this->teams[aTeam].offered;
    this->Send(this->calls.size() - 1);
  }

  double LoadOf(std::size_t aServer) const
  {
    const EndpointLoad load = this->servers[aServer]->LoadOf(kService, kPort);
    return (load.running + load.waiting) * kMeanMillis[aServer];
  }

  /** Sends the call to the less loaded of two random servers not yet tried. */
  void Send(std::size_t aCall)
  {
    Call& call = this->calls[aCall];
    if (call.tried.size() >= kServersTried) {
      return;
    }
    std::vector<std::size_t> others;
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      if (std::ranges::find(call.tried, index) == call.tried.end()) {
        others.push_back(index);
      }
    }
    const std::size_t one = others[RandomBelow(this->random, others.size())];
    const std::size_t two = others[RandomBelow(this->random, others.size())];
    const std::size_t chosen =
      this->LoadOf(two) < this->LoadOf(one) ? two : one;
    call.tried.push_back(chosen);
    AdmissionRequest request = RequestOf(std::to_string(aCall));
    request.owner = "route" + std::to_string(call.route);
    request.entry = request.owner;
    request.team =
      this->plan.hasTeams ? this->teams[call.team].name : std::string();
    const auto arrivedAt = static_cast<Millis>(call.arrivedAt);
    request.targetAt = arrivedAt + kTarget;
    request.deadlineAt = arrivedAt + kDeadline;
    this->servers[chosen]->Offer(request);
  }

  void End(std::size_t aCall)
  {
    const Call& call = this->calls[aCall];
    const bool isInTime =
      this->Now() - call.arrivedAt <= static_cast<double>(kTarget);
    this->teams[call.team].served += isInTime ? 1 : 0;
    this->servers[call.tried.back()]->Finish(std::to_string(aCall),
                                             this->Now() - call.startedAt);
  }

  LoadPlan plan;
  Random random;
  ManualClock clock;
  std::priority_queue<Event> events;
  std::vector<Call> calls;
  std::vector<std::unique_ptr<Admission>> servers;
};

} // namespace lacewingwharf::testing
