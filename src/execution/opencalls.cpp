#include "execution/opencalls.h"

#include <algorithm>
#include <iterator>

namespace lacewingwharf {

PeerAddress
AddressOfEndpoint(const EndpointInfo& aEndpoint)
{
  return { aEndpoint.address, aEndpoint.peerPort };
}

EndpointKey
KeyOfEndpoint(const EndpointInfo& aEndpoint)
{
  return { aEndpoint.host, aEndpoint.port };
}

void
OpenCalls::Add(const EntryCallPtr& aCall)
{
  this->calls.emplace(aCall->id, aCall);
  this->requests.emplace(aCall->request, aCall);
}

void
OpenCalls::Remove(const EntryCall& aCall)
{
  // The table may hold the last reference to the call.
  const std::string id = aCall.id;
  this->requests.erase(aCall.request);
  this->calls.erase(id);
}

EntryCallPtr
OpenCalls::Find(const std::string& aCallId) const
{
  const auto found = this->calls.find(aCallId);
  return found == this->calls.end() ? nullptr : found->second;
}

EntryCallPtr
OpenCalls::FindRequest(RequestId aRequest) const
{
  const auto found = this->requests.find(aRequest);
  return found == this->requests.end() ? nullptr : found->second;
}

void
OpenCalls::OpenAttempt(const EntryCallPtr& aCall)
{
  this->attempts.emplace(aCall->attempt.id, aCall);
}

void
OpenCalls::CloseAttempt(const Attempt& aAttempt)
{
  this->attempts.erase(aAttempt.id);
}

bool
OpenCalls::HasOpenAttempt(const EntryCall& aCall) const
{
  return this->attempts.contains(aCall.attempt.id);
}

EntryCallPtr
OpenCalls::FindAttempt(const std::string& aAttemptId) const
{
  const auto found = this->attempts.find(aAttemptId);
  return found == this->attempts.end() ? nullptr : found->second;
}

EntryCallPtr
OpenCalls::TakeAttempt(const std::string& aAttemptId)
{
  const auto taken = this->attempts.extract(aAttemptId);
  return taken.empty() ? nullptr : taken.mapped();
}

std::vector<EntryCallPtr>
OpenCalls::AttemptsAt(const PeerAddress& aRemote) const
{
  std::vector<EntryCallPtr> found;
  for (const auto& [id, call] : this->attempts) {
    if (call->stage == CallStage::Attempting && id == call->attempt.id &&
        AddressOfEndpoint(call->attempt.endpoint) == aRemote) {
      found.push_back(call);
    }
  }
  return found;
}

std::vector<EntryCallPtr>
OpenCalls::OtherAttemptsAt(const PeerAddress& aRemote) const
{
  auto found = this->All();
  std::erase_if(found, [&aRemote](const EntryCallPtr& aCall) {
    return !aCall->otherAttempt ||
           AddressOfEndpoint(aCall->otherAttempt->endpoint) != aRemote;
  });
  return found;
}

std::vector<EntryCallPtr>
OpenCalls::All() const
{
  std::vector<EntryCallPtr> all;
  all.reserve(this->calls.size());
  std::ranges::transform(this->calls,
                         std::back_inserter(all),
                         [](const auto& aPair) { return aPair.second; });
  return all;
}

} // namespace lacewingwharf
