#pragma once

#include <algorithm>
#include <cstddef>

namespace lacewingwharf {

/**
 * The running mean of the sizes of answers. An answer that has not come yet
 * counts with it in limits on memory. It is a mean and not a maximum, so that a
 * single large answer does not stop reading ahead.
 */
class AnswerExpectation
{
public:
  std::size_t Bytes() const;
  void Add(std::size_t aBytes);

private:
  // The default limits allow more of these than requests.
  static constexpr std::size_t kMinBytes = 4096;

  // Each answer takes this part of the difference from the mean.
  static constexpr std::size_t kWeight = 16;

  std::size_t bytes = 0; // 0 before the first answer.
};

inline std::size_t
AnswerExpectation::Bytes() const
{
  return std::max(this->bytes, kMinBytes);
}

inline void
AnswerExpectation::Add(std::size_t aBytes)
{
  const std::size_t counted = std::max(aBytes, kMinBytes);
  this->bytes = this->bytes == 0
                  ? counted
                  : this->bytes - this->bytes / kWeight + counted / kWeight;
}

} // namespace lacewingwharf
