#include "peppertack/coordination/key_load_counter.hpp"

#include "peppertack/state/key_hash.hpp"

#include <doctest/doctest.h>

using namespace peppertack;

namespace {

void count(key_load_counter &counter, std::uint32_t key, int requests) {
    for (int i = 0; i < requests; ++i) {
        counter.count(key);
    }
}

const std::vector<lease_client::own_range> two_ranges{
    {{.first = 0}, ordered_key_hash(100) - 1},
    {{.first = ordered_key_hash(100)}, ordered_key_hash(200) - 1}};

} // namespace

TEST_CASE("requests are reported once, as a rate by range") {
    key_load_counter counter;
    count(counter, 5, 6);
    count(counter, 99, 4);
    count(counter, 100, 8);
    count(counter, 5000, 2); // in a range that has moved to another target since
    renew_request request;
    counter.report(request, two_ranges, 1000, 2);
    REQUIRE(request.loads.size() == 2);
    CHECK(request.loads[0].requests == 5);
    CHECK(request.loads[1].requests == 4);
    REQUIRE(request.hot_keys.size() == 4);
    CHECK(request.hot_keys[0] == hot_key{ordered_key_hash(100), 4});
    renew_request next;
    counter.report(next, two_ranges, 1000, 2);
    CHECK(next.loads[0].requests == 0);
    CHECK(next.hot_keys.empty());
}

TEST_CASE("a single request in a report counts with its whole rate") {
    // Guards against rounding down, by which ranges with few requests looked half as busy.
    key_load_counter counter;
    count(counter, 5, 1);
    renew_request request;
    counter.report(request, two_ranges, 1000, 0.52);
    CHECK(request.loads[0].requests == 2);
}

TEST_CASE("a range is split into parts of a tenth of its target's capacity") {
    key_load_counter counter;
    for (std::uint32_t key = 0; key < 100; ++key) {
        count(counter, key, 2);
    }
    renew_request request;
    counter.report(request, two_ranges, 400, 1); // 200 requests; a tenth is 40
    CHECK(request.loads[0].split_points.size() >= 4);
    CHECK(request.loads[0].split_points.size() <= 6);
    CHECK(request.loads[1].split_points.empty());
}
