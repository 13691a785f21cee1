#pragma once

#include "catalogue/entry.h"
#include "common/random.h"

#include <map>
#include <string>
#include <vector>

namespace lacewingwharf {

/**
 * Divides the requests of a route among the services of its split. It gives
 * each service its turns evenly spread, so that the shares hold over short
 * times as well. They also hold nearly for the requests that run: while a
 * service refuses for want of room, the others get fewer.
 */
class SplitChooser
{
public:
  explicit SplitChooser(Random aRandom);

  /** The service for the next request of aRoute. */
  const std::string& ChooseService(const Entry& aRoute);

  /** The request did not run, as aService had no room for it. */
  void RecordRefusal(const Entry& aRoute, const std::string& aService);

private:
  struct Turns
  {
    std::vector<ServiceShare> split;
    std::vector<double> credit; // In units of weight, by position.

    /** Recent requests that ran or may run; older ones count less. */
    std::vector<double> taken;
  };

  Turns NewTurns(const Entry& aRoute) const;
  Turns& TurnsOf(const Entry& aRoute);

  Random random;
  std::map<std::string, Turns, std::less<>> turns; // By route.
};

} // namespace lacewingwharf
