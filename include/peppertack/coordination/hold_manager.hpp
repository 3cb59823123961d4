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

/// Inclusive span of ordered keys, `from` to `to`, that a target holds under a fencing token.
struct held_span {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    fencing_token token = 0;
    std::string handover; ///< state left by the previous holder; empty if the keys did not come by
                          ///< a planned move

    friend bool operator==(const held_span &, const held_span &) = default;
};

/// Span of ordered keys that a target has released, with the state that it leaves to the next
/// holder.
struct released_span {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::string handover;

    friend bool operator==(const released_span &, const released_span &) = default;
};

/// Report of held and released keys in the heartbeat of a target that enforces its own lease.
struct hold_report {
    std::vector<held_span> holds; ///< spans that it holds or still executes requests for
    std::vector<released_span> freed;

    friend bool operator==(const hold_report &, const hold_report &) = default;
};

/// Answer to a heartbeat: all spans that the target is to hold, and for how long, counted from when
/// it sent the heartbeat. Without `renews` its current hold expires.
struct hold_grant {
    bool renews = false;
    std::vector<held_span> holds;
    duration length{};

    friend bool operator==(const hold_grant &, const hold_grant &) = default;
};

/// Delegates a node's lease to a target that enforces a lease of its own (a hold). A hold always
/// ends before the node's lease does, so that it never overlaps with the next owner's, even if this
/// node is paused, partitioned or crashed. Not thread safe.
class hold_manager {
public:
    struct options {
        duration max_hold = std::chrono::seconds(10); ///< longest hold that a target accepts
        /// Largest relative rate error of a target's clock: a slow clock prolongs the hold by this
        /// fraction.
        double clock_drift = 0.02;
        /// Subtracted from each hold, for the network delay of the answer and late timers.
        duration margin = std::chrono::milliseconds(30);
    };
    enum class key_state : std::uint8_t {
        held,      ///< the target holds it and accepts requests for it
        expected,  ///< owned according to the map; granted with the next heartbeat
        moving,    ///< being moved to another target
        not_owned, ///< owned by another target or by none
    };

    explicit hold_manager(options settings) : m_options(settings) {}

    /// Records the releases that a heartbeat reports. `may_be_old`: it may have been sent before
    /// the last hold was granted, so keys that it does not name may be held.
    void note(const hold_report &report, const lease_client &lease, bool may_be_old = false);
    /// Answers a heartbeat received at `received`. The target counts its hold from when it sent the
    /// heartbeat, which is no later than `received`.
    hold_grant grant(const lease_client &lease, instant received, instant now);
    /// Longest hold that still ends before the lease does if the target starts it no later than
    /// `counted_from`. Zero or negative if there is none.
    duration length(const lease_client &lease, instant counted_from, instant now) const;
    /// Longest real time that a hold of `length` can last with the slowest permitted clock, margin
    /// included.
    duration max_real_length(duration length) const;
    /// Spans that the target is to hold: its ranges that are not moving. Neighbours with the same
    /// token and handover are joined.
    static std::vector<held_span> wanted_spans(const lease_client &lease);
    static held_span span_of(const lease_client::own_range &range);
    /// Records that a moving range is certainly no longer held by the target, to be reported to the
    /// leader.
    void note_released(const lease_client::own_range &range, const std::string &handover);
    /// Drops releases of ranges that are not among `moving`. A range whose move was cancelled may
    /// be held again, so a later move of it must not count as released by the earlier report.
    void keep_released(const std::set<std::pair<std::uint64_t, fencing_token>> &moving);
    /// Whether keys are about to be assigned to the target, so that a slightly delayed answer could
    /// include them.
    bool expects_keys(const lease_client &lease) const;
    /// Drops all state when the target holds nothing any more.
    void reset();
    /// The target gets another number. What it was granted before, it may still hold.
    void begin_registration();
    /// State of the key at `hash` for a request that arrives now.
    key_state state_of(std::uint64_t hash, const lease_client &lease, instant now) const;
    /// As `state_of`, for a key that the target does not hold yet.
    key_state awaited_state(std::uint64_t hash, const lease_client &lease) const;
    /// When the last hold has ended by the slowest permitted clock; zero if there was none.
    instant may_hold_until() const { return m_may_hold_until; }
    /// Assumes that the target may hold keys until `until`, although no grant is known.
    void assume_until(instant until) { m_may_hold_until = std::max(m_may_hold_until, until); }
    /// Adds ranges that the target has released to a renewal.
    void fill_report(renew_request &request, const lease_client &lease) const;
    /// Whether a release has not been put into a renewal yet.
    bool has_unreported_release() const { return m_unreported_release; }
    void mark_releases_reported() { m_unreported_release = false; }

private:
    struct release {
        fencing_token token = 0;
        std::string handover;
    };

    bool still_held(const hold_report &report, const lease_client::own_range &range) const;
    static bool freed(const hold_report &report, const lease_client::own_range &range);
    std::string handover_of(const hold_report &report, const lease_client::own_range &range) const;

    options m_options;
    std::vector<held_span> m_granted; ///< granted by the last answer, sorted
    instant m_held_until{};           ///< by the last answer
    instant m_may_hold_until{};       ///< by any answer, or by an earlier process of this node
    std::map<std::uint64_t, release> m_released; ///< by the first hash of the range
    bool m_unreported_release = false;
};

} // namespace peppertack
