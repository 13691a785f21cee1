#include "testkit/untrustedcrowd.h"

#include "testkit/process.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

namespace lacewingwharf {

namespace {

constexpr Millis kStep = 20;

/** The bytes of a script from a position on, up to the end of their part. */
std::string_view
PartAt(const UntrustedClient& aScript, std::size_t aPosition)
{
  const std::string_view start = aScript.start;
  if (aPosition < start.size()) {
    return start.substr(aPosition);
  }
  const std::size_t inBlocks = aPosition - start.size();
  if (inBlocks >= aScript.block.size() * aScript.blocks) {
    return {};
  }
  return std::string_view(aScript.block)
    .substr(inBlocks % aScript.block.size());
}

bool
IsBlocked()
{
  return errno == EAGAIN || errno == EINTR || errno == ENOTCONN;
}

} // namespace

UntrustedCrowd::UntrustedCrowd(std::string aAddress, int aPort)
  : address(std::move(aAddress))
  , port(aPort)
{
}

UntrustedCrowd::~UntrustedCrowd()
{
  this->isStopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
  std::ranges::for_each(this->clients, [](const Client& aClient) {
    if (aClient.socket >= 0) {
      close(aClient.socket);
    }
  });
}

void
UntrustedCrowd::Add(std::size_t aCount, const UntrustedClient& aClient)
{
  this->clients.insert(this->clients.end(), aCount, { aClient, -1, 0 });
}

void
UntrustedCrowd::Start()
{
  std::ranges::for_each(this->clients,
                        [this](Client& aClient) { this->Open(aClient); });
  this->thread = std::thread([this] { this->Run(); });
}

void
UntrustedCrowd::Open(Client& aClient) const
{
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(this->port));
  inet_pton(AF_INET, this->address.c_str(), &target.sin_addr);
  aClient.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int receiveBytes = 65536; // So that unread answers stay at the daemon.
  setsockopt(
    aClient.socket, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
  // The kernel completes it for connections that wait for being accepted too.
  if (connect(aClient.socket,
              reinterpret_cast<const sockaddr*>(&target), // NOLINT
              sizeof(target)) != 0) {
    close(std::exchange(aClient.socket, -1));
  }
}

void
UntrustedCrowd::Run()
{
  while (!this->isStopping) {
    for (Client& client : this->clients) {
      this->Send(client);
      this->Receive(client);
    }
    PauseFor(kStep);
  }
}

void
UntrustedCrowd::Send(Client& aClient)
{
  std::size_t left = aClient.script.bytesPerStep;
  while (aClient.socket >= 0 && left > 0) {
    const std::string_view part =
      PartAt(aClient.script, aClient.sent).substr(0, left);
    if (part.empty()) {
      return;
    }
    const ssize_t sent = send(
      aClient.socket, part.data(), part.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0 && !IsBlocked()) {
      this->Close(aClient);
    }
    if (sent <= 0) {
      return;
    }
    aClient.sent += static_cast<std::size_t>(sent);
    this->sentBytes += static_cast<std::size_t>(sent);
    left -= static_cast<std::size_t>(sent);
  }
}

void
UntrustedCrowd::Receive(Client& aClient)
{
  if (aClient.socket < 0 || aClient.script.readBytesPerStep == 0) {
    return;
  }
  std::string buffer(aClient.script.readBytesPerStep, '\0');
  const ssize_t count =
    recv(aClient.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count == 0 || (count < 0 && !IsBlocked())) {
    this->Close(aClient);
  }
}

void
UntrustedCrowd::Close(Client& aClient)
{
  close(std::exchange(aClient.socket, -1));
  ++this->closed;
}

} // namespace lacewingwharf
