#pragma once

#include "common/clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace lacewingwharf {

/** Sends the announcement of the backend server to its daemon every second. */
class Announcer
{
public:
  /** aMakeBody returns the announcement; nothing is sent while it is empty. */
  Announcer(std::string aUrl, std::function<std::string()> aMakeBody);
  ~Announcer();

  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  void Start();
  void Stop();

  /** Sends the next announcement without waiting for the interval. */
  void Wake();

private:
  void Run();

  std::string url;
  std::function<std::string()> makeBody;
  std::mutex mutex;
  std::condition_variable changed;
  bool isStopping = false;
  bool isWoken = false;
  std::thread thread;
};

} // namespace lacewingwharf
