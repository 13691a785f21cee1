#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

/** Loopback sockets and polling helpers, for tests and benchmarks only. */
namespace lacewingwharf::loopback {

inline constexpr int kWaitTimeoutSeconds = 20;

/** Polls aState until it is true. Returns false after kWaitTimeoutSeconds. */
inline bool
Eventually(const std::function<bool()>& aState)
{
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::seconds(kWaitTimeoutSeconds);
  while (!aState()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/**
 * A blocking TCP socket that its destructor closes. With port 0, the kernel
 * chooses a free port.
 */
class Socket
{
public:
  explicit Socket(int aDescriptor = socket(AF_INET, SOCK_STREAM, 0))
    : descriptor(aDescriptor)
  {
    const timeval timeout{ kWaitTimeoutSeconds, 0 };
    setsockopt(
      this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }
  Socket(Socket&& aOther) noexcept
    : descriptor(std::exchange(aOther.descriptor, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept
  {
    std::swap(this->descriptor, aOther.descriptor);
    return *this;
  }
  ~Socket() { this->Close(); }

  void Close()
  {
    if (this->descriptor >= 0) {
      close(std::exchange(this->descriptor, -1));
    }
  }

  /** Closes the connection with a TCP reset. */
  void Reset()
  {
    const linger abort{ 1, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    this->Close();
  }

  bool Bind(const std::string& aAddress, int aPort = 0)
  {
    const int on = 1; // Connections of an earlier test may be in TIME_WAIT.
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = AddressOf(aAddress, aPort);
    return bind(this->descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
  }
  bool Listen(const std::string& aAddress, int aPort = 0)
  {
    return this->Bind(aAddress, aPort) && listen(this->descriptor, 64) == 0;
  }

  /** Unblocks other threads that wait for this socket. */
  void Shutdown() { shutdown(this->descriptor, SHUT_RDWR); }
  Socket Accept() { return Socket(accept(this->descriptor, nullptr, nullptr)); }
  bool IsValid() const { return this->descriptor >= 0; }

  bool Connect(const std::string& aAddress, int aPort)
  {
    const sockaddr_in address = AddressOf(aAddress, aPort);
    return connect(this->descriptor,
                   reinterpret_cast<const sockaddr*>(&address),
                   sizeof(address)) == 0;
  }
  bool Send(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      const ssize_t sent =
        send(this->descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /** Receives some bytes. Returns none on close, error or timeout. */
  std::string ReceiveSome()
  {
    std::array<char, 65536> buffer{};
    const ssize_t count =
      recv(this->descriptor, buffer.data(), buffer.size(), 0);
    return { buffer.data(), static_cast<std::size_t>(count > 0 ? count : 0) };
  }

  /** Receives until aText has arrived. Returns early on close or timeout. */
  std::string ReceiveUntil(std::string_view aText)
  {
    std::string received;
    while (received.find(aText) == std::string::npos) {
      const std::string more = this->ReceiveSome();
      if (more.empty()) {
        break;
      }
      received += more;
    }
    return received;
  }

  /** Receives until the peer closes the connection, or timeout. */
  std::string ReceiveAll()
  {
    std::string received;
    for (std::string more = this->ReceiveSome(); !more.empty();
         more = this->ReceiveSome()) {
      received += more;
    }
    return received;
  }

  /** Returns true if the peer closes or resets the connection in time. */
  bool IsClosedByPeer()
  {
    std::array<char, 65536> buffer{};
    while (true) {
      const ssize_t count =
        recv(this->descriptor, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return count == 0 || errno == ECONNRESET;
      }
    }
  }

  int Port() const
  {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }

private:
  static sockaddr_in AddressOf(const std::string& aAddress, int aPort)
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
    return address;
  }

  int descriptor;
};

/** Returns a port that is free now; another process may still bind it. */
inline int
FreePort(const std::string& aAddress)
{
  Socket socket;
  return socket.Bind(aAddress) ? socket.Port() : 0;
}

} // namespace lacewingwharf::loopback
