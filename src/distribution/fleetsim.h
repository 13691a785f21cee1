#pragma once

#include "common/random.h"
#include "distribution/distributor.h"
#include "distribution/storedtext.h"
#include "distribution/testcatalogue.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lacewingwharf {

/** One simulated daemon, either a real Distributor or the naive baseline. */
struct SimNode
{
  virtual ~SimNode() = default;
  virtual void Tick() = 0;
  virtual void Deliver(const std::string& aFrom,
                       const wire::Envelope& aEnvelope) = 0;
  virtual void HandleGossip(const std::string& aFrom,
                            std::int64_t aVersion) = 0;
  virtual std::int64_t Version() const = 0;
};

/** The content of a version: entry texts by entry name. */
using Content = std::map<std::string, std::string>;

/** Numbers of invariant violations in a run. */
struct Violations
{
  int versionDecreases = 0;
  int contentMismatches = 0;
  int danglingRoutes = 0;
};

/** Rates of the simulated faults. */
struct Faults
{
  int lossPercent = 0;
  int duplicatePercent = 0;
  Millis maxDelay = 5;
};

/**
 * Simulates a few daemons of one failure domain on a manual clock, with a
 * shared FakeStore and a network that loses, delays, reorders and duplicates
 * messages.
 */
class FleetSim
{
public:
  /** A host with its present daemon and the faults that affect it. */
  struct Host
  {
    std::unique_ptr<SimNode> node;
    int generation = 0;
    std::int64_t checkedVersion = 0; // Version last seen by the checks.
    bool isPaused = false;
    bool isCutOff = false;                      // Cannot reach the platform.
    bool isPartitioned = false;                 // Cannot reach other daemons.
    std::vector<std::function<void()>> backlog; // To run when it resumes.
  };

  using MakeNode =
    std::function<std::unique_ptr<SimNode>(FleetSim&, const std::string&)>;

  FleetSim(int aHosts, std::uint64_t aSeed, MakeNode aMakeNode)
    : random(SeededRandom(aSeed))
    , makeNode(std::move(aMakeNode))
  {
    this->acceptedContent[0] = {};
    for (int index = 0; index < aHosts; ++index) {
      const std::string name = "h" + std::to_string(index);
      this->names.push_back(name);
      this->hosts[name];
    }
    for (const std::string& name : this->names) {
      this->Restart(name);
      this->ScheduleTick(name,
                         static_cast<Millis>(this->RandomNumberBelow(50)));
      this->ScheduleGossip(name);
    }
  }

  std::uint64_t RandomNumberBelow(std::uint64_t aBound)
  {
    return RandomBelow(this->random, aBound);
  }

  void ScheduleAfter(Millis aDelay, std::function<void()> aAction)
  {
    this->events.emplace(this->clock.View().Now() + aDelay, std::move(aAction));
  }

  /** Runs aAction now or, if the host is paused, when it resumes. */
  void RunOnHost(const std::string& aHost, std::function<void()> aAction)
  {
    Host& host = this->hosts.at(aHost);
    if (host.isPaused) {
      host.backlog.push_back(std::move(aAction));
    } else {
      aAction();
    }
  }

