#pragma once

#include <cstdint>
#include <functional>
#include <thread>

namespace lacewingwharf {

/** Reports, on a thread of its own, sockets whose other side has closed. */
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

  /** Reports aToken once when the other side of aSocket closes. */
  void Watch(int aSocket, std::uint64_t aToken);

  /** Must be called before aSocket is closed. */
  void Unwatch(int aSocket);

private:
  void Run();
  bool Dispatch();

  OnHangup onHangup;
  int poller = -1;
  int stopper = -1;
  std::thread thread;
};

} // namespace lacewingwharf
