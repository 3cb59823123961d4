#include "peppertack/coordination/waiting_limit.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

// Guards against a rejection that comes after the deadline of the node that waits for it.
TEST_CASE("a request is held back for most of its time, but not up to its deadline") {
    const instant received(10s);
    CHECK(waiting_limit(received, received + 5s) == received + 4900ms);
    CHECK(waiting_limit(received, received + 800ms) == received + 700ms);
    CHECK(waiting_limit(received, received + 80ms) == received + 70ms);
}

TEST_CASE("a request whose time was over when it came is not held back") {
    const instant received(10s);
    CHECK(waiting_limit(received, received) == received);
    CHECK(waiting_limit(received, received - 5s) == received - 5s);
}
