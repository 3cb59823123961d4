#include "peppertack/coordination/load_split_points.hpp"

#include <doctest/doctest.h>

using namespace peppertack;

namespace {

std::vector<key_load> adjacent_keys(std::uint32_t from, std::uint32_t count,
                                    std::uint32_t requests) {
    std::vector<key_load> loads;
    for (std::uint32_t i = 0; i < count; ++i) {
        loads.push_back({from + i, requests});
    }
    return loads;
}

} // namespace

TEST_CASE("adjacent busy keys are split into parts of similar load at once") {
    // Guards against one split per load report. When 200 adjacent keys became busy, their range was
    // halved, one half moved and the next half measured, again and again: for ten seconds a quarter
    // of the lookups was refused while most targets were idle.
    const auto split_points = load_split_points(adjacent_keys(1000, 200, 2), 20, 31);
    REQUIRE(split_points.size() == 19);
    CHECK(split_points.front() == 1010);
    CHECK(split_points.back() == 1190);
}

TEST_CASE("a key that is too busy by itself gets a part of its own") {
    std::vector<key_load> loads = adjacent_keys(10, 5, 2);
    loads[2].requests = 300;
    CHECK(load_split_points(loads, 20, 31) == std::vector<std::uint32_t>{12, 13});
    CHECK(load_split_points({{7, 300}}, 20, 31).empty());
}

TEST_CASE("light ranges are not split, and the number of split points is bounded") {
    CHECK(load_split_points({}, 20, 31).empty());
    CHECK(load_split_points(adjacent_keys(1, 10, 2), 20, 31).empty());
    CHECK(load_split_points(adjacent_keys(1, 500, 20), 20, 31).size() == 31);
}
