#include "usage/usagegate.h"

#include "common/hash.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

namespace {

// How long an accountant may take to reply before the other one is asked.
// Longer than a round trip between regions, including the tick of a busy host.
constexpr Millis kAskPatience = 40;

// How long the daemon remembers that a pool was empty. Limits the requests of a
// team above its cap to 20 a second and accountant.
constexpr Millis kMaxNoneMemory = 50;
constexpr Millis kMinNoneMemory = 5;

// How long an accountant that could not answer for a team is not asked again.
constexpr Millis kUnavailableMemory = 50;

// Within this time after a version is in force here, it is in force at the
// accountants; the bound of the new deployments.
constexpr Millis kVersionSpreadTime = 3000;

} // namespace

UsageGate::UsageGate(UsageGateConfig aConfig,
                     Clock aClock,
                     UsageGateHooks aHooks)
  : config(std::move(aConfig))
  , clock(std::move(aClock))
  , hooks(std::move(aHooks))
  , accountant(this->config.host,
               this->config.incarnation,
               this->config.times,
               this->clock.Now())
  , loans(this->config.host, this->config.times, this->clock.Now())
  , links(this->config.host, this->config.incarnation, this->config.times)
{
}

void
UsageGate::SetSnapshot(const SnapshotPtr& aSnapshot)
{
  if (aSnapshot == this->snapshot) {
    return;
  }
  const bool isFirst = this->snapshot == nullptr;
  const Millis now = this->clock.Now();
  this->snapshot = aSnapshot;
  static const std::vector<const Entry*> kNoTeams;
  const std::vector<const Entry*>& entries =
    aSnapshot ? aSnapshot->Teams() : kNoTeams;
  std::map<std::string, Team, std::less<>> kept;
  for (const Entry* entry : entries) {
    if (entry->team.ratePerSecond <= 0) {
      continue;
    }
    auto known = this->teams.extract(entry->name);
    const bool isNew = known.empty() && !isFirst;
    Team& team = known.empty() ? kept[entry->name]
                               : kept.insert(std::move(known)).position->second;
    team.newUntil = isNew ? now + kVersionSpreadTime : team.newUntil;
    team.name = entry->name;
    team.group = UsageGroupOf(entry->name);
    team.rate = entry->team.ratePerSecond;
    team.burst = entry->team.burst;
    this->UpdateSources(team);
  }
  std::swap(this->teams, kept);
  this->accountant.SetTeams(entries, now);
  // Calls of teams that have no cap any more need no token.
  for (auto& [name, team] : kept) {
    while (const auto waiter = team.tokens.TakeWaiter()) {
      this->hooks.decided(waiter->callId, {});
    }
  }
  this->ApplyView();
}

void
UsageGate::SetView(const EndpointViewPtr& aView)
{
  this->newView = aView;
  if (aView && aView->hasContact) {
    this->loans.SetContact(this->clock.Now());
  }
  if (aView && aView->isComplete) {
    this->loans.SetComplete(this->clock.Now());
  }
  this->ApplyView();
}

/** Without a cap, views are only kept. */
void
UsageGate::ApplyView()
{
  if (!this->newView || !this->HasCaps()) {
    return;
  }
  const EndpointViewPtr view = std::exchange(this->newView, nullptr);
  const Millis now = this->clock.Now();
  this->members.clear();
  for (const FleetMember& member : view->members) {
    this->members.emplace(member.host, member);
  }
  this->loans.SetView(*view, now);
  this->accountant.SetMembers(this->loans.Members(), now);
  this->UpdateAccountants();
  this->links.Keep(this->accountants);
}

/** The accountant in the own region is asked first. */
void
UsageGate::UpdateSources(Team& aTeam)
{
  std::array<std::string, kUsageHalves> hosts{
    this->loans.AccountantOf(aTeam.group, 0),
    this->loans.AccountantOf(aTeam.group, 1)
  };
  const auto isNear = [this](const std::string& aHost) {
    const auto member = this->members.find(aHost);
    return member != this->members.end() &&
           member->second.region == this->config.region;
  };
  const bool prefersSecond = isNear(hosts[0]) == isNear(hosts[1])
                               ? (Hash64(this->config.host) & 1U) != 0
                               : isNear(hosts[1]);
  if (prefersSecond) {
    std::swap(hosts[0], hosts[1]);
  }
  if (hosts[0] == hosts[1]) {
    hosts[1].clear();
  }
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    if (aTeam.sources[index].host != hosts[index]) {
      aTeam.sources[index] = {};
      aTeam.sources[index].host = hosts[index];
    }
  }
}

