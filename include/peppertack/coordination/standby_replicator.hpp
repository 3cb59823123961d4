#pragma once

#include "peppertack/coordination/key_memory.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace peppertack {

/// Something that may go on only once the standby holds what was added.
struct standby_waiter {
    enum class kind : std::uint8_t { request, handover, restored };
    kind what = kind::request;
    std::uint64_t id = 0;
};

/// Keeps a standby's copy of the remembered keys complete: first everything, then each change, in
/// batches of which one at a time is under way. While the copy counts, nothing that may run only
/// once is started before its key is held there. Not thread safe.
class standby_replicator {
public:
    struct options {
        duration resend_interval = std::chrono::milliseconds(100);
        duration timeout = std::chrono::milliseconds(250);
    };

    explicit standby_replicator(options settings) : m_options(settings) {}

    /// Takes the standby named by the map; `owner` is this node's own registration. Yields waiters
    /// that need not wait any more since the former copy has stopped counting.
    std::vector<standby_waiter> follow(target_number owner, const target_route &own,
                                       const node_address &standby_address);
    /// The registration has ended.
    std::vector<standby_waiter> reset();

    /// Adds a change. True if `waiter` was kept and will be yielded later; false if it need not
    /// wait.
    bool add(const remembered_key &key, std::optional<standby_waiter> waiter);
    bool add_all(const std::vector<remembered_key> &keys, standby_waiter waiter);
    /// Sends what is due.
    void step(const key_memory &memory, instant now, std::vector<outgoing> &messages);
    /// Takes a reply; yields the waiters that it releases.
    std::vector<standby_waiter> receive(const remember_reply &reply);

    /// The copy may be relied on after a loss, or may be about to be.
    bool counts() const { return m_standby != no_target && (m_complete || m_ready); }
    /// For the renewal: what to report of the standby, if anything.
    void report(renew_request &request, instant now) const;

private:
    std::vector<standby_waiter> take_waiters();

    options m_options;
    target_number m_owner = no_target;
    target_number m_standby = no_target;
    node_address m_address;
    std::uint64_t m_epoch = 0;
    bool m_ready = false;    ///< the map says that the copy counts
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
