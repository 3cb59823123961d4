#include "peppertack/coordination/routes_wait.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

// Guards against rejections by nodes that come back together and have no routing table yet.
TEST_CASE("a request waits for the routing table of a node that was just started") {
    const instant started(10s);
    CHECK(routes_wait_limit(started, 1500ms, started + 100ms, 3s) == started + 1100ms);
    CHECK(routes_wait_limit(started, 1500ms, started + 1s, 3s) == started + 1500ms);
    CHECK(routes_wait_limit(started, 1500ms, started + 100ms, 600ms) == started + 300ms);
}

TEST_CASE("a request does not wait at a node that has been without a routing table for long") {
    const instant started(10s);
    const instant received = started + 5s;
    CHECK(routes_wait_limit(started, 1500ms, received, 3s) <= received);
}
