#include "common/base64.h"
#include "common/random.h"

#include <criterion/criterion.h>

using namespace lacewingwharf;

// A wrong remainder or padding changes values that a text-only store holds.
Test(base64, RoundTripKeepsValuesOfEveryLength)
{
  const Random random = SeededRandom(7);
  constexpr std::size_t kLengths = 100;
  for (std::size_t length = 0; length < kLengths; ++length) {
    std::string bytes;
    for (std::size_t i = 0; i < length; ++i) {
      bytes.push_back(static_cast<char>(RandomBelow(random, 256)));
    }
    const auto decoded = DecodeBase64(EncodeBase64(bytes));
    cr_assert(decoded.has_value());
    cr_assert(*decoded == bytes);
  }
  cr_assert(EncodeBase64("Brugge") == "QnJ1Z2dl");
}

// Text that is truncated or has invalid characters must not decode to a shorter
// value.
Test(base64, InvalidTextIsRejected)
{
  cr_expect_not(DecodeBase64("QnJ1Z2d").has_value());
  cr_expect_not(DecodeBase64("QnJ1Z2d*").has_value());
  cr_expect_not(DecodeBase64("Q===").has_value());
}
