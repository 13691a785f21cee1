#include "proxy/clientsockets.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace lacewingwharf {

void
ClientSockets::Track(CURL* aHandle)
{
  curl_easy_setopt(aHandle, CURLOPT_OPENSOCKETFUNCTION, &ClientSockets::OnOpen);
  curl_easy_setopt(aHandle, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(
    aHandle, CURLOPT_CLOSESOCKETFUNCTION, &ClientSockets::OnClose);
  curl_easy_setopt(aHandle, CURLOPT_CLOSESOCKETDATA, this);
}

curl_socket_t
ClientSockets::OnOpen(void* aSockets,
                      curlsocktype /*aPurpose*/,
                      curl_sockaddr* aAddress)
{
  const curl_socket_t opened =
    socket(aAddress->family, aAddress->socktype, aAddress->protocol);
  if (opened != CURL_SOCKET_BAD) {
    static_cast<ClientSockets*>(aSockets)->opening.insert(opened);
  }
  return opened;
}

int
ClientSockets::OnClose(void* aSockets, curl_socket_t aSocket)
{
  auto* sockets = static_cast<ClientSockets*>(aSockets);
  sockets->opening.erase(aSocket);
  std::erase_if(sockets->open, [aSocket](const auto& aOpen) {
    return aOpen.second == aSocket;
  });
  return close(aSocket);
}

bool
ClientSockets::HasUnreadBytes(int aLocalPort, int aRemotePort)
{
  const Ports ports(aLocalPort, aRemotePort);
  if (!this->open.contains(ports)) {
    this->ReadPorts();
  }
  const auto found = this->open.find(ports);
  char byte = 0;
  return found != this->open.end() &&
         recv(found->second, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

/** Moves the sockets that are connected by now from opening to open. */
void
ClientSockets::ReadPorts()
{
  std::erase_if(this->opening, [this](curl_socket_t aSocket) {
    sockaddr_in local{};
    sockaddr_in remote{};
    socklen_t size = sizeof(local);
    socklen_t remoteSize = sizeof(remote);
    const bool isConnected =
      getsockname(aSocket, reinterpret_cast<sockaddr*>(&local), &size) == 0 &&
      getpeername(aSocket, reinterpret_cast<sockaddr*>(&remote), &remoteSize) ==
        0;
    if (isConnected) {
      this->open[{ ntohs(local.sin_port), ntohs(remote.sin_port) }] = aSocket;
    }
    return isConnected;
  });
}

} // namespace lacewingwharf