UsageDecision
UsageGate::Admit(const std::string& aCallId,
                 const Entry& aTeam,
                 WorkClass aClass,
                 Millis aRemaining,
                 Millis aWaited)
{
  const auto found = this->teams.find(aTeam.name);
  if (found == this->teams.end()) {
    return {};
  }
  const Millis now = this->clock.Now();
  Team& team = found->second;
  team.tokens.CountArrival();
  if (team.tokens.Waiting() == 0) {
    if (auto token = team.tokens.Spend(now)) {
      return { UsageVerdict::Granted, std::move(token), {} };
    }
  }
  const Millis wait =
    std::min(this->config.times.tokenWait - aWaited, aRemaining);
  if (wait > 0) {
    team.tokens.Wait(aClass, { aCallId, now + wait });
    if (this->Ask(team, now) || IsTokenDue(team, now)) {
      return { UsageVerdict::Waiting, {}, {} };
    }
    team.tokens.Cancel(aCallId);
  }
  for (Source& source : team.sources) {
    ++source.refused;
  }
  return this->RefusalOf(team, aCallId, now);
}

/**
 * Asks the next source that may have tokens. Returns false when none is left
 * and no reply is outstanding.
 */
bool
UsageGate::Ask(Team& aTeam, Millis aNow)
{
  bool isOutstanding = false;
  for (Source& source : aTeam.sources) {
    if (source.host.empty() || source.noneUntil > aNow ||
        source.unavailableUntil > aNow) {
      continue;
    }
    const Millis age = aNow - source.askedAt;
    if (source.sequence != 0 && age < this->config.times.tokenWait) {
      if (age < kAskPatience) {
        return true;
      }
      isOutstanding = true;
      continue;
    }
    if (this->links.IsSilent(source.host, aNow)) {
      continue;
    }
    wire::UsageNeed need;
    need.team = aTeam.name;
    need.waiting = aTeam.tokens.Waiting() + std::exchange(source.refused, 0);
    need.wanted = aTeam.tokens.Waiting() + aTeam.tokens.Expected();
    wire::UsageRequest request;
    request.needs.push_back(std::move(need));
    this->SendRequest(source.host, std::move(request), aNow);
    return true;
  }
  return isOutstanding;
}

void
UsageGate::SendRequest(const std::string& aTo,
                       wire::UsageRequest aRequest,
                       Millis aNow)
{
  const auto member = this->members.find(aTo);
  if (member == this->members.end()) {
    return;
  }
  this->links.Prepare(aTo, aRequest, aNow);
  aRequest.members = this->loans.Members();
  aRequest.lent = this->loans.LendTo(aTo, aNow);
  for (const wire::UsageNeed& need : aRequest.needs) {
    Team& team = this->teams.find(need.team)->second;
    const auto source = std::ranges::find(team.sources, aTo, &Source::host);
    if (source != team.sources.end()) {
      source->sequence = aRequest.sequence;
      source->askedAt = aNow;
    }
    team.counts.requested += need.wanted;
  }
  wire::Envelope envelope;
  envelope.usageRequest = std::move(aRequest);
  envelope.__isset.usageRequest = true;
  this->hooks.send(member->second, std::move(envelope));
}

wire::UsageGrant
UsageGate::HandleRequest(const wire::UsageRequest& aRequest)
{
  return this->accountant.Handle(aRequest, this->clock.Now());
}

