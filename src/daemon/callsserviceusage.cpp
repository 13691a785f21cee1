// The part of CallsService that serves the usage caps of teams.

#include "daemon/callsservice.h"

#include <algorithm>
#include <utility>

namespace lacewingwharf {

UsageGateHooks
CallsService::UsageHooks()
{
  UsageGateHooks usageHooks;
  usageHooks.send = [this](const FleetMember& aTo, wire::Envelope aEnvelope) {
    if (aTo.host == this->settings.host) {
      this->PostLocal(std::move(aEnvelope));
      return;
    }
    // A request that is not sent counts as unanswered.
    this->hooks.send({ aTo.address, aTo.peerPort }, std::move(aEnvelope));
  };
  usageHooks.decided = [this](const std::string& aCallId,
                              UsageDecision aDecision) {
    this->entryCalls.HandleUsageDecision(aCallId, std::move(aDecision));
  };
  return usageHooks;
}

void
CallsService::SetUsageHooks(EntryCallsHooks& aHooks)
{
  aHooks.admit = [this](const EntryCall& aCall, Millis aRemaining) {
    if (aCall.team == nullptr) {
      return UsageDecision{};
    }
    const WorkClass workClass =
      aCall.team->team.workClass.value_or(aCall.entry->workClass);
    return this->usage.Admit(
      aCall.id, *aCall.team, workClass, aRemaining, aCall.http.waited);
  };
  aHooks.returnToken = [this](const EntryCall& aCall) {
    this->usage.GiveBack(aCall.team->name, *aCall.token);
  };
  aHooks.cancelAdmission = [this](const EntryCall& aCall) {
    this->usage.Cancel(aCall.team->name, aCall.id);
  };
}

/** Handled later, because the caller may be in the middle of a decision. */
void
CallsService::PostLocal(wire::Envelope aEnvelope)
{
  this->loop.Post([this, envelope = std::move(aEnvelope)]() mutable {
    this->HandleMessage(0, std::move(envelope));
  });
}

void
CallsService::HandleUsageRequest(SessionId aSession,
                                 const wire::UsageRequest& aRequest)
{
  wire::Envelope envelope;
  envelope.usageGrant = this->usage.HandleRequest(aRequest);
  envelope.__isset.usageGrant = true;
  if (aSession == 0) {
    this->PostLocal(std::move(envelope));
    return;
  }
  this->hooks.reply(aSession, std::move(envelope));
}

std::optional<UsageState>
CallsService::UsageOf(const std::string& aTeam)
{
  std::vector<UsageState> states;
  this->loop.Run([this, &states] { states = this->usage.States(); });
  const auto found = std::ranges::find(states, aTeam, &UsageState::team);
  return found == states.end() ? std::nullopt : std::optional(*found);
}

void
CallsService::ReportUsage()
{
  this->usageMetrics.Report(this->usage.States());
}

} // namespace lacewingwharf
