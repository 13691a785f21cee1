// The part of EntryCalls that applies the usage caps of teams.

#include "execution/entrycalls.h"

#include <utility>

namespace lacewingwharf {

void
EntryCalls::Admit(const EntryCallPtr& aCall)
{
  if (!this->hooks.admit) {
    this->StartAdmitted(aCall);
    return;
  }
  aCall->stage = CallStage::AwaitingToken;
  this->ApplyUsageDecision(aCall,
                           this->hooks.admit(*aCall, this->Remaining(*aCall)));
}

void
EntryCalls::HandleUsageDecision(const std::string& aCallId,
                                UsageDecision aDecision)
{
  const EntryCallPtr call = this->openCalls.Find(aCallId);
  if (call && call->stage == CallStage::AwaitingToken) {
    this->ApplyUsageDecision(call, std::move(aDecision));
  }
}

void
EntryCalls::ApplyUsageDecision(const EntryCallPtr& aCall,
                               UsageDecision aDecision)
{
  switch (aDecision.verdict) {
    case UsageVerdict::Waiting:
      return;
    case UsageVerdict::Refused:
      this->Refuse(aCall, aDecision.refusal);
      return;
    case UsageVerdict::Granted:
      aCall->token = std::move(aDecision.token);
      this->StartAdmitted(aCall);
  }
}

/** Ends a call whose caller left while it waited for a token. */
void
EntryCalls::LeaveAdmission(const EntryCallPtr& aCall)
{
  this->hooks.cancelAdmission(*aCall);
  this->RefuseWithReason(aCall, RefusalReason::CallerLeft);
}

void
EntryCalls::ReturnUnusedToken(EntryCall& aCall, const Ending& aEnding)
{
  if (aCall.token && aEnding.outcome == Outcome::NotRun) {
    this->hooks.returnToken(aCall);
  }
  aCall.token.reset();
}

} // namespace lacewingwharf
