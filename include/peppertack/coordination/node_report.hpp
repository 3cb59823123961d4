#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>

namespace peppertack {

/// The leader's view of a node, from its last renewal.
struct node_report {
    node_address address;
    target_number number = no_target;
    std::uint64_t table_version = 0;
    std::uint64_t map_version = 0;
    instant last_renewal_at{};
    // ---- the map update in flight to the node ----
    std::uint64_t sequence = 0;  ///< of the node's last renewal
    std::uint64_t map_from = 0;  ///< version that the node had at `map_at`
    instant map_at{};            ///< when everything it lacked was last sent
    duration map_resend_delay{}; ///< delay before that is sent again if the node still lacks it
    // ---- the last routing table delta sent to the node ----
    std::uint64_t routes_from = 0;
    std::uint64_t routes_to = 0;
    instant routes_at{};

    /// Version that the map update in a renewal's answer has to start from. An update in flight
    /// counts as received.
    std::uint64_t map_base(const renew_request &request, moment at);
    /// Whether the delta between two routing tables has to be sent to the node. If so, it is
    /// recorded as sent.
    bool routes_due(std::uint64_t from, std::uint64_t to, moment at);
};

} // namespace peppertack
