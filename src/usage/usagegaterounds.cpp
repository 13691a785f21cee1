// The part of UsageGate that runs at regular intervals.

#include "usage/usagegate.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

void
UsageGate::Tick()
{
  if (!this->HasCaps()) {
    return;
  }
  const Millis now = this->clock.Now();
  this->HandlePause(now);
  this->UpdateIsolation(now);
  this->loans.Advance(now);
  for (const std::string& host : this->loans.TakeNewHolders()) {
    this->links.SetDue(host);
  }
  this->accountant.SetMembers(this->loans.Members(), now);
  for (auto& [name, team] : this->teams) {
    if (team.tokens.Waiting() > 0) {
      this->Serve(team, now);
    }
  }
  if (now >= this->nextRoundAt) {
    this->nextRoundAt = now + this->config.times.roundInterval;
    this->StartRound(now);
  }
  for (const std::string& host : this->accountants) {
    if (this->links.IsDue(host, now)) {
      this->SendRequest(host, {}, now);
    }
  }
}

/** After a pause of this daemon, missing replies prove nothing. */
void
UsageGate::HandlePause(Millis aNow)
{
  const Millis previous = std::exchange(this->tickedAt, aNow);
  if (aNow - previous > this->config.times.silence / 2) {
    this->links.RestartSilence(aNow);
  }
}

/** Requests tokens for the next interval and returns those that end in it. */
void
UsageGate::StartRound(Millis aNow)
{
  for (auto& [name, team] : this->teams) {
    team.tokens.EndRound();
  }
  for (const std::string& host : this->accountants) {
    wire::UsageRequest request = this->RoundRequest(host, aNow);
    if (!request.needs.empty() || !request.returns.empty()) {
      this->SendRequest(host, std::move(request), aNow);
    }
  }
}

wire::UsageRequest
UsageGate::RoundRequest(const std::string& aTo, Millis aNow)
{
  wire::UsageRequest request;
  const Millis roundEnd = aNow + this->config.times.roundInterval;
  for (auto& [name, team] : this->teams) {
    if (team.tokens.IsIdle()) {
      continue;
    }
    const auto source = std::ranges::find(team.sources, aTo, &Source::host);
    if (source == team.sources.end()) {
      continue;
    }
    for (const UsageToken& token :
         team.tokens.TakeExpiring(aTo, roundEnd, aNow)) {
      wire::UsageReturn unspent;
      unspent.team = name;
      unspent.sequence = token.sequence;
      unspent.count = token.count;
      team.counts.returned += token.count;
      request.returns.push_back(std::move(unspent));
    }
    const bool isFirst = source == team.sources.begin();
    const int lacking = team.tokens.Expected() - team.tokens.Held(aNow);
    if (!isFirst || lacking <= 0 || source->sequence != 0) {
      continue;
    }
    wire::UsageNeed need;
    need.team = name;
    need.wanted = lacking;
    request.needs.push_back(std::move(need));
  }
  return request;
}

/**
 * While no accountant of a group replies, this daemon uses its own share. It
 * continues to ask the accountants that the members determine.
 */
void
UsageGate::UpdateIsolation(Millis aNow)
{
  for (int group = 0; group < kUsageGroups; ++group) {
    bool isSilent = true;
    for (int half = 0; half < kUsageHalves; ++half) {
      const std::string& host = this->loans.ChosenAccountantOf(group, half);
      isSilent = isSilent && !host.empty() && this->links.IsSilent(host, aNow);
    }
    if (isSilent == this->loans.IsIsolated(group)) {
      continue;
    }
    this->loans.SetIsolated(group, isSilent, aNow);
    this->UpdateAccountants();
  }
}

void
UsageGate::UpdateAccountants()
{
  std::vector<std::string>& hosts = this->accountants;
  hosts.clear();
  for (int group = 0; group < kUsageGroups; ++group) {
    for (int half = 0; half < kUsageHalves; ++half) {
      hosts.push_back(this->loans.AccountantOf(group, half));
      hosts.push_back(this->loans.ChosenAccountantOf(group, half));
    }
  }
  std::ranges::sort(hosts);
  hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
  std::erase(hosts, std::string());
  for (auto& [name, team] : this->teams) {
    this->UpdateSources(team);
  }
}

std::vector<UsageState>
UsageGate::States()
{
  const Millis now = this->clock.Now();
  std::vector<UsageState> states;
  for (auto& [name, team] : this->teams) {
    UsageState state;
    state.team = name;
    state.rate = team.rate;
    state.burst = team.burst;
    state.counts = team.counts;
    for (const Source& source : team.sources) {
      if (!source.host.empty()) {
        state.accountants.push_back(source.host);
      }
    }
    state.poolLeft = this->accountant.CurrentPool(name, now)->Left();
    state.halves = this->accountant.LoansOf(team.group);
    states.push_back(std::move(state));
  }
  return states;
}

/**
 * Whether a pool is expected to have a token while the next call still waits:
 * an empty one that is refilled, or the one of a new team at an accountant that
 * does not have the version yet. The first calls of a new team would be refused
 * otherwise although they are far below the cap.
 */
bool
UsageGate::IsTokenDue(const Team& aTeam, Millis aNow)
{
  return std::ranges::any_of(aTeam.sources, [&](const Source& aSource) {
    const bool isLearning = aNow < aTeam.newUntil &&
                            aSource.unavailableUntil > aNow &&
                            aSource.unavailableUntil < aTeam.tokens.NextUntil();
    const bool isRefilled =
      aSource.noneUntil > aNow && aSource.retryAt <= aTeam.tokens.NextUntil();
    return !aSource.host.empty() && (isLearning || isRefilled);
  });
}

} // namespace lacewingwharf
