#pragma once

#include <cstdint>
#include <functional>

namespace lacewingwharf {

/** A generator of uniform 64-bit random numbers. */
using Random = std::function<std::uint64_t()>;

/** Returns a generator whose sequence depends only on the seed, for tests. */
Random
SeededRandom(std::uint64_t aSeed);

/** Returns a generator that is seeded by the operating system. */
Random
SystemRandom();

/** Returns a number in [0, aBound). aBound must be positive. */
std::uint64_t
RandomBelow(const Random& aRandom, std::uint64_t aBound);

} // namespace lacewingwharf
