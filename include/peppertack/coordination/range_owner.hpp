#pragma once

#include "peppertack/coordination/admission.hpp"
#include "peppertack/coordination/crash_reporter.hpp"
#include "peppertack/coordination/hot_key_counter.hpp"
#include "peppertack/coordination/idempotency_store.hpp"
#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/node_options.hpp"
#include "peppertack/coordination/standby_replicator.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Owner side of a node: executes requests for the ranges that the local target owns, each at most
/// once, and hands ranges over on planned moves. Answers to local requests are passed to a
/// callback, answers to peers are sent as messages. Not thread safe.
class range_owner {
public:
    using local_reply = std::function<void(const request_id &, caller_response, moment)>;

    range_owner(const node_options &options, lease_client &lease, node_effects &effects,
                node_counters &counters, local_reply reply);

    /// Accepts a request from a peer (`from`) or from this node itself (`from` empty). `owner` is
    /// the registration that the sender assumes to own the key.
    void serve(const request_id &id, const std::optional<node_address> &from, target_number owner,
               caller_request request, moment at);
    void call_finished(std::uint64_t call, call_result result, moment at);
    /// Cancels a request whose caller no longer needs the answer. A request that has not started is
    /// never started; a running call is cancelled.
    void cancel(const request_id &id, moment at);

    void receive(const node_address &from, const fate_query &query, moment at);
    void receive(const node_address &from, const remember_request &request, moment at);
    void receive(const node_address &from, const remember_reply &reply, moment at);
    void receive(const node_address &from, const recall_request &request, moment at);
    void receive(const node_address &from, const recall_reply &reply, moment at);

    void tick(moment at);
    void map_changed(moment at);
    void table_changed();
    void registration_changed(moment at);
    /// Refuses all waiting requests and cancels running ones; for a target that is gone or whose
    /// lease was given up.
    void stop_serving(moment at);
    void fill_report(renew_request &request, instant now);
    /// The target's process has ended unexpectedly.
    void target_ended(instant now);
    /// Target crashes that the leader has recorded.
    void crashes_recorded(const std::vector<std::uint64_t> &incarnations) {
        m_crashes.recorded(incarnations);
    }

    /// Whether a request for `hash` would be accepted now: the range is owned, is not moving, and
    /// the lease is valid.
    bool serves(std::uint64_t hash, instant now) const;
    const admission &admitted() const { return m_admission; }
    const idempotency_store &memory() const { return m_memory; }
    std::size_t unfinished() const { return m_served.size(); }
    std::size_t owned_ranges() const { return m_own_ranges.size(); }
    std::size_t standby_copies() const { return m_copies.size(); }

private:
    enum class phase : std::uint8_t { attached, recalling, recording, queued, running };

    struct served_request {
        request_id id;
        std::optional<node_address> from;
        caller_request request;
        std::uint64_t hash = 0;
        std::uint64_t fingerprint = 0;
        instant deadline{};
        phase state = phase::queued;
        fencing_token token = 0;
        target_number registration = no_target; ///< registration that the request was sent to
        instant started{};
        bool keyed = false;
    };
    /// Result of a finished request from a peer, kept to answer fate queries. Without a response
    /// the request is barred: it is dropped if it still arrives.
    struct finished_request {
        std::optional<caller_response> response;
        bool dropped = false; ///< it was executed, but its answer was not stored
        instant at{};
        std::size_t bytes = 0;
    };
    struct own_range {
        range_record record;
        std::uint64_t last = 0;
    };
    enum class release_step : std::uint8_t { draining, handing_over, released };
    struct release {
        fencing_token token = 0;
        target_number to = no_target;
        release_step step = release_step::draining;
        std::uint64_t sequence = 0;
        instant sent{};
    };
    enum class recall_step : std::uint8_t { asking, storing, done, lost };
    struct recall {
        recall_step step = recall_step::asking;
        std::uint64_t sequence = 0;
        instant sent{};
        fencing_token token = 0;
    };
    struct standby_copy {
        std::uint64_t last_sequence = 0;
        idempotency_store keys;
        instant touched{};
    };
    struct handover_in {
        node_address from;
        std::uint64_t sequence = 0;
    };

    caller_response refusal(error_kind error) const;
    void reply(const served_request &request, caller_response response, moment at);
    std::optional<caller_response> check_owner(const served_request &request, target_number owner,
                                               instant now);
    const own_range *own_range_of(std::uint64_t hash) const;
    bool check_memory(std::uint64_t serial, moment at);
    void record_key(std::uint64_t serial, moment at);
    void admit(std::uint64_t serial, moment at);
    void start(std::uint64_t serial, moment at);
    void start_queued(moment at);
    void finish(std::uint64_t serial, caller_response response, moment at);
    void record_outcome(const served_request &request, const caller_response &response, moment at);
    void erase_key(const served_request &request);
    void finish_attached(const served_request &request, const caller_response &response, moment at);
    void keep_finished(const served_request &request, const caller_response &response, instant now);
    void expire_finished(instant now);
    void refuse_waiting(error_kind error, moment at);
    void expire_waiting(moment at);
    void release_waiters(const std::vector<standby_waiter> &waiters, moment at);
    void follow_standby(moment at);
    void rebuild_own_ranges();
    void step_releases(moment at);
    bool has_requests(const own_range &range) const;
    void hand_over(const own_range &range, release &state, moment at);
    void step_recalls(moment at);
    void store_recalled_keys(std::uint64_t first, std::vector<remembered_key> keys, moment at);
    void resume_recalling(moment at);
    bool recall_pending(const own_range &range) const;
    bool memory_lost(const own_range &range) const;
    remembered_key key_of(const served_request &request, key_phase phase,
                          std::int64_t wall_ms) const;

    const node_options &m_options;
    lease_client &m_lease;
    node_effects &m_effects;
    node_counters &m_counters;
    local_reply m_reply;
    admission m_admission;
    idempotency_store m_memory;
    standby_replicator m_standby;
    hot_key_counter m_hot_keys;
    crash_reporter m_crashes;
    target_number m_number = no_target;
    std::vector<own_range> m_own_ranges; ///< sorted
    std::unordered_map<std::uint64_t, served_request> m_served;
    std::map<request_id, std::uint64_t> m_by_id;
    std::map<request_id, finished_request> m_finished;
    std::deque<request_id> m_finished_order;
    std::size_t m_finished_bytes = 0;
    std::uint64_t m_next_serial = 1;
    std::uint64_t m_next_sequence = 1;
    std::map<std::uint64_t, release> m_releases; ///< by first
    std::map<std::uint64_t, recall> m_recalls;   ///< by first
    std::map<target_number, standby_copy> m_copies;
    std::unordered_map<std::uint64_t, handover_in> m_handovers_in;
    std::unordered_map<std::uint64_t, std::uint32_t> m_range_requests;
    instant m_loads_sent{};
};

} // namespace peppertack
