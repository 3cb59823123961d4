#pragma once

#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peppertack {

/// Ordered keys from `from` to `to`, both included, that a target holds under a fencing token.
struct held_span {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    fencing_token token = 0;
    std::string handover; ///< of the last holder; empty if the keys did not come by a planned move

    friend bool operator==(const held_span &, const held_span &) = default;
};

/// Ordered keys that a target has released, and what it leaves to the next holder.
struct released_span {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::string handover;

    friend bool operator==(const released_span &, const released_span &) = default;
};

/// What a target that keeps leases of its own says in a heartbeat.
struct hold_report {
    std::vector<held_span> holds; ///< what it holds or is still working on
    std::vector<released_span> freed;

    friend bool operator==(const hold_report &, const hold_report &) = default;
};

/// Answer to a heartbeat: everything the target is to hold, and for how long from when it sent the
/// heartbeat. Without `renews` its present hold runs out by itself.
struct hold_grant {
    bool renews = false;
    std::vector<held_span> holds;
    duration length{};

    friend bool operator==(const hold_grant &, const hold_grant &) = default;
};

/// Hands a node's lease on to a target that checks a lease of its own. What the target is told to
/// hold always ends before the node's lease does, so that whoever is given the keys next never
/// overlaps with it, also when this node is paused, cut off or gone. Not thread safe.
class hold_manager {
public:
    struct options {
        duration max_hold = std::chrono::seconds(10); ///< longest hold that a target takes
        /// Rate by which a target's clock may lag behind: it would hold on for that much longer.
        double clock_drift = 0.02;
        /// Taken off each hold: the way of the answer, and a timer that fires late.
        duration margin = std::chrono::milliseconds(30);
    };
    enum class key_state : std::uint8_t {
        held,      ///< the target holds it and runs requests for it
        expected,  ///< it is the target's by the map; the next heartbeat brings it
        moving,    ///< on its way to another target
        not_owned, ///< another target's
    };

    explicit hold_manager(options settings) : m_options(settings) {}

    /// Takes what a heartbeat says of released keys.
    void note(const hold_report &report, const lease_client &lease);
    /// The answer to a heartbeat that came at `received`. The target counts its hold from when it
    /// sent the heartbeat, so the hold is measured from no later than its receipt.
    hold_grant grant(const lease_client &lease, instant received, instant now);
    /// How long a hold may run that the target counts from no later than `counted_from`, so that it
    /// ends before the lease does. Zero or less if it can't.
    duration length(const lease_client &lease, instant counted_from, instant now) const;
    /// How long a hold of `length` runs by a clock that lags as far as is allowed.
    duration max_real_length(duration length) const;
    /// What the target is to hold: its ranges that don't move, neighbours under one token as one.
    static std::vector<held_span> wanted_spans(const lease_client &lease);
    static held_span span_of(const lease_client::own_range &range);
    /// A range that moves is surely no longer held by the target: the leader is told.
    void note_released(const lease_client::own_range &range, const std::string &handover);
    /// Forgets the releases of ranges that are not among `moving`: one that is not to move any more
    /// may be held again, and a later move of it is not released by the earlier report.
    void keep_released(const std::set<std::pair<std::uint64_t, fencing_token>> &moving);
    /// Whether keys are on their way to the target: an answer a little later could bring them.
    bool expects_keys(const lease_client &lease) const;
    /// Another target, or none: nothing is held.
    void reset();
    /// What a request for the key at `hash` would meet now.
    key_state state_of(std::uint64_t hash, const lease_client &lease, instant now) const;
    /// The same for a key that the target does not hold yet.
    key_state awaited_state(std::uint64_t hash, const lease_client &lease) const;
    /// When the last hold given ends for the target.
    instant held_until() const { return m_until; }
    /// Nothing is known to be held, but the target may hold keys until `until`.
    void assume_until(instant until) { m_until = until; }
    /// Adds ranges that the target has released to a renewal.
    void fill_report(renew_request &request, const lease_client &lease) const;
    /// Whether a range has been released that the leader should hear of at once.
    bool has_unreported_release() const { return m_unreported_release; }
    void mark_releases_reported() { m_unreported_release = false; }

private:
    struct release {
        fencing_token token = 0;
        std::string handover;
    };

    bool still_held(const hold_report &report, const lease_client::own_range &range) const;
    std::string handover_of(const hold_report &report, const lease_client::own_range &range) const;

    options m_options;
    std::vector<held_span> m_given; ///< by the last answer, in order
    instant m_until{};
    std::map<std::uint64_t, release> m_released; ///< by the first hash of the range
    bool m_unreported_release = false;
};

} // namespace peppertack
