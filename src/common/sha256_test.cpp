#include "common/sha256.h"

#include <criterion/criterion.h>

#include <string>

using namespace lacewingwharf;

// Digests that differ from those of other tools would make every key unknown.
// The vectors are those of FIPS 180-2; the last one has several blocks.
Test(sha256, known_vectors_have_their_digests)
{
  cr_expect_eq(
    Sha256Hex(""),
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  cr_expect_eq(Sha256Hex({}), Sha256Hex(""));
  cr_expect_eq(
    Sha256Hex("abc"),
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  cr_expect_eq(
    Sha256Hex("abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq"),
    "248d6a61d20638b8e5c026930c3e6039a33ce45964ff2167f6ecedd419db06c1");
  cr_expect_eq(
    Sha256Hex(std::string(1000000, 'a')),
    "cdc76e5c9914fb9281a1c7e284d73e67f1809a48a497200e046d39ccc7112cd0");
}
