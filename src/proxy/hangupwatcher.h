#pragma once

#include <cstdint>
#include <functional>
#include <thread>

namespace lacewingwharf {

/** Reports sockets that the peer has closed, from a thread of its own. */
class HangupWatcher
{
public:
  using OnHangup = std::function<void(std::uint64_t)>;

  explicit HangupWatcher(OnHangup aOnHangup);
  ~HangupWatcher();

  HangupWatcher(const HangupWatcher&) = delete;
  HangupWatcher& operator=(const HangupWatcher&) = delete;

  bool Start();
  void Stop();

  /** Calls the handler once with aToken when the peer closes aSocket. */
  void Watch(int aSocket, std::uint64_t aToken);

  /** Must be called before aSocket is closed. */
  void Unwatch(int aSocket);

private:
  void Run();
  bool DispatchEvents();

  OnHangup onHangup;
  int epollDescriptor = -1;
  int stopEvent = -1;
  std::thread thread;
};

} // namespace lacewingwharf
