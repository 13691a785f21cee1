#pragma once

#include <thread>

namespace lacewingwharf {

class Site;

/** Sends heartbeats for both servers of a site, as servers do while they run.
 */
class ServerHeartbeats
{
public:
  /** aSite must exist longer than this object. */
  explicit ServerHeartbeats(const Site& aSite);

private:
  std::jthread thread;
};

} // namespace lacewingwharf
