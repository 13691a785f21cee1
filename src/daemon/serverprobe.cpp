#include "daemon/serverprobe.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <ace/Time_Value.h>

#include <cerrno>

namespace lacewingwharf {

bool
IsListening(const std::string& aAddress, int aPort)
{
  constexpr suseconds_t kConnectTimeoutMicros = 20000;
  ACE_SOCK_Stream stream;
  ACE_SOCK_Connector connector;
  const ACE_Time_Value timeout(0, kConnectTimeoutMicros);
  const ACE_INET_Addr remote(static_cast<u_short>(aPort), aAddress.c_str());
  const bool isConnected = connector.connect(stream, remote, &timeout) == 0;
  const bool isRefused = !isConnected && errno == ECONNREFUSED;
  stream.close();
  return !isRefused;
}

} // namespace lacewingwharf
