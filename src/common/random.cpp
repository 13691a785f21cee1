#include "common/random.h"

#include <memory>
#include <random>

namespace lacewingwharf {

Random
SeededRandom(std::uint64_t aSeed)
{
  return
    [engine = std::make_shared<std::mt19937_64>(aSeed)] { return (*engine)(); };
}

Random
SystemRandom()
{
  std::random_device device;
  const std::uint64_t high = device();
  return SeededRandom(high << 32U | device());
}

std::uint64_t
RandomBelow(const Random& aRandom, std::uint64_t aBound)
{
  return aRandom() % aBound;
}

} // namespace lacewingwharf
