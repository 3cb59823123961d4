#include "peppertack/coordination/load_tracker.hpp"
#include "peppertack/coordination/placement.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <unordered_map>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ranges_per_target = 8;
constexpr double rate_per_target = 4.5; ///< requests per second

/// Replays arrivals at the ranges of a keyed service. Nodes report every half second, a decision
/// is made every second and takes effect at once.
class arrivals {
public:
    arrivals(std::size_t targets, double capacity) : m_targets(targets), m_capacity(capacity) {
        const std::size_t count = targets * ranges_per_target;
        for (std::size_t i = 0; i < count; ++i) {
            m_ranges.push_back({.first = i * (~0ULL / count + 1),
                                .owner = static_cast<target_number>(i / ranges_per_target + 1),
                                .token = 1});
        }
    }

    /// Sets the rate of the first range of a target, in requests per second.
    void heat(target_number target, double rate) {
        m_hot[m_ranges[(target - 1) * ranges_per_target].first] = rate;
    }

    /// Returns the number of moves decided.
    std::size_t run(int seconds) {
        std::size_t moves = 0;
        for (int half = 0; half < seconds * 2; ++half) {
            report();
            moves += half % 2 == 1 ? decide() : 0;
        }
        return moves;
    }

    std::size_t ranges_of(target_number target) const {
        return static_cast<std::size_t>(
            std::count_if(m_ranges.begin(), m_ranges.end(),
                          [&](const range_record &range) { return range.owner == target; }));
    }

private:
    std::vector<range_record>::const_iterator after(std::uint64_t hash) const {
        return std::upper_bound(
            m_ranges.begin(), m_ranges.end(), hash,
            [](std::uint64_t value, const range_record &range) { return value < range.first; });
    }

    void report() {
        m_now += 500ms;
        std::vector<renew_request> reports(m_targets);
        std::poisson_distribution<std::uint32_t> normal(rate_per_target / ranges_per_target / 2);
        for (const range_record &range : m_ranges) {
            const auto hot = m_hot.find(range.first);
            std::uint32_t requests = normal(m_random);
            if (hot != m_hot.end()) {
                requests = std::poisson_distribution<std::uint32_t>(hot->second / 2)(m_random);
            }
            reports[range.owner - 1].loads.push_back({range.first, requests * 2, {}});
        }
        for (std::size_t i = 0; i < m_targets; ++i) {
            reports[i].capacity = static_cast<std::uint32_t>(m_capacity);
            m_tracker.record("s", static_cast<target_number>(i + 1), reports[i], m_now);
        }
    }

    std::size_t decide() {
        placement_view view;
        view.ranges = &m_ranges;
        for (std::size_t i = 0; i < m_targets; ++i) {
            view.targets.push_back(
                {.number = static_cast<target_number>(i + 1), .failure_domain = "z", .weight = 1});
        }
        m_tracker.scale_weights_by_capacity(view);
        m_tracker.add_loads("s", view);
        const placement_decision decision = m_placement.decide(view);
        for (const range_choice &move : decision.moves) {
            const auto at = std::prev(after(move.first));
            m_ranges[static_cast<std::size_t>(at - m_ranges.cbegin())].owner = move.to;
        }
        return decision.moves.size();
    }

    std::size_t m_targets;
    double m_capacity;
    std::vector<range_record> m_ranges;
    std::unordered_map<std::uint64_t, double> m_hot;
    load_tracker m_tracker;
    greedy_placement m_placement;
    std::mt19937_64 m_random{1};
    instant m_now{1000s};
};

} // namespace

TEST_CASE("keys of a large fleet are not moved for random differences between sparse loads") {
    // Guards against a weight of measured load that grows with the number of targets.
    for (const std::size_t targets : {50U, 500U, 1000U}) {
        for (const double capacity : {0.0, 34.0}) {
            arrivals fleet(targets, capacity);
            CAPTURE(targets);
            CAPTURE(capacity);
            CHECK(fleet.run(50) == 0);
        }
    }
}

TEST_CASE("a target of a large fleet gives up keys when one of its ranges becomes hot") {
    // Guards against a prior that hides a real hot spot.
    for (const double capacity : {0.0, 34.0}) {
        arrivals fleet(500, capacity);
        REQUIRE(fleet.run(10) == 0);
        fleet.heat(3, 40);
        const std::size_t moves = fleet.run(2);
        CAPTURE(capacity);
        CHECK(moves > 0);
        CHECK(fleet.ranges_of(3) == ranges_per_target - moves);
    }
}
