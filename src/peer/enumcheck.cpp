#include "peer/enumcheck.h"

#include <algorithm>
#include <map>
#include <vector>

namespace lacewingwharf {

namespace {

/** aNames is the table of names in the generated code. */
template<typename Enum>
bool
IsKnown(Enum aValue, const std::map<int, const char*>& aNames)
{
  return aNames.contains(static_cast<int>(aValue));
}

template<typename Enum>
std::string
DescribeUnknown(const char* aName, Enum aValue)
{
  return std::string("unknown ") + aName + " " +
         std::to_string(static_cast<int>(aValue));
}

std::optional<std::string>
UnknownValueInRecords(const std::vector<wire::MemberRecord>& aRecords)
{
  for (const wire::MemberRecord& record : aRecords) {
    if (!IsKnown(record.state, wire::_MemberState_VALUES_TO_NAMES)) {
      return DescribeUnknown("MemberState", record.state);
    }
    const auto endpoint = std::ranges::find_if(
      record.endpoints, [](const wire::Endpoint& aEndpoint) {
        return !IsKnown(aEndpoint.state, wire::_EndpointState_VALUES_TO_NAMES);
      });
    if (endpoint != record.endpoints.end()) {
      return DescribeUnknown("EndpointState", endpoint->state);
    }
  }
  return std::nullopt;
}

std::optional<std::string>
UnknownValueInClaims(const wire::Envelope& aEnvelope)
{
  const auto& request = aEnvelope.claimRequest;
  const auto& answer = aEnvelope.claimAnswer;
  if (aEnvelope.__isset.claimRequest &&
      !IsKnown(request.wanted, wire::_ClaimState_VALUES_TO_NAMES)) {
    return DescribeUnknown("ClaimState", request.wanted);
  }
  if (aEnvelope.__isset.claimAnswer &&
      !IsKnown(answer.wanted, wire::_ClaimState_VALUES_TO_NAMES)) {
    return DescribeUnknown("ClaimState", answer.wanted);
  }
  if (aEnvelope.__isset.claimAnswer &&
      !IsKnown(answer.result, wire::_ClaimResult_VALUES_TO_NAMES)) {
    return DescribeUnknown("ClaimResult", answer.result);
  }
  return std::nullopt;
}

std::optional<std::string>
UnknownValueInRollout(const wire::Envelope& aEnvelope)
{
  const auto& set = aEnvelope.__isset;
  const auto state = set.rolloutReport ? aEnvelope.rolloutReport.state
                                       : aEnvelope.rolloutShare.state;
  if (!IsKnown(state, wire::_RolloutState_VALUES_TO_NAMES)) {
    return DescribeUnknown("RolloutState", state);
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string>
UnknownEnumValue(const wire::Envelope& aEnvelope)
{
  const auto& set = aEnvelope.__isset;
  if (set.ping) {
    return UnknownValueInRecords(aEnvelope.ping.updates);
  }
  if (set.ack) {
    return UnknownValueInRecords(aEnvelope.ack.updates);
  }
  if (set.memberSync) {
    return UnknownValueInRecords(aEnvelope.memberSync.records);
  }
  if (set.domainSummary) {
    return UnknownValueInRecords(aEnvelope.domainSummary.contacts);
  }
  if (set.rolloutReport || set.rolloutShare) {
    return UnknownValueInRollout(aEnvelope);
  }
  const auto outcome = aEnvelope.callAnswer.outcome;
  if (set.callAnswer && !IsKnown(outcome, wire::_CallOutcome_VALUES_TO_NAMES)) {
    return DescribeUnknown("CallOutcome", outcome);
  }
  return UnknownValueInClaims(aEnvelope);
}

} // namespace lacewingwharf
