// The part of EntryCalls that handles the versions of servers.

#include "execution/callanswer.h"
#include "execution/callrequest.h"
#include "execution/entrycalls.h"

namespace lacewingwharf {

/**
 * Chooses a server that is not excluded and whose version may get the call.
 * Prefers the target version of a rollout while the share allows it.
 */
std::optional<Choice>
EntryCalls::ChooseServer(const EntryCall& aCall,
                         std::set<EndpointKey> aExcluded)
{
  auto excluded = this->limitMemory.ExcludedEndpoints(*this->view, aCall);
  excluded.merge(aExcluded);
  if (this->rollouts == nullptr) {
    return this->chooser.Choose(aCall.service, excluded);
  }
  if (this->rollouts->PrefersTarget(aCall.service)) {
    auto others = excluded;
    this->rollouts->Exclude(aCall.service, VersionChoice::Target, others);
    if (auto choice = this->chooser.Choose(aCall.service, others)) {
      return choice;
    }
  }
  this->rollouts->Exclude(aCall.service, VersionChoice::Base, excluded);
  return this->chooser.Choose(aCall.service, excluded);
}

std::set<EndpointKey>
EntryCalls::ServersOfOtherVersions(const EntryCall& aCall) const
{
  std::set<EndpointKey> others;
  if (this->rollouts != nullptr) {
    this->rollouts->Exclude(aCall.service, VersionChoice::Base, others);
  }
  return others;
}

void
EntryCalls::RecordForRollout(const EntryCall& aCall,
                             CallEnd aEnd,
                             const wire::CallAnswer& aAnswer)
{
  constexpr int kServerError = 500;
  constexpr double kMicrosPerMilli = 1000;
  ServerResult result;
  switch (aAnswer.outcome) {
    case wire::CallOutcome::DONE:
      result.isAnswer = true;
      result.isFailure = aAnswer.status >= kServerError;
      result.serviceMillis = aAnswer.serviceMicros / kMicrosPerMilli;
      break;
    case wire::CallOutcome::NOT_RUN:
      result.hasReached = ReachedServer(RefusalOf(aAnswer).reason);
      break;
    case wire::CallOutcome::UNKNOWN:
      // The destination daemon answers, so the network is not the cause. A
      // caller that left may be.
      result.isAnswer = !aCall.hasCallerLeft;
      result.isFailure = true;
      break;
    default:
      // No answer: not sent, or lost with the session.
      result.hasReached = aEnd != CallEnd::Refused;
  }
  this->rollouts->RecordEnd(aCall.service,
                            aCall.attempt.endpoint,
                            aCall.attempt.rolloutOrder,
                            aCall.entry->name,
                            result);
}

} // namespace lacewingwharf
