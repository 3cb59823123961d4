#pragma once

#include "peppertack/state/command.hpp"
#include "peppertack/state/records.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Placement input for one target.
struct placement_target {
    target_number number = no_target;
    std::string failure_domain;
    double weight = 0;      ///< its share of its table row's weight
    bool accepts = true;    ///< is serving and may get ranges
    bool draining = false;  ///< is draining: its ranges must move away
    bool evacuated = false; ///< its failure domain is evacuated: the same, all at once
    double capacity = 0;    ///< measured requests per second it can serve; 0 if unknown
};

/// Placement input for one service. `loads` holds requests per second by the first hash of a range;
/// ranges without an entry count by their width only.
struct placement_view {
    const std::vector<range_record> *ranges = nullptr;
    std::vector<placement_target> targets;
    std::unordered_map<std::uint64_t, double> loads;
    /// Split points of heavy ranges, by the first hash of the range. Ranges without an entry are
    /// split in the middle of their width; an empty list means that no split would help.
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> split_points;
    std::vector<std::uint64_t> hot_keys; ///< hashes of keys with a large share of a range's load
    /// Ranges are split only at multiples of this: the distance between adjacent keys of an ordered
    /// key space; 1 for hashed keys.
    std::uint64_t key_spacing = 1;
    /// Whether the key space is split as far as its targets need before its first grant, so that
    /// adjacent ranges go to different targets. Otherwise the first targets are granted wide
    /// ranges, most parts of which move once they are split.
    bool split_before_grant = false;
    double churn_price = 1;
    double unavailable_price = 1;
};

struct placement_options {
    std::size_t max_concurrent_moves = 4; ///< concurrent moves for balance
    /// Raises the limit of `max_concurrent_moves` to the number of targets divided by this, where
    /// that is more. A limit of 0 stays 0.
    std::size_t targets_per_concurrent_move = 3;
    std::size_t max_concurrent_drain_moves = 32; ///< concurrent moves for planned stops
    /// Concurrent moves out of evacuated failure domains. What has not moved within the bound of an
    /// evacuation is refused, and each move takes a heartbeat or two, so few can follow each other.
    std::size_t max_concurrent_evacuation_moves = 512;
    double tolerance = 0.10; ///< relative load above the weight share that triggers no move
    double min_gain_per_price =
        0.01; ///< least gain at price 1, relative to the source's weight share
    /// A target below this fraction of its capacity gives up no ranges, however uneven the load is:
    /// each move leaves keys unserved for a heartbeat or two and shortens no queue.
    double busy_threshold = 0.65;
    /// A target below this fraction of its weight share gets ranges even from targets that are not
    /// busy; otherwise a new target would stay idle.
    double underload_threshold = 0.4;
    /// Requests per second to a range at which its measured load counts for half; above zero.
    double prior_rate = 5;
    duration load_window = std::chrono::milliseconds(1500); ///< time that measured loads cover
    /// While a target's capacity is unknown, it gives up ranges only if its load is this many
    /// standard deviations of the count above its weight share. Chance alone exceeds five about
    /// once an hour at 1,000 targets.
    double chance_deviations = 5;
    std::size_t ranges_per_target = 8; ///< below this average the widest ranges are split
    /// Splits in one decision before the first grant. Each is a log entry, and renewals wait while
    /// the leader makes them.
    std::size_t max_first_splits = 512;
};

struct placement_decision {
    std::vector<range_choice> grants; ///< ranges without an owner
    std::vector<range_choice> moves;
    std::vector<std::uint64_t> splits; ///< hashes at which to split
    std::vector<std::uint64_t> merges; ///< first hashes of ranges to merge into the previous one
    std::string move_cause;

    bool empty() const {
        return grants.empty() && moves.empty() && splits.empty() && merges.empty();
    }
};

/// Decides which target owns which range. bench/placement_bench.cpp compares strategies.
class placement_strategy {
public:
    virtual ~placement_strategy() = default;
    virtual const char *name() const = 0;
    /// Precondition: `view.ranges` is not null and sorted. Deterministic.
    virtual placement_decision decide(const placement_view &view) = 0;
};

/// Grants ranges without an owner to the least loaded targets, then makes a bounded number of moves
/// whose gain exceeds their price. Moves nothing else. Not thread safe.
class greedy_placement final : public placement_strategy {
public:
    explicit greedy_placement(placement_options options = {}) : m_options(options) {}
    const char *name() const override { return "bounded greedy moves"; }
    placement_decision decide(const placement_view &view) override;

private:
    std::size_t max_concurrent_moves(const placement_view &view) const;

    placement_options m_options;
};

/// Load of each range as a share of the service's total; the shares add up to 1. `prior_rate` is
/// that of `placement_options`.
std::vector<double> range_shares(const placement_view &view, double prior_rate);

/// Highest ratio of load share to weight share among targets that accept ranges; 1 is perfect
/// balance.
double imbalance(const placement_view &view, const placement_options &options);

} // namespace peppertack
