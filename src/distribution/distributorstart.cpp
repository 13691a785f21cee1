// The part of Distributor that finds the newest version when a process starts.

#include "common/log.h"
#include "distribution/distributor.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Log kLog("distribution");

// The largest age of a confirmation that completes the startup, as a part of
// the time in which a new version must be in force.
constexpr Millis kConfirmationDivisor = 2;

wire::Envelope
FetchEnvelope(std::int64_t aHeld, std::int64_t aQuestion)
{
  wire::ConfigFetch fetch;
  fetch.held = aHeld;
  fetch.__set_question(aQuestion);
  wire::Envelope envelope;
  envelope.__set_configFetch(fetch);
  return envelope;
}

} // namespace

void
Distributor::AdvanceStartup()
{
  this->QueryPeers(this->members);
  this->QueryPeers(this->acceptorCandidates);
  if (!this->isPlatformReadStarted && this->IsPlatformReadDue()) {
    this->isPlatformReadStarted = true;
    this->StartPlatformRead();
  }
  if (this->isStartupComplete) {
    return;
  }
  this->isStartupComplete =
    this->startRule.IsComplete(this->IsBehind(), this->IsConfirmedForStart());
  if (this->isStartupComplete) {
    kLog.Info("startup is complete with version {}",
              this->HeldSnapshot()->Version());
  }
}

/** A daemon that shares its link with no other member need not wait for one. */
bool
Distributor::IsPlatformReadDue() const
{
  const Millis now = this->clock.Now();
  return now >= this->platformReadDueAt ||
         (now >= this->aloneReadDueAt && this->IsAloneInGroup());
}

bool
Distributor::IsAloneInGroup() const
{
  const bool areMembersKnown =
    !this->hooks.hasReadMembers || this->hooks.hasReadMembers();
  return areMembersKnown &&
         std::ranges::all_of(this->members, [this](const std::string& aHost) {
           return aHost == this->config.host;
         });
}

void
Distributor::QueryPeers(std::vector<std::string> aHosts)
{
  std::erase(aHosts, this->config.host);
  if (aHosts.empty()) {
    return;
  }
  // A random first member spreads the queries over all members.
  const auto first =
    static_cast<std::ptrdiff_t>(RandomBelow(this->random, aHosts.size()));
  std::rotate(aHosts.begin(), aHosts.begin() + first, aHosts.end());
  for (const std::string& host : this->startRule.TakeDue(aHosts)) {
    this->SendFetch(host, kVersionQuery);
  }
}

void
Distributor::SendFetch(const std::string& aHost, std::int64_t aHeld)
{
  this->hooks.send(aHost, FetchEnvelope(aHeld, this->questions.Ask(aHost)));
}

void
Distributor::StartPlatformRead()
{
  if (this->isPlatformReadRunning) {
    return;
  }
  // Set before submit, which may run the job at once.
  this->isPlatformReadRunning = true;
  const bool isSubmitted = this->hooks.submit(
    this->HasAcceptor() ? this->MakeChainJob() : this->MakeDocumentJob());
  if (!isSubmitted) {
    this->isPlatformReadRunning = false;
  }
}

PlatformJob
Distributor::MakeChainJob()
{
  const std::weak_ptr<bool> guard = this->alive;
  const std::int64_t held = this->HeldSnapshot()->Version();
  return [this, guard, held, now = this->clock](const ObjectStore& aStore) {
    const Millis startedAt = now.Now();
    return Completion([this, guard, startedAt, read = ReadChain(aStore, held)] {
      if (!guard.expired()) {
        this->HandleChainRead(read, startedAt);
      }
    });
  };
}

void
Distributor::HandleChainRead(const PlatformResult<ChainReadResult>& aRead,
                             Millis aStartedAt)
{
  this->isPlatformReadRunning = false;
  if (!aRead) {
    kLog.Warning("cannot read accepted versions from the platform: {} {}",
                 kPlatformErrorNames.NameOf(aRead.assume_error().code),
                 aRead.assume_error().detail);
    return;
  }
  this->startRule.RecordPlatformAnswer();
  for (const Delta& delta : aRead.assume_value().deltas) {
    this->evidence.RecordVersion(delta.stamp.version);
    this->Offer(delta, "platform");
  }
  this->evidence.Confirm(aStartedAt);
}

std::optional<Millis>
Distributor::ConfirmedAt() const
{
  return this->IsBehind()
           ? std::nullopt
           : this->evidence.ConfirmedAt(this->HeldSnapshot()->Version());
}

/**
 * The age counts from the time at which the fetch was sent, because the answer
 * may have been on its way for long. The peer may have answered an earlier
 * fetch than the last one.
 */
void
Distributor::RecordConfirmation(const std::string& aFromHost,
                                const wire::ConfigAnswer& aAnswer)
{
  const auto question =
    aAnswer.__isset.question ? std::optional(aAnswer.question) : std::nullopt;
  const auto askedAt = this->questions.TakeAskedAt(aFromHost, question);
  if (!askedAt || !aAnswer.__isset.confirmedMillis) {
    return;
  }
  this->evidence.RecordVersion(aAnswer.held);
  this->evidence.Confirm(*askedAt -
                         std::max<Millis>(aAnswer.confirmedMillis, 0));
}

/**
 * Whether a peer has lately known the held version to be the newest. Where the
 * fleet accepts versions itself, the platform must be asked in any case.
 */
bool
Distributor::IsConfirmedForStart() const
{
  if (this->HasAcceptor() || this->HeldSnapshot()->Version() == 0) {
    return false;
  }
  const auto confirmedAt = this->ConfirmedAt();
  return confirmedAt && this->clock.Now() - *confirmedAt <=
                          this->config.rolloutTime / kConfirmationDivisor;
}

} // namespace lacewingwharf
