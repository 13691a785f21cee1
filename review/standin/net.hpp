// Sockets and HTTP/1.1 messages for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/** Milliseconds of the real, monotonic clock. */
inline long long
NowMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
    .count();
}

inline long long
UnixMs()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(long long aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

struct Address
{
  std::string ip;
  int port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in
SocketAddress(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &result.sin_addr);
  return result;
}

inline std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
  return aText;
}

/** An HTTP message. Header names are in lower case. */
struct Message
{
  std::string startLine;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& aName) const
  {
    const auto found = headers.find(aName);
    return found == headers.end() ? std::string() : found->second;
  }

  std::string Method() const
  {
    return startLine.substr(0, startLine.find(' '));
  }

  std::string Target() const
  {
    const auto first = startLine.find(' ');
    const auto last = startLine.rfind(' ');
    return first == last ? std::string()
                         : startLine.substr(first + 1, last - first - 1);
  }

  int Status() const
  {
    const auto space = startLine.find(' ');
    return space == std::string::npos ? 0
                                      : std::atoi(startLine.c_str() + space);
  }
};

/** How the reading of a message ended. */
enum class ReadEnd
{
  Whole,
  Closed,   // End of the connection before the first byte.
  Cut,      // End of the connection within the message.
  Reset,    // Reset before or within the message.
  TimedOut, // No whole message before the time limit.
  Malformed
};

inline const char*
NameOf(ReadEnd aEnd)
{
  static const char* const kNames[] = { "whole", "closed",    "cut",
                                        "reset", "timed-out", "malformed" };
  return kNames[static_cast<int>(aEnd)];
}

/** A TCP connection with a read buffer. */
class Connection
{
public:
  explicit Connection(int aSocket = -1)
    : socket(aSocket)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&& aOther) noexcept
    : socket(std::exchange(aOther.socket, -1))
    , buffer(std::move(aOther.buffer))
  {
  }
  Connection& operator=(Connection&& aOther) noexcept
  {
    Close();
    socket = std::exchange(aOther.socket, -1);
    buffer = std::move(aOther.buffer);
    return *this;
  }

  static Connection To(const Address& aAddress, int aTimeoutMs = 1000)
  {
    const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in remote = SocketAddress(aAddress);
    const int result = ::connect(
      socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
    if (result != 0) {
      pollfd wait{ socket, POLLOUT, 0 };
      int error = errno;
      socklen_t size = sizeof(error);
      if (error == EINPROGRESS) {
        error = ::poll(&wait, 1, aTimeoutMs) == 1 ? 0 : ETIMEDOUT;
        if (error == 0) {
          getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
        }
      }
      if (error != 0) {
        ::close(socket);
        return Connection();
      }
    }
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return Connection(socket);
  }

  bool IsOpen() const { return socket >= 0; }

  void Close()
  {
    if (socket >= 0) {
      ::close(std::exchange(socket, -1));
    }
  }

  bool Send(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = ::send(
        socket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count > 0) {
        sent += static_cast<std::size_t>(count);
        continue;
      }
      pollfd wait{ socket, POLLOUT, 0 };
      if (errno != EAGAIN || ::poll(&wait, 1, 2000) != 1) {
        return false;
      }
    }
    return true;
  }

  /** Reads one message with a Content-Length, or without a body. */
  ReadEnd Read(Message& aMessage, long long aTimeoutMs)
  {
    const long long limit = NowMs() + aTimeoutMs;
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      const auto more = ReadMore(limit);
      if (more != ReadEnd::Whole) {
        return buffer.empty() || more != ReadEnd::Closed ? more : ReadEnd::Cut;
      }
    }
    if (!ParseHead(buffer.substr(0, end), aMessage)) {
      return ReadEnd::Malformed;
    }
    const std::string length = aMessage.Header("content-length");
    const std::size_t size =
      length.empty() ? 0 : static_cast<std::size_t>(std::atoll(length.c_str()));
    while (buffer.size() < end + 4 + size) {
      const auto more = ReadMore(limit);
      if (more != ReadEnd::Whole) {
        return more == ReadEnd::Closed ? ReadEnd::Cut : more;
      }
    }
    aMessage.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return ReadEnd::Whole;
  }

private:
  ReadEnd ReadMore(long long aLimit)
  {
    pollfd wait{ socket, POLLIN, 0 };
    const long long left = aLimit - NowMs();
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) != 1) {
      return ReadEnd::TimedOut;
    }
    char bytes[65536];
    const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count > 0) {
      buffer.append(bytes, static_cast<std::size_t>(count));
      return ReadEnd::Whole;
    }
    return count == 0 ? ReadEnd::Closed : ReadEnd::Reset;
  }

  static bool ParseHead(const std::string& aHead, Message& aMessage)
  {
    aMessage = {};
    std::size_t begin = 0;
    while (begin <= aHead.size()) {
      const auto end = std::min(aHead.find("\r\n", begin), aHead.size());
      const std::string line = aHead.substr(begin, end - begin);
      begin = end + 2;
      if (aMessage.startLine.empty()) {
        aMessage.startLine = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      const auto value = line.find_first_not_of(" \t", colon + 1);
      aMessage.headers[Lower(line.substr(0, colon))] =
        value == std::string::npos ? std::string() : line.substr(value);
    }
    return !aMessage.startLine.empty();
  }

  int socket;
  std::string buffer;
};

/** Accepts connections and serves each of them on a thread of its own. */
class Listener
{
public:
  using Serve = std::function<void(Connection&)>;

  bool Start(const Address& aAddress, Serve aServe)
  {
    serve = std::move(aServe);
    socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in local = SocketAddress(aAddress);
    if (::bind(socket,
               reinterpret_cast<const sockaddr*>(&local),
               sizeof(local)) != 0 ||
        ::listen(socket, 1024) != 0) {
      ::close(std::exchange(socket, -1));
      return false;
    }
    std::thread([this] { Accept(); }).detach();
    return true;
  }

private:
  void Accept()
  {
    while (true) {
      const int accepted =
        ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (accepted < 0) {
        continue;
      }
      const int enabled = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
      std::thread([this, accepted] {
        Connection connection(accepted);
        serve(connection);
      }).detach();
    }
  }

  int socket = -1;
  Serve serve;
};

} // namespace review
