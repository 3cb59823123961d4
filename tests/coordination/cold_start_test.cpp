#include "peppertack/coordination/cold_start.hpp"

#include "peppertack/coordination/dependency_admission.hpp"
#include "peppertack/coordination/work_queue.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

/// Largest number of `times` within any second.
std::size_t most_in_a_second(std::vector<instant> times) {
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
        while (*first + 1s <= *last) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

/// Arrivals at a target whose queue has the limit of `bounds`, at ten times what it lets through.
/// Connections take up to 150 ms to open.
std::vector<instant> arrivals_under_load(const cold_start_bounds &bounds, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    work_queue queue({.limit = 8});
    queue.set_cold_limit(cold_start_bucket(bounds), start);
    std::vector<instant> arrivals;
    std::exponential_distribution<double> gap(bounds.per_second * 10);
    double at = 0;
    for (std::uint64_t id = 1; at < 30; at += gap(random), ++id) {
        const instant now = start + duration(static_cast<duration::rep>(at * 1e6));
        const auto begin = [&] {
            arrivals.push_back(now + std::chrono::milliseconds(random() % 150));
            queue.finish("r", 1ms);
        };
        const work_queue::item request{
            .id = id, .kind = "r", .arrived = now, .objective = now + 400ms, .deadline = now + 1s};
        if (queue.offer(request, now) == work_queue::verdict::start) {
            begin();
        }
        std::vector<std::uint64_t> infeasible;
        while (queue.next(now, infeasible)) {
            begin();
        }
    }
    return arrivals;
}

} // namespace

TEST_CASE("no second holds more arrivals than a cold target's bound") {
    // Guards against bursts, and against requests that arrive together after slow connects.
    constexpr std::array<cold_start_bounds, 6> all{
        {{15, 1.5, 8}, {15, 1, 0}, {2, 1, 0}, {3, 1.5, 0}, {4, 1, 40}, {200, 1.2, 30}}};
    for (const cold_start_bounds &bounds : all) {
        CAPTURE(bounds.per_second);
        CAPTURE(bounds.slack);
        const double bound = bounds.per_second * bounds.overrun + bounds.slack;
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            const std::vector<instant> arrivals = arrivals_under_load(bounds, seed);
            CHECK(static_cast<double>(most_in_a_second(arrivals)) <= bound);
            CHECK(!arrivals.empty());
        }
    }
}

TEST_CASE("a bound with room above the tolerated rate lets that rate through") {
    // Guards against reserves that cost a cold target a part of what it can do.
    const auto bucket = cold_start_bucket({.per_second = 15, .overrun = 1.5, .slack = 8});
    REQUIRE(bucket);
    CHECK(bucket->per_second >= 15);
}

TEST_CASE("a service without a tolerated rate has no limit") {
    CHECK_FALSE(cold_start_bucket({.overrun = 1.5, .slack = 8}));
}

TEST_CASE("a target counts as cold until it says otherwise") {
    // Guards against a target that is taken for warm since nobody has asked it.
    cold_start_tracker tracker(2s);
    CHECK(tracker.cold(start));
    tracker.record_stated({}, start);
    CHECK_FALSE(tracker.cold(start));
    SUBCASE("it was disconnected") {
        tracker.record_unknown();
        CHECK(tracker.cold(start));
    }
    SUBCASE("it has said nothing for too long") {
        CHECK_FALSE(tracker.cold(start + 1900ms));
        CHECK(tracker.cold(start + 2s));
    }
    SUBCASE("it becomes cold again") {
        tracker.record_stated(3s, start + 1s);
        CHECK(tracker.cold(start + 2900ms));
        tracker.record_stated({}, start + 3500ms);
        CHECK_FALSE(tracker.cold(start + 3500ms));
    }
}

TEST_CASE("an announced limit and the limit of a cold target hold together") {
    // Guards against the one that was set last replacing the other.
    work_queue queue({.limit = 8});
    queue.set_rate(5, start);
    queue.set_cold_limit(rate_limit::bucket{.per_second = 20, .depth = 4}, start);
    CHECK(queue.capacity() == 5);
    queue.set_rate(std::nullopt, start);
    CHECK(queue.capacity() == 20);
    queue.set_cold_limit(std::nullopt, start);
    CHECK(queue.capacity() > 100);
}
