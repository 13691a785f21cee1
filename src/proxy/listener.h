#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace lacewingwharf {

/** A listening TCP socket that any thread may close. */
class Listener
{
public:
  /** Takes ownership of the socket; the text is the caller's address. */
  using OnAccept = std::function<void(int, std::string)>;

  explicit Listener(OnAccept aOnAccept);
  ~Listener();

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  bool Open(const std::string& aAddress, int aPort);

  /** Registers the socket for level-triggered events, or stops them. */
  bool Register(int aEpollDescriptor, std::uint64_t aToken);
  void SetEnabled(bool aIsEnabled);

  /** Whether a connection waits to be accepted. */
  bool HasPending();

  /**
   * Accepts up to aMost pending connections. Returns false when the process
   * has no descriptors left.
   */
  bool AcceptPending(std::size_t aMost);

  /**
   * Accepts the connections in the listen queue, then closes. Closing at once
   * would reset them, although their callers may have sent requests already.
   */
  void Close();

private:
  bool Accept(std::size_t aMost);

  OnAccept onAccept;
  std::mutex mutex; // Protects the members below.
  int socket = -1;
  int epollDescriptor = -1;
  std::uint64_t token = 0;
};

} // namespace lacewingwharf
