#pragma once

#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/node_options.hpp"
#include "peppertack/coordination/range_owner.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <unordered_map>

namespace peppertack {

/// Routes callers' requests to the owner of their key and returns the answers. Resends a request
/// only if it certainly did not run, is repeatable, or has an idempotency key by which the owner
/// recognises resends. Not thread safe.
class request_router {
public:
    request_router(const node_options &options, const lease_client &lease, node_effects &effects,
                   node_counters &counters);
    void set_owner(range_owner &owner) { m_owner = &owner; }

    void submit(std::uint64_t ticket, caller_request request, moment at);
    /// Handles an answer of the local `range_owner`.
    void local_answer(const request_id &id, caller_response response, moment at);
    void receive(const node_address &from, const forward_reply &reply, moment at);
    void receive(const node_address &from, const fate_reply &reply, moment at);
    /// Handles a connection to a peer that was lost or can't be established.
    void peer_down(const node_address &address, moment at);
    void map_changed(moment at);
    void tick(moment at);
    std::size_t unfinished() const { return m_entries.size(); }

private:
    enum class phase : std::uint8_t { waiting, local, remote };

    struct entry {
        std::uint64_t ticket = 0;
        caller_request request;
        std::uint64_t hash = 0;
        instant received{};
        instant deadline{};
        phase state = phase::waiting;
        request_id id; ///< of the current attempt
        node_address address;
        target_number owner = no_target;
        fencing_token token = 0;
        instant sent{};
        instant probe_at{};
        instant retry_at{};
        error_kind wait_reason = error_kind::no_owner;
        bool may_have_run = false; ///< an earlier attempt may have reached a target
    };

    entry *find(const request_id &id);
    void route(entry &value, moment at);
    void wait(entry &value, error_kind reason, duration pause, moment at);
    void handle_answer(entry &value, caller_response response, moment at);
    void handle_unknown_outcome(entry &value, caller_response response, moment at);
    void retry_or_finish(entry &value, caller_response response, moment at);
    void finish(entry &value, caller_response response, moment at);
    void handle_owner_loss(entry &value, moment at);
    void probe(entry &value, moment at);
    caller_response refusal(error_kind error, const entry &value) const;
    bool safe_to_resend(const entry &value) const;
    duration jittered(duration base);

    const node_options &m_options;
    const lease_client &m_lease;
    node_effects &m_effects;
    node_counters &m_counters;
    range_owner *m_owner = nullptr;
    retry_budget m_budget;
    std::mt19937_64 m_random;
    std::uint64_t m_sequence = 0;
    std::unordered_map<std::uint64_t, entry> m_entries; ///< by ticket
    std::unordered_map<std::uint64_t, std::uint64_t>
        m_by_id; ///< sequence number of an attempt to ticket
};

} // namespace peppertack
