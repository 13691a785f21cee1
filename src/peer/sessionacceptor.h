#pragma once

#include "peer/peernetwork.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>

#include <functional>

namespace lacewingwharf {

/** Accepts TCP connections and passes their streams to a callback. */
class SessionAcceptor : public ACE_Event_Handler
{
public:
  using OnAccept = std::function<void(ACE_SOCK_Stream&, const PeerAddress&)>;

  explicit SessionAcceptor(OnAccept aOnAccept);
  ~SessionAcceptor() override;

  bool Open(const PeerAddress& aListen);

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE aHandle) override;

private:
  OnAccept onAccept;
  ACE_SOCK_Acceptor acceptor;
};

} // namespace lacewingwharf
