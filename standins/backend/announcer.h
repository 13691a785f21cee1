#pragma once

#include "common/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace lacewingwharf {

/** Announces the backend server to its daemon every second. */
class Announcer
{
public:
  /** aBody gives the announcement, or an empty text to send none. */
  Announcer(std::string aUrl, std::function<std::string()> aBody);
  ~Announcer();

  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  void Start();
  void Stop();

  /** Sends the next announcement without delay. */
  void Wake();

private:
  void Run();

  std::string url;
  std::function<std::string()> body;
  std::mutex mutex;
  std::condition_variable changed;
  bool isStopping = false;
  bool isWoken = false;
  std::thread thread;
};

} // namespace lacewingwharf
