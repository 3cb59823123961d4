#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>

namespace peppertack {

/// What the leader last heard from a node.
struct node_report {
    node_address address;
    target_number number = no_target;
    std::uint64_t table_version = 0;
    std::uint64_t map_version = 0;
    instant heard{};
    // ---- the map that is on its way to it ----
    std::uint64_t sequence = 0; ///< of its last renewal
    std::uint64_t map_from = 0; ///< version that it had when `map_at` was set
    instant map_at{};           ///< when all that it misses was last sent
    duration map_pause{};       ///< until that is sent once more, if it has not come
    // ---- the last difference of routing tables that was sent to it ----
    std::uint64_t routes_from = 0;
    std::uint64_t routes_to = 0;
    instant routes_at{};

    /// From which version on a renewal's answer has to tell the map; what was sent to it and may
    /// still be on its way counts as known.
    std::uint64_t map_base(const renew_request &request, moment at);
    /// Whether it has to be sent the difference between two routing tables, which counts as sent
    /// then.
    bool routes_due(std::uint64_t from, std::uint64_t to, moment at);
};

} // namespace peppertack
