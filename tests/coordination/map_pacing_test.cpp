#include "peppertack/coordination/control_core.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);
constexpr std::uint64_t first_sequence = 5'000'000'000;

/// A node that renews while a map update is still in transit, and the leader's report of it.
struct slow_link {
    /// Returns the base version of the reply to the next renewal, in which the node reports version
    /// `reported`.
    std::uint64_t renew(std::uint64_t reported, instant now, std::uint64_t current) {
        renew_request request{.sequence = ++sequence, .map_version = reported};
        const std::uint64_t base = node.map_base(request, {now, 0});
        node.map_version = current;
        return base;
    }
    node_report node;
    std::uint64_t sequence = first_sequence;
};

} // namespace

TEST_CASE("a map that is in transit is not sent with each renewal") {
    // Guards against sending the full map with each reply while it is in transit. After a power
    // loss 200 nodes came back without a map; the transfer took half a second and more, in which
    // each node renewed several times. For 8 s almost nothing was served, and the leader exceeded
    // its memory limit and ended.
    slow_link link;
    int full_maps = 0;
    for (instant now = start; now < start + 3s; now += 150ms) {
        full_maps += link.renew(0, now, 900) == 0 ? 1 : 0;
    }
    CHECK(full_maps <= 3); // at 0 s, and again after increasing delays
    CHECK(full_maps >= 2); // the first may be lost with its connection
}

TEST_CASE("changes made while a map is in transit are sent after it") {
    slow_link link;
    CHECK(link.renew(0, start, 900) == 0);
    CHECK(link.renew(0, start + 150ms, 905) == 900);
    CHECK(link.renew(0, start + 300ms, 907) == 905);
    // The map has arrived: from now on the version that the node reports counts.
    CHECK(link.renew(907, start + 450ms, 907) == 907);
    CHECK(link.renew(907, start + 750ms, 910) == 907);
    CHECK(link.renew(910, start + 1050ms, 910) == 910);
}

TEST_CASE("a node that is started again is sent the map at once") {
    slow_link link;
    CHECK(link.renew(0, start, 900) == 0);
    link.sequence += first_sequence; // sequences of different incarnations are far apart
    CHECK(link.renew(0, start + 150ms, 900) == 0);
}