  void Run(Millis aTime)
  {
    const Millis end = this->clock.View().Now() + aTime;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto event = this->events.extract(this->events.begin());
      const Millis now = this->clock.View().Now();
      this->clock.Advance(static_cast<double>(event.key() - now));
      event.mapped()();
    }
    this->clock.Advance(static_cast<double>(end - this->clock.View().Now()));
  }

  void Restart(const std::string& aHost)
  {
    Host& host = this->hosts.at(aHost);
    host.node.reset();
    host.backlog.clear();
    host.checkedVersion = 0;
    ++host.generation;
    host.node = this->makeNode(*this, aHost);
  }

  void Resume(const std::string& aHost)
  {
    Host& host = this->hosts.at(aHost);
    host.isPaused = false;
    const auto backlog = std::exchange(host.backlog, {});
    for (const auto& action : backlog) {
      action();
    }
  }

  void Send(const std::string& aFrom,
            const std::string& aTo,
            const wire::Envelope& aEnvelope)
  {
    ++this->messages;
    const int copies =
      this->RandomNumberBelow(100) < AsUnsigned(this->faults.duplicatePercent)
        ? 2
        : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (this->IsLost(aFrom, aTo)) {
        continue;
      }
      this->ScheduleAfter(this->Delay(), [this, aFrom, aTo, aEnvelope] {
        this->RunOnHost(aTo, [this, aFrom, aTo, aEnvelope] {
          this->hosts.at(aTo).node->Deliver(aFrom, aEnvelope);
        });
      });
    }
  }

  /** Sends a message that is not counted in messages. */
  void SendDatagram(const std::string& aFrom,
                    const std::string& aTo,
                    const wire::Envelope& aEnvelope)
  {
    this->Send(aFrom, aTo, aEnvelope);
    --this->messages;
  }

  /**
   * Runs a platform job of a host after a random delay, and its completion
   * after another one.
   */
  void Submit(const std::string& aHost, PlatformJob aJob)
  {
    this->ScheduleAfter(this->Delay(), [this, aHost, job = std::move(aJob)] {
      this->store.isDown = this->hosts.at(aHost).isCutOff;
      this->store.answersToLose =
        this->RandomNumberBelow(100) < AsUnsigned(this->faults.lossPercent) ? 1
                                                                            : 0;
      const Completion done = job(this->store.Hooks());
      this->store.isDown = false;
      this->store.answersToLose = 0;
      this->RecordAcceptedContent();
      this->ScheduleAfter(
        this->Delay(), [this, aHost, done] { this->RunOnHost(aHost, done); });
    });
  }

  /**
   * Checks the new content of a host against the accepted versions, and counts
   * violations.
   */
  void Check(const std::string& aHost,
             std::int64_t aVersion,
             const Content& aContent)
  {
    Host& host = this->hosts.at(aHost);
    this->violations.versionDecreases += aVersion < host.checkedVersion ? 1 : 0;
    host.checkedVersion = aVersion;
    const auto expected = this->acceptedContent.find(aVersion);
    const bool isSame =
      expected != this->acceptedContent.end() && expected->second == aContent;
    this->violations.contentMismatches += isSame ? 0 : 1;
    AcceptedEntries entries;
    for (const auto& [name, text] : aContent) {
      entries[name] = std::make_shared<const AcceptedEntry>(
        AcceptedEntry{ ParseEntry(name, text).assume_value(), 1, text });
    }
    this->violations.danglingRoutes += HasDanglingRoute(entries) ? 1 : 0;
  }

  std::int64_t NewestAccepted() const
  {
    return this->acceptedContent.rbegin()->first;
  }

  ManualClock clock{ 1000 };
  FakeStore store;
  Faults faults;
  Violations violations;
  std::map<std::string, Host> hosts;
  std::vector<std::string> names;
  std::uint64_t messages = 0;

private:
  static std::uint64_t AsUnsigned(int aPercent)
  {
    return static_cast<std::uint64_t>(aPercent);
  }

  Millis Delay()
  {
    return static_cast<Millis>(this->RandomNumberBelow(
      static_cast<std::uint64_t>(this->faults.maxDelay) + 1));
  }

  bool IsLost(const std::string& aFrom, const std::string& aTo)
  {
    return this->hosts.at(aFrom).isPartitioned ||
           this->hosts.at(aTo).isPartitioned ||
           this->RandomNumberBelow(100) < AsUnsigned(this->faults.lossPercent);
  }

  void ScheduleTick(const std::string& aHost, Millis aDelay)
  {
    this->ScheduleAfter(aDelay, [this, aHost] {
      Host& host = this->hosts.at(aHost);
      if (!host.isPaused) {
        host.node->Tick();
      }
      this->ScheduleTick(aHost, 50);
    });
  }

  void ScheduleGossip(const std::string& aHost)
  {
    this->ScheduleAfter(
      500 + static_cast<Millis>(this->RandomNumberBelow(500)), [this, aHost] {
        const std::string& peer =
          this->names[this->RandomNumberBelow(this->names.size())];
        Host& host = this->hosts.at(aHost);
        if (!host.isPaused && peer != aHost && !this->IsLost(aHost, peer)) {
          this->ScheduleAfter(
            this->Delay(), [this, aHost, peer, version = host.node->Version()] {
              this->RunOnHost(peer, [this, aHost, peer, version] {
                this->hosts.at(peer).node->HandleGossip(aHost, version);
              });
            });
        }
        this->ScheduleGossip(aHost);
      });
  }

  /**
   * Computes the content of each version when it first appears in the store.
   */
  void RecordAcceptedContent()
  {
    const auto& objects = this->store.All();
    for (auto object = objects.lower_bound("accepted/");
         object != objects.end() && object->first.starts_with("accepted/");
         ++object) {
      const std::int64_t version =
        ParseVersionOfName(kAcceptedPrefix, object->first);
      if (this->acceptedContent.contains(version)) {
        continue;
      }
      const auto decoded = DecodeStored(object->second.value);
      const Delta& delta = decoded.assume_value().delta;
      Content content =
        delta.isWhole ? Content{} : this->acceptedContent[delta.base];
      for (const std::string& name : delta.removed) {
        content.erase(name);
      }
      for (const ChangedEntry& changed : delta.changed) {
        content[changed.name] = changed.text;
      }
      this->acceptedContent[version] = std::move(content);
    }
  }

  Random random;
  MakeNode makeNode;
  std::multimap<Millis, std::function<void()>> events;
  std::map<std::int64_t, Content> acceptedContent;
};

} // namespace lacewingwharf
