#include "strategies.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <unordered_map>

namespace peppertack::bench {

namespace {

constexpr double prior_rate = 5; ///< see `placement_options`

std::uint64_t mixed(std::uint64_t value) {
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

/// Turns a wanted owner for each range into grants and moves.
placement_decision difference(const placement_view &view,
                              const std::vector<target_number> &wanted) {
    placement_decision decision;
    decision.move_cause = "plan";
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        const range_record &range = (*view.ranges)[i];
        if (wanted[i] == no_target || wanted[i] == range.owner) {
            continue;
        }
        (range.owner == no_target ? decision.grants : decision.moves)
            .push_back({range.first, wanted[i]});
    }
    return decision;
}

class consistent_hashing final : public placement_strategy {
public:
    const char *name() const override { return "(a) weighted consistent hashing"; }
    placement_decision decide(const placement_view &view) override {
        std::vector<target_number> wanted;
        for (const range_record &range : *view.ranges) {
            double best = -1;
            target_number chosen = no_target;
            for (const placement_target &target : view.targets) {
                if (!target.accepts || target.weight <= 0) {
                    continue;
                }
                const double uniform =
                    (static_cast<double>(mixed(range.first ^ mixed(target.number)) >> 11U) + 0.5) /
                    9007199254740992.0;
                const double score = -target.weight / std::log(uniform);
                if (score > best) {
                    best = score;
                    chosen = target.number;
                }
            }
            wanted.push_back(chosen);
        }
        return difference(view, wanted);
    }
};

std::vector<target_number> placed_anew(const placement_view &view) {
    const std::vector<double> shares = range_shares(view, prior_rate);
    std::vector<std::size_t> order(shares.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return shares[a] > shares[b]; });
    using item = std::pair<double, std::size_t>;
    std::priority_queue<item, std::vector<item>, std::greater<>> emptiest;
    std::vector<double> load(view.targets.size(), 0);
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        if (view.targets[i].accepts && view.targets[i].weight > 0) {
            emptiest.emplace(0, i);
        }
    }
    std::vector<target_number> wanted(shares.size(), no_target);
    for (const std::size_t range : order) {
        const std::size_t to = emptiest.top().second;
        emptiest.pop();
        load[to] += shares[range];
        emptiest.emplace(load[to] / view.targets[to].weight, to);
        wanted[range] = view.targets[to].number;
    }
    return wanted;
}

class full_rebalance final : public placement_strategy {
public:
    const char *name() const override { return "(b) full rebalance on every change"; }
    placement_decision decide(const placement_view &view) override {
        return difference(view, placed_anew(view));
    }
};

class cost_based final : public placement_strategy {
public:
    explicit cost_based(double horizon_s) : m_horizon_s(horizon_s) {}
    const char *name() const override { return "(d) reroute or re-plan by cost"; }
    placement_decision decide(const placement_view &view) override {
        // Rerouting only is what the bounded moves do with a budget of none.
        greedy_placement reroute({.max_concurrent_moves = 0});
        placement_decision little = reroute.decide(view);
        placement_decision much = difference(view, placed_anew(view));
        if (cost(view, little) <= cost(view, much)) {
            return little;
        }
        return much;
    }

private:
    double cost(const placement_view &view, const placement_decision &decision) const {
        const std::vector<double> shares = range_shares(view, prior_rate);
        std::unordered_map<std::uint64_t, target_number> moved;
        double moved_share = 0;
        for (const range_choice &choice : decision.grants) {
            moved[choice.first] = choice.to;
        }
        for (const range_choice &choice : decision.moves) {
            moved[choice.first] = choice.to;
        }
        std::unordered_map<target_number, double> load;
        for (std::size_t i = 0; i < view.ranges->size(); ++i) {
            const range_record &range = (*view.ranges)[i];
            const auto found = moved.find(range.first);
            moved_share += found != moved.end() && range.owner != no_target ? shares[i] : 0;
            load[found == moved.end() ? range.owner : found->second] += shares[i];
        }
        double weights = 0;
        for (const placement_target &target : view.targets) {
            weights += target.accepts ? target.weight : 0;
        }
        double excess = 0;
        for (const placement_target &target : view.targets) {
            if (target.accepts && target.weight > 0) {
                excess += std::max(0.0, load[target.number] - target.weight / weights);
            }
        }
        constexpr double seconds_a_move = 60; // a moved key costs like a minute of excess
        return excess * m_horizon_s + moved_share * view.churn_price * seconds_a_move;
    }

    double m_horizon_s;
};

} // namespace

std::unique_ptr<placement_strategy> make_consistent_hashing() {
    return std::make_unique<consistent_hashing>();
}

std::unique_ptr<placement_strategy> make_full_rebalance() {
    return std::make_unique<full_rebalance>();
}

std::unique_ptr<placement_strategy> make_cost_based(double seconds_to_next_fault) {
    return std::make_unique<cost_based>(seconds_to_next_fault);
}

} // namespace peppertack::bench
