#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/placement.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Load statistics of a leader: request rates of ranges and hot keys, and capacities of targets, as
/// nodes report them. Not replicated: a new leader rebuilds them from the next reports. Not thread
/// safe.
class load_tracker {
public:
    /// Records the loads and the capacity that a node reports for a target.
    void record(const std::string &service, target_number target, const renew_request &report,
                instant now);
    /// Removes ranges and hot keys that have not been reported for 10 s, such as those of a lost
    /// target.
    void remove_expired(instant now);
    void forget(target_number target) { m_capacities.erase(target); }
    void clear();

    /// Adds the loads, split points and hot keys of a service to the placement input.
    void add_loads(const std::string &service, placement_view &view) const;
    /// Scales target weights by measured capacity. Targets of one service differ in speed, which no
    /// table row expresses: equal shares would overload slow targets while fast ones have room. A
    /// target without a measurement counts as average.
    void scale_weights_by_capacity(placement_view &view) const;
    /// Divides the rate of a range that was split at `split_points` evenly among its parts, until
    /// these are measured. Otherwise the upper parts would look idle and the lowest as heavy as
    /// before.
    void divide_load(const std::string &service, std::uint64_t first,
                     const std::vector<std::uint64_t> &split_points);

private:
    struct measured_rate {
        double rate = 0; ///< requests per second
        instant at{};
        std::vector<std::uint64_t> split_points; ///< see `range_load`
    };
    /// Smoothed capacity of a target as its node measures it, in requests per second.
    struct measured_capacity {
        double value = 0;
        std::uint32_t reports = 0;
    };
    struct service_load {
        std::unordered_map<std::uint64_t, measured_rate> ranges; ///< by first hash
        std::unordered_map<std::uint64_t, measured_rate> hot;    ///< by hash of the key
    };

    double capacity_of(const placement_target &target) const;

    std::unordered_map<target_number, measured_capacity> m_capacities;
    std::unordered_map<std::string, service_load> m_services;
};

} // namespace peppertack
