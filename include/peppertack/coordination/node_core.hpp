#pragma once

#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/node_options.hpp"
#include "peppertack/coordination/range_owner.hpp"
#include "peppertack/coordination/request_router.hpp"

#include <cstdint>
#include <string>

namespace peppertack {

/// The node as one deterministic state machine: events go in with their time, effects come out. Not
/// thread safe; the daemon holds a lock around each call.
class node_core {
public:
    explicit node_core(node_options options);
    node_core(const node_core &) = delete;
    node_core &operator=(const node_core &) = delete;

    void tick(moment at);
    void receive(const node_address &from, const message &body, moment at);
    void peer_down(const node_address &address, moment at);

    /// The local target announced itself; it does so repeatedly, well within `announce_timeout`.
    void announce(const target_announcement &announcement, moment at);
    /// The local target is known to be gone.
    void target_down(moment at);
    /// Starts a planned shutdown: all ranges are handed over. `stopped` returns true once that is
    /// done.
    void begin_stop(moment at);
    bool stopped() const;

    /// Submits a caller's request. The answer is among the effects under the returned ticket.
    std::uint64_t submit(caller_request request, moment at);
    void call_finished(std::uint64_t call, call_result result, moment at);

    node_effects take_effects();

    const lease_client &lease() const { return m_lease; }
    const range_owner &owner() const { return m_owner; }
    const request_router &router() const { return m_router; }
    const node_counters &counters() const { return m_counters; }
    const node_options &options() const { return m_options; }

private:
    void follow(const lease_client::change &changed, moment at);

    node_options m_options;
    node_effects m_effects;
    node_counters m_counters;
    lease_client m_lease;
    request_router m_router;
    range_owner m_owner;
    std::uint64_t m_next_ticket = 1;
    bool m_stop_begun = false;
};

} // namespace peppertack
