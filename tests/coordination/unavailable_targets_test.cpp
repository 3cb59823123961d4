#include "peppertack/coordination/unavailable_targets.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1000s};
constexpr target_number target = 7;

} // namespace

// Guards against a connection for each request that waits while a node is restarted.
TEST_CASE("a target that can't be reached is asked by one request at a time") {
    unavailable_targets targets({.probe_interval = 40ms, .lifetime = 2s});
    CHECK_FALSE(targets.absent(target, start));
    targets.record_absent(target, error_kind::draining, start + 1s, start);
    const auto gone = targets.absent(target, start + 39ms);
    REQUIRE(gone);
    CHECK(gone->cause == error_kind::draining);
    CHECK(gone->expected == start + 1s);
    CHECK_FALSE(targets.absent(target, start + 40ms));
    CHECK(targets.absent(target, start + 41ms));
    CHECK_FALSE(targets.absent(target, start + 80ms));
}

TEST_CASE("a target that takes a request again is asked by all") {
    unavailable_targets targets({.probe_interval = 40ms, .lifetime = 2s});
    targets.record_absent(target, error_kind::owner_unreachable, {}, start);
    CHECK_FALSE(targets.absent(target + 1, start + 1ms));
    targets.record_present(target);
    CHECK_FALSE(targets.absent(target, start + 1ms));
    CHECK_FALSE(targets.absent(target, start + 1ms));
}

TEST_CASE("what was not asked for long, or has left the map, is not taken for unavailable") {
    unavailable_targets targets({.probe_interval = 40ms, .lifetime = 2s});
    targets.record_absent(target, error_kind::owner_unreachable, {}, start);
    SUBCASE("not asked for long") {
        CHECK_FALSE(targets.absent(target, start + 2s));
        CHECK_FALSE(targets.absent(target, start + 2s));
    }
    SUBCASE("left the map") {
        targets.retain({});
        CHECK_FALSE(targets.absent(target, start + 1ms));
    }
}