void
UsageGate::HandleGrant(const wire::UsageGrant& aGrant)
{
  const Millis now = this->clock.Now();
  const auto request = this->links.Accept(aGrant, now);
  if (!request) {
    return;
  }
  for (const wire::UsageNeed& need : request->needs) {
    const auto answer =
      std::ranges::find(aGrant.answers, need.team, &wire::UsageAnswer::team);
    if (answer == aGrant.answers.end()) {
      this->ApplyMissingAnswer(aGrant, need.team, now);
    } else {
      wire::UsageAnswer limited = *answer;
      limited.granted = std::clamp(limited.granted, 0, need.wanted);
      limited.left = std::min(limited.left, kMaxUsageCount);
      limited.retryAfterMillis =
        std::clamp(limited.retryAfterMillis, 0, kMaxUsageCount);
      this->ApplyAnswer(aGrant, limited, request->sentAt, now);
    }
  }
}

/** The version in force at the accountant does not have the team. */
void
UsageGate::ApplyMissingAnswer(const wire::UsageGrant& aGrant,
                              const std::string& aTeam,
                              Millis aNow)
{
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    return;
  }
  Team& team = found->second;
  const auto source =
    std::ranges::find(team.sources, aGrant.host, &Source::host);
  if (source == team.sources.end() || source->sequence != aGrant.sequence) {
    return;
  }
  source->sequence = 0;
  SetUnavailable(*source, aNow);
  this->Serve(team, aNow);
}

void
UsageGate::ApplyAnswer(const wire::UsageGrant& aGrant,
                       const wire::UsageAnswer& aAnswer,
                       Millis aSentAt,
                       Millis aNow)
{
  const auto found = this->teams.find(aAnswer.team);
  if (found == this->teams.end()) {
    return;
  }
  Team& team = found->second;
  team.counts.granted += aAnswer.granted;
  team.tokens.Add({ aGrant.host,
                    aGrant.sequence,
                    aSentAt + this->config.times.tokenTime,
                    aAnswer.granted },
                  aNow);
  const auto source =
    std::ranges::find(team.sources, aGrant.host, &Source::host);
  if (source != team.sources.end()) {
    if (source->sequence == aGrant.sequence) {
      source->sequence = 0;
    }
    source->left = std::max(0, aAnswer.left);
    if (aAnswer.left < 0) {
      SetUnavailable(*source, aNow);
    } else if (aAnswer.retryAfterMillis > 0) {
      source->retryAt = aNow + aAnswer.retryAfterMillis;
      source->noneUntil = aNow + std::clamp<Millis>(aAnswer.retryAfterMillis,
                                                    kMinNoneMemory,
                                                    kMaxNoneMemory);
    }
  }
  this->Serve(team, aNow);
}

/** The accountant says nothing about the cap, like one that is silent. */
void
UsageGate::SetUnavailable(Source& aSource, Millis aNow)
{
  aSource.noneUntil = 0;
  aSource.unavailableUntil = aNow + kUnavailableMemory;
}

void
UsageGate::Serve(Team& aTeam, Millis aNow)
{
  for (const UsageWaiter& overdue : aTeam.tokens.TakeOverdue(aNow)) {
    this->Refuse(aTeam, overdue, aNow);
  }
  while (aTeam.tokens.Waiting() > 0) {
    auto token = aTeam.tokens.Spend(aNow);
    if (!token) {
      break;
    }
    const auto waiter = aTeam.tokens.TakeWaiter();
    this->hooks.decided(waiter->callId,
                        { UsageVerdict::Granted, std::move(token), {} });
  }
  if (aTeam.tokens.Waiting() == 0 || this->Ask(aTeam, aNow) ||
      IsTokenDue(aTeam, aNow)) {
    return;
  }
  while (const auto waiter = aTeam.tokens.TakeWaiter()) {
    this->Refuse(aTeam, *waiter, aNow);
  }
}

void
UsageGate::GiveBack(const std::string& aTeam, UsageToken aToken)
{
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    return;
  }
  const Millis now = this->clock.Now();
  found->second.tokens.Add(std::move(aToken), now);
}

void
UsageGate::Cancel(const std::string& aTeam, const std::string& aCallId)
{
  const auto found = this->teams.find(aTeam);
  if (found != this->teams.end()) {
    found->second.tokens.Cancel(aCallId);
  }
}

} // namespace lacewingwharf
