#include "peppertack/state/key_hash.hpp"

#include <doctest/doctest.h>

using namespace peppertack;

TEST_CASE("a fingerprint survives formatting and parsing") {
    for (const std::uint64_t value : {std::uint64_t(0), std::uint64_t(0xab), ~std::uint64_t(0)}) {
        CHECK(parse_fingerprint(fingerprint_text(value)) == value);
    }
    CHECK(fingerprint_text(0xab) == "00000000000000ab");
    for (const char *wrong :
         {"", "ab", "00000000000000ag", "-0000000000000ab", "000000000000000ab"}) {
        CHECK_FALSE(parse_fingerprint(wrong));
    }
}
