#include "peppertack/coordination/load_tracker.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

renew_request report(std::uint32_t capacity, std::vector<range_load> loads) {
    renew_request request;
    request.capacity = capacity;
    request.loads = std::move(loads);
    return request;
}

} // namespace

TEST_CASE("loads follow the reports, are divided at a split and expire") {
    load_tracker tracker;
    tracker.record("s", 1, report(0, {{10, 80, {20, 30, 40}}}), start);
    placement_view view;
    tracker.add_loads("s", view);
    CHECK(view.loads.at(10) == 40); // half of the first report
    CHECK(view.split_points.at(10) == std::vector<std::uint64_t>{20, 30, 40});
    tracker.divide_load("s", 10, {20, 30, 40});
    placement_view after;
    tracker.add_loads("s", after);
    for (const std::uint64_t first : {10U, 20U, 30U, 40U}) {
        CHECK(after.loads.at(first) == 10);
        CHECK(after.split_points.at(first).empty());
    }
    tracker.remove_expired(start + 11s);
    placement_view old;
    tracker.add_loads("s", old);
    CHECK(old.loads.empty());
}

TEST_CASE("weights follow measured capacities, within bounds") {
    load_tracker tracker;
    for (int i = 0; i < 5; ++i) {
        tracker.record("s", 1, report(100, {{0, 1, {}}}), start);
        tracker.record("s", 2, report(300, {{0, 1, {}}}), start);
    }
    tracker.record("s", 3, report(1, {{0, 1, {}}}), start); // one report is not enough
    placement_view view;
    for (const target_number number : {1U, 2U, 3U}) {
        view.targets.push_back({.number = number, .weight = 1});
    }
    tracker.scale_weights_by_capacity(view);
    CHECK(view.targets[0].weight == doctest::Approx(0.5));
    CHECK(view.targets[1].weight == doctest::Approx(1.5));
    CHECK(view.targets[1].capacity == doctest::Approx(300));
    CHECK(view.targets[2].weight == 1);
    CHECK(view.targets[2].capacity == 0);
    tracker.forget(2);
    placement_view later;
    later.targets.push_back({.number = 2, .weight = 1});
    tracker.scale_weights_by_capacity(later);
    CHECK(later.targets[0].capacity == 0);
}
