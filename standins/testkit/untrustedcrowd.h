#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace lacewingwharf {

/** What each client of a crowd sends on its connection, and how it reads. */
struct UntrustedClient
{
  std::string start;
  std::string block; // Repeated after the start.
  std::size_t blocks = 0;

  /** Most bytes that are sent, and read, every 20 ms. */
  std::size_t bytesPerStep = 1U << 20U;
  std::size_t readBytesPerStep = 0;
};

/**
 * Clients on connections of their own, run by one thread. A client that has
 * sent everything, or whose connection is closed, does nothing further: what it
 * has opened stays open until the crowd is destroyed.
 */
class UntrustedCrowd
{
public:
  UntrustedCrowd(std::string aAddress, int aPort);
  ~UntrustedCrowd();

  UntrustedCrowd(const UntrustedCrowd&) = delete;
  UntrustedCrowd& operator=(const UntrustedCrowd&) = delete;

  /** To be called before Start(). */
  void Add(std::size_t aCount, const UntrustedClient& aClient);
  void Start();

  /** Bytes sent by all clients, and connections that the other side closed. */
  std::size_t SentBytes() const;
  std::size_t Closed() const;

private:
  struct Client
  {
    UntrustedClient script;
    int socket = -1;
    std::size_t sent = 0;
  };

  void Run();
  void Open(Client& aClient) const;
  void Send(Client& aClient);
  void Receive(Client& aClient);
  void Close(Client& aClient);

  std::string address;
  int port;
  std::vector<Client> clients;
  std::atomic<bool> isStopping{ false };
  std::atomic<std::size_t> sentBytes{ 0 };
  std::atomic<std::size_t> closed{ 0 };
  std::thread thread;
};

inline std::size_t
UntrustedCrowd::SentBytes() const
{
  return this->sentBytes;
}

inline std::size_t
UntrustedCrowd::Closed() const
{
  return this->closed;
}

} // namespace lacewingwharf
