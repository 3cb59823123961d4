#pragma once

#include "peppertack/coordination/hold_manager.hpp"
#include "peppertack/coordination/lease_client.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peppertack {

/// A call that a node makes to the target beside it about the keys that the target holds.
struct hold_call {
    enum class kind : std::uint8_t { grant, release };

    std::uint64_t id = 0; ///< of this call; a resend has another
    kind what = kind::grant;
    held_span span;

    friend bool operator==(const hold_call &, const hold_call &) = default;
};

/// What became of a `hold_call`.
struct hold_call_end {
    enum class kind : std::uint8_t {
        done,
        token_refused, ///< the target has seen a higher fencing token
        not_sent,      ///< no byte reached the target
        lost,          ///< sent, and no answer came: it may be carried out much later
    };

    kind result = kind::not_sent;
    std::string handover; ///< of a release that is done, for the next holder

    friend bool operator==(const hold_call_end &, const hold_call_end &) = default;
};

/// Hands a node's lease on to a target that takes its keys by calls: which calls are due, for how
/// long a grant may run, and when keys are surely free.
///
/// A target counts a grant from when it reads it. The caller knows that moment only as between its
/// write and the answer, or, without an answer, the moment at which it gave the connection up. A
/// grant without an answer may be carried out any time later, also after a release that was
/// answered, but its time still counts from when it was read. So its keys are free only when the
/// longest time that it can run has passed. Not thread safe.
class hold_call_scheduler {
public:
    struct options {
        /// Longest hold of one grant. Keys of a target that fell silent, or whose grant got no
        /// answer, wait for its end; three renewals fit into it.
        duration max_hold = std::chrono::milliseconds(1500);
        /// With two renewals lost in a row the third still comes before the hold ends.
        duration renew_after = std::chrono::milliseconds(400);
        /// A target on the same instance answers a grant within a few ms; later than this
        /// after the write the call is given up. Its bytes have arrived long before.
        duration answer_timeout = std::chrono::milliseconds(250);
        duration retry_delay =
            std::chrono::milliseconds(50); ///< between a failed call and the next
        /// A grant out for so long no longer keeps the next one from being sent.
        duration stuck_after = std::chrono::milliseconds(10);
        /// Connections that unanswered grants may take at a time. A target that answers none has 25
        /// spans renewed within 0.3 s by it, a third of a hold; with 8 it took 0.8 s, and keys were
        /// unserved in between.
        std::size_t max_stuck_grants = 24;
        /// A target that sends no heartbeat for so long, and leaves a grant unanswered, gets no
        /// further ones: each would keep its keys from others for longer.
        duration heartbeat_timeout = std::chrono::seconds(1);
        /// A hold shorter than this is over before requests for it arrive.
        duration min_hold = std::chrono::milliseconds(50);
        /// A refused token that no newer map replaces for so long is not going to be replaced.
        duration refusal_timeout = std::chrono::seconds(2);
        /// Longest hold that an earlier life of this process may have granted before it ended.
        duration previous_process_hold = std::chrono::seconds(2);
    };

    /// `manager` outlives this and is told of released ranges.
    hold_call_scheduler(options settings, hold_manager &manager)
        : m_options(settings), m_manager(manager) {}

    /// Calls to be made now. `last_heartbeat`: when the target last sent a heartbeat.
    std::vector<hold_call> due(const lease_client &lease, instant last_heartbeat, instant now);
    /// Call it directly before the bytes of a call are written: yields how long the hold may run,
    /// or nothing if the call must not be made any more. A length worked out earlier would let the
    /// hold outlast the lease if the process was paused in between.
    std::optional<duration> write(std::uint64_t id, const lease_client &lease, instant now);
    void end(std::uint64_t id, const hold_call_end &how, instant now);
    /// Whether the end of a call is still of interest; if not it may be cancelled.
    bool is_in_flight(std::uint64_t id) const { return m_in_flight.count(id) != 0; }
    /// Grants that have been out for too long: they are to be cancelled and ended as `lost`.
    std::vector<std::uint64_t> overdue(instant now) const;

    /// Whether the target holds a key, or may hold it by a grant that got no answer. It refuses a
    /// request for a key that it does not hold, so the second only costs a way.
    bool holds(std::uint32_t key, instant now) const;
    /// When the last grant has ended for sure; zero if nothing can be held.
    instant may_hold_until() const;
    /// The target refused a request for a key as not held: it is granted again at once, and counts
    /// as not held until then.
    void note_refused(std::uint32_t key, instant now);
    /// Another target, or none, or its next life: nothing of before counts.
    void reset();
    /// Grants refused for a higher token for so long that only new tokens help.
    bool token_rejected(instant now) const;

private:
    using span_key = std::pair<std::uint32_t, fencing_token>; ///< first key and token

    /// A call whose end is not known.
    struct pending {
        hold_call call;
        instant begun{};
        std::optional<instant> written;
        duration length{};
    };
    /// Keys that the target may hold by one grant.
    struct granted {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        instant written{};
        bool answered = false;
        instant sure_until{}; ///< it holds them at least until then, if answered
        instant ends{};       ///< and at most until then
        bool refused = false; ///< the target has refused a request for one of its keys since
    };
    /// A span that the target is to hold.
    struct wanted {
        held_span span;
        instant renew_at{};
        bool was_granted = false;                   ///< a grant was answered
        std::optional<instant> token_refused_since; ///< its token is too low by the target's word
    };
    /// A range that is to be let go of.
    struct releasing {
        std::uint64_t call = 0; ///< in flight; 0: none
        instant retry_at{};
        bool answered = false;
        std::string handover;
    };

    void update_wanted(const lease_client &lease);
    void add_grants(std::vector<hold_call> &calls, instant last_heartbeat, instant now);
    void add_releases(std::vector<hold_call> &calls, const lease_client &lease, instant now);
    hold_call begin(hold_call::kind what, const held_span &span, instant now);
    void end_grant(const pending &item, const hold_call_end &how, instant now);
    void end_release(const pending &item, const hold_call_end &how, instant now);
    void clear_settled_grants(std::uint32_t from, std::uint32_t to, instant before);
    bool free(std::uint32_t from, std::uint32_t to, instant now) const;
    bool grant_in_flight(std::uint32_t from, std::uint32_t to) const;
    void drop_ended_grants(instant now);
    duration max_real_length(duration length) const;

    options m_options;
    hold_manager &m_manager;
    std::uint64_t m_last_id = 0;
    std::map<std::uint64_t, pending> m_in_flight; ///< by call
    std::vector<granted> m_granted;
    std::map<span_key, wanted> m_wanted;
    std::map<std::pair<std::uint64_t, fencing_token>, releasing>
        m_releasing;                    ///< by first hash and token of the range
    instant m_previous_process_until{}; ///< until then an earlier life's grants may run; zero: not
                                        ///< begun
    std::uint32_t m_consecutive_lost_grants =
        0; ///< grants without an answer since the last that had one
};

} // namespace peppertack
