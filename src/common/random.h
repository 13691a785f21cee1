#pragma once

#include <cstdint>
#include <functional>

namespace lacewingwharf {

/** Uniform 64-bit random numbers; seeded in tests. */
using Random = std::function<std::uint64_t()>;

Random
SeededRandom(std::uint64_t aSeed);

/** Seeded from the operating system. */
Random
SystemRandom();

/** A number in [0, aBound); aBound must be positive. */
std::uint64_t
RandomBelow(const Random& aRandom, std::uint64_t aBound);

} // namespace lacewingwharf
