#pragma once

#include "execution/entrycall.h"
#include "peer/peernetwork.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewingwharf {

/** Address of the destination daemon of an endpoint. */
PeerAddress
AddressOfEndpoint(const EndpointInfo& aEndpoint);

/** The key by which the chooser identifies an endpoint. */
EndpointKey
KeyOfEndpoint(const EndpointInfo& aEndpoint);

/**
 * The calls that entered at this daemon and have not ended, with their open
 * attempts.
 */
class OpenCalls
{
public:
  void Add(const EntryCallPtr& aCall);
  void Remove(const EntryCall& aCall);

  /** Null when there is none. */
  EntryCallPtr Find(const std::string& aCallId) const;
  EntryCallPtr FindRequest(RequestId aRequest) const;

  /** An answer is accepted only for an attempt that is open. */
  void OpenAttempt(const EntryCallPtr& aCall);
  void CloseAttempt(const Attempt& aAttempt);
  bool HasOpenAttempt(const EntryCall& aCall) const;
  EntryCallPtr FindAttempt(const std::string& aAttemptId) const;
  EntryCallPtr TakeAttempt(const std::string& aAttemptId);

  /**
   * Calls with an open attempt at this address whose status is not queried yet.
   */
  std::vector<EntryCallPtr> AttemptsAt(const PeerAddress& aRemote) const;

  /** Calls whose other attempt is at this address. */
  std::vector<EntryCallPtr> OtherAttemptsAt(const PeerAddress& aRemote) const;
  std::vector<EntryCallPtr> All() const;
  std::size_t Size() const;

private:
  std::unordered_map<std::string, EntryCallPtr> calls;    // By call id.
  std::unordered_map<std::string, EntryCallPtr> attempts; // By attempt id.
  std::unordered_map<RequestId, EntryCallPtr> requests;
};

inline std::size_t
OpenCalls::Size() const
{
  return this->calls.size();
}

} // namespace lacewingwharf
