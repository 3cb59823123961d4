#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/placement.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// What a leader has heard of load: requests for each range and hot key, and what each target can
/// do. Lost with leadership; the next reports bring it back. Not thread safe.
class load_book {
public:
    /// Takes the loads and the capacity that a node reports of a target.
    void note(const std::string &service, target_number target, const renew_request &report,
              instant now);
    /// Forgets what nobody has reported for long: a key that cooled down, a target that is gone.
    void forget_old(instant now);
    void forget(target_number target) { m_capacities.erase(target); }
    void clear();

    /// Adds loads, places to cut and hot keys of a service to what placement decides on.
    void describe(const std::string &service, placement_view &view) const;
    /// Weighs targets by what they can do. Those of one service differ in speed, and no table row
    /// says by how much: equal shares would overload the slow ones while the fast ones have room. A
    /// target without a measurement counts as an average one.
    void weigh_by_capacity(placement_view &view) const;
    /// A range was cut into parts of like load. Until these are measured, each is taken to have its
    /// share: without that the upper ones would look idle, and the lowest one as heavy as before.
    void share(const std::string &service, std::uint64_t first,
               const std::vector<std::uint64_t> &cuts);

private:
    struct measured_rate {
        double rate = 0; ///< requests a second
        instant at{};
        std::vector<std::uint64_t> cuts; ///< see `range_load`
    };
    /// Capacity of a target as its node measured it, in requests a second.
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
