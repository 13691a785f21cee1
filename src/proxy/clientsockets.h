#pragma once

#include <curl/curl.h>

#include <map>
#include <set>
#include <utility>

namespace lacewingwharf {

/**
 * The sockets of the connections of a libcurl multi handle. libcurl does not
 * tell which socket a transfer is about to use, only the ports of its
 * connection.
 */
class ClientSockets
{
public:
  /** Makes the connections that this handle opens known here. */
  void Track(CURL* aHandle);

  /** Whether bytes have arrived on a connection that were not read yet. */
  bool HasUnreadBytes(int aLocalPort, int aRemotePort);

private:
  using Ports = std::pair<int, int>; // Local and remote.

  static curl_socket_t OnOpen(void* aSockets,
                              curlsocktype aPurpose,
                              curl_sockaddr* aAddress);
  static int OnClose(void* aSockets, curl_socket_t aSocket);

  void ReadPorts();

  std::set<curl_socket_t> opening; // Ports not known yet.
  std::map<Ports, curl_socket_t> open;
};

} // namespace lacewingwharf
