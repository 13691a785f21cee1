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
 * times as well.
 */
class SplitChooser
{
public:
  explicit SplitChooser(Random aRandom);

  /** The service for the next request of aRoute. */
  const std::string& Next(const Entry& aRoute);

private:
  struct Turns
  {
    std::vector<ServiceShare> split;
    std::vector<double> credit; // In units of weight, by position.
  };

  Turns NewTurns(const Entry& aRoute) const;

  Random random;
  std::map<std::string, Turns, std::less<>> turns; // By route.
};

} // namespace lacewingwharf
