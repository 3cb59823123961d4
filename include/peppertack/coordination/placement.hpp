#pragma once

#include "peppertack/state/command.hpp"
#include "peppertack/state/records.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// A target as placement sees it.
struct placement_target {
    target_number number = no_target;
    std::string failure_domain;
    double weight = 0;   ///< its part of its table row's weight
    bool accepts = true; ///< may be given ranges: it is serving
    bool leaves = false; ///< a planned stop: its ranges have to go
    double capacity = 0; ///< requests a second that it can do, as measured; 0: not known
};

/// One service at one moment. `loads` holds requests a second by the first hash of a range; ranges
/// that are missing count by their width only.
struct placement_view {
    const std::vector<range_record> *ranges = nullptr;
    std::vector<placement_target> targets;
    std::unordered_map<std::uint64_t, double> loads;
    /// Where a heavy range is to be cut, by its first hash. Ranges that are missing are cut in the
    /// middle of their width; an empty list says that no cut is known to help.
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> cuts;
    std::vector<std::uint64_t> hot_keys; ///< hashes that carry much of a range's load
    /// Ranges are cut only at multiples of this: the distance between two keys that are ordered
    /// numbers; 1 where keys are hashed.
    std::uint64_t key_distance = 1;
    double churn_price = 1;
    double unavailable_price = 1;
};

struct placement_options {
    std::size_t moves_at_a_time = 4; ///< planned moves under way for balance
    /// With more than so many targets for each of these, more moves are made at a time. 0 moves
    /// stay 0.
    std::size_t targets_per_move = 3;
    std::size_t stops_at_a_time = 32; ///< planned moves under way for a planned stop
    double tolerance = 0.10;          ///< load above the share that is left alone
    double gain_per_price = 0.01;     ///< share of a target's load that pays for a move at price 1
    /// Below this part of its capacity a target is left alone, however much more it has than
    /// others: each move leaves keys unserved for a heartbeat or two, and saves no request a wait.
    double busy_part = 0.65;
    /// A target with less than this part of its share is given more all the same: a newcomer would
    /// stay idle.
    double starved_ratio = 0.4;
    double prior_rate = 200;           ///< requests a second at which measured load counts for half
    std::size_t ranges_per_target = 8; ///< fewer than this on average: split the widest
};

struct placement_decision {
    std::vector<range_choice> grants; ///< ranges without an owner
    std::vector<range_choice> moves;
    std::vector<std::uint64_t> splits; ///< hashes at which to cut
    std::vector<std::uint64_t> merges; ///< firsts of ranges to join to the one before
    std::string move_cause;

    bool empty() const {
        return grants.empty() && moves.empty() && splits.empty() && merges.empty();
    }
};

/// One way of deciding where ranges go. Strategies are compared in bench/placement_bench.cpp.
class placement_strategy {
public:
    virtual ~placement_strategy() = default;
    virtual const char *name() const = 0;
    /// Precondition: `view.ranges` is not null and sorted. Deterministic.
    virtual placement_decision decide(const placement_view &view) = 0;
};

/// Grants what has no owner to whoever has most room, then makes a bounded number of moves whose
/// gain is above their price. Nothing else moves. Not thread safe.
class greedy_placement final : public placement_strategy {
public:
    explicit greedy_placement(placement_options options = {}) : m_options(options) {}
    const char *name() const override { return "bounded greedy moves"; }
    placement_decision decide(const placement_view &view) override;

private:
    std::size_t moves_at_a_time(const placement_view &view) const;

    placement_options m_options;
};

/// Load of each range as a share of the service's total; sums to one.
std::vector<double> range_shares(const placement_view &view, double prior_rate);

/// Highest load over weight share among the targets that accept ranges: 1 is perfect balance.
double imbalance(const placement_view &view, double prior_rate);

} // namespace peppertack
