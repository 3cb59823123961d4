#include "peppertack/coordination/unavailable_targets.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1000s};
constexpr target_number target = 7;
constexpr instant deadline = start + 3s;

} // namespace

// Guards against a connection for each request that waits while a node is restarted.
TEST_CASE("a target that can't be reached is asked by one request at a time") {
    unavailable_targets targets({.probe_interval = 40ms, .lifetime = 2s});
    CHECK_FALSE(targets.absent(target, deadline, start));
    targets.record_absent(target, {error_kind::draining, start + 1s}, deadline, start);
    const auto gone = targets.absent(target, deadline, start + 39ms);
    REQUIRE(gone);
    CHECK(gone->cause == error_kind::draining);
    CHECK(gone->expected == start + 1s);
    CHECK_FALSE(targets.absent(target, deadline, start + 40ms));
    CHECK(targets.absent(target, deadline, start + 41ms));
    CHECK_FALSE(targets.absent(target, deadline, start + 80ms));
}

TEST_CASE("a target that takes a request again is asked by all") {
    unavailable_targets targets({.probe_interval = 40ms, .lifetime = 2s});
    targets.record_absent(target, {error_kind::owner_unreachable, {}}, deadline, start);
    CHECK_FALSE(targets.absent(target + 1, deadline, start + 1ms));
    targets.record_present(target);
    CHECK_FALSE(targets.absent(target, deadline, start + 1ms));
    CHECK_FALSE(targets.absent(target, deadline, start + 1ms));
}

TEST_CASE("what was not asked for long, or has left the map, is not taken for unavailable") {
    unavailable_targets targets({.probe_interval = 40ms, .lifetime = 2s});
    targets.record_absent(target, {error_kind::owner_unreachable, {}}, deadline, start);
    SUBCASE("not asked for long") {
        CHECK_FALSE(targets.absent(target, deadline, start + 2s));
        CHECK_FALSE(targets.absent(target, deadline, start + 2s));
    }
    SUBCASE("left the map") {
        targets.retain({});
        CHECK_FALSE(targets.absent(target, deadline, start + 1ms));
    }
}

// Guards against refusing what a node that stops would still finish.
TEST_CASE("a target whose node refused a late deadline is sent earlier ones") {
    unavailable_targets targets({.probe_interval = 40ms, .lifetime = 2s});
    targets.record_absent(target, {error_kind::draining, start + 1s}, deadline, start);
    CHECK_FALSE(targets.absent(target, deadline - 1ms, start + 1ms));
    CHECK(targets.absent(target, deadline, start + 1ms));
    targets.record_absent(target, {error_kind::draining, start + 1s}, deadline - 2s, start + 2ms);
    CHECK(targets.absent(target, deadline - 1ms, start + 3ms));
    targets.record_absent(target, {error_kind::draining, start + 1s}, deadline, start + 4ms);
    CHECK(targets.absent(target, deadline - 1ms, start + 5ms));
}
