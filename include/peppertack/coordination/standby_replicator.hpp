#pragma once

#include "peppertack/coordination/idempotency_store.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace peppertack {

/// An operation that may continue only once the standby holds the added keys.
struct standby_waiter {
    enum class kind : std::uint8_t { request, handover, restored };
    kind what = kind::request;
    std::uint64_t id = 0;
};

/// Replicates the remembered keys to a standby: first a full copy, then each change, in batches of
/// which one at a time is in flight. While the copy counts, no request that may run only once
/// starts before the standby holds its key. Not thread safe.
class standby_replicator {
public:
    struct options {
        duration resend_interval = std::chrono::milliseconds(100);
        duration timeout = std::chrono::milliseconds(250);
    };

    explicit standby_replicator(options settings) : m_options(settings) {}

    /// Switches to the standby given in the map; `owner` is this node's own registration. Returns
    /// the waiters that may continue because the former copy no longer counts.
    std::vector<standby_waiter> follow(target_number owner, const target_route &own,
                                       const node_address &standby_address);
    /// Drops the standby when the registration has ended.
    std::vector<standby_waiter> reset();

    /// Adds a change. Returns true if `waiter` was stored and will be returned later, false if it
    /// need not wait.
    bool add(const remembered_key &key, std::optional<standby_waiter> waiter);
    bool add_all(const std::vector<remembered_key> &keys, standby_waiter waiter);
    /// Sends or resends the batch that is due.
    void step(const idempotency_store &memory, instant now, std::vector<outgoing> &messages);
    /// Processes a reply. Returns the waiters that it releases.
    std::vector<standby_waiter> receive(const remember_reply &reply);

    /// Whether the copy may be relied on if the owner is lost, now or soon.
    bool counts() const { return m_standby != no_target && (m_complete || m_ready); }
    /// Adds the state of the standby to a renewal.
    void report(renew_request &request, instant now) const;

private:
    std::vector<standby_waiter> take_waiters();

    options m_options;
    target_number m_owner = no_target;
    target_number m_standby = no_target;
    node_address m_address;
    std::uint64_t m_epoch = 0;
    bool m_ready = false;    ///< the copy counts according to the map
    bool m_complete = false; ///< the whole copy was acknowledged in this epoch
    bool m_need_all = false;
    std::vector<remembered_key> m_pending;
    std::vector<standby_waiter> m_pending_waiters;
    std::optional<remember_request> m_batch;
    std::vector<standby_waiter> m_batch_waiters;
    std::uint64_t m_batch_sequence = 0;
    instant m_batch_began{};
    instant m_batch_sent{};
};

} // namespace peppertack
