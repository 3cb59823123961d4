#pragma once

#include "peppertack/coordination/hold_manager.hpp"
#include "peppertack/coordination/lease_client.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peppertack {

/// Call from a node to its local target about the keys that the target holds.
struct hold_call {
    enum class kind : std::uint8_t { grant, release };

    std::uint64_t id = 0; ///< unique for each attempt
    kind what = kind::grant;
    held_span span;
    bool alone = false; ///< to be made over a connection that has served no other call

    friend bool operator==(const hold_call &, const hold_call &) = default;
};

/// Result of a `hold_call`.
struct hold_call_end {
    enum class kind : std::uint8_t {
        done,
        token_refused, ///< the target has seen a higher fencing token
        not_sent,      ///< no byte was sent to the target
        lost,          ///< sent without an answer; the target may execute it much later
    };

    kind result = kind::not_sent;
    /// Whether the answer can't be a repetition of one to an earlier call. If it may be, the target
    /// may carry the call out later.
    bool identified = true;
    std::uint64_t connection = 0; ///< over which the call was made; the target serves the calls of
                                  ///< one connection in their order
    std::string handover;         ///< state left by a completed release for the next holder

    friend bool operator==(const hold_call_end &, const hold_call_end &) = default;
};

/// Schedules the hold calls to a target that is granted its keys by calls: decides which calls are
/// due, for how long a grant may run, and when keys are certainly free. A target counts a grant
/// from when it reads it. For the node that moment lies between writing the call and receiving the
/// answer or, without an answer, closing the connection. A grant without an answer, or with one
/// that may be a repetition, may be executed at any later time, even after a release that was
/// answered over another connection, but its duration still counts from when it was read. Its keys
/// are therefore free only after the longest time that it can run. Not thread safe.
class hold_call_scheduler {
public:
    struct options {
        /// Longest hold of one grant. Keys of a target that stopped answering stay unavailable
        /// until it ends. Three renewals fit into it.
        duration max_hold = std::chrono::milliseconds(1500);
        /// After two consecutive lost renewals the third still arrives before the hold ends.
        duration renew_after = std::chrono::milliseconds(400);
        /// The call is abandoned this long after its bytes were written. A target on the same
        /// instance answers a grant within a few ms, and the bytes arrive long before this.
        duration answer_timeout = std::chrono::milliseconds(250);
        duration retry_delay = std::chrono::milliseconds(50); ///< delay after a failed call
        /// A grant unanswered for this long no longer delays the next one.
        duration stuck_after = std::chrono::milliseconds(10);
        /// Maximum number of connections occupied by unanswered grants. With 24, 25 spans of a
        /// target that does not answer are renewed within 0.3 s, a third of a hold; with 8 it took
        /// 0.8 s, and keys were unserved in between.
        std::size_t max_stuck_grants = 24;
        /// A target with an unanswered grant and no heartbeat for this long receives no further
        /// grants, since each would keep its keys unavailable for longer.
        duration heartbeat_timeout = std::chrono::seconds(1);
        /// Shorter holds are not granted: they would end before requests arrive.
        duration min_hold = std::chrono::milliseconds(50);
        /// If no newer map replaces a refused token within this time, none is expected.
        duration refusal_timeout = std::chrono::seconds(2);
        /// Longest hold that an earlier process of this node may have granted before it ended.
        duration previous_process_hold = std::chrono::seconds(2);
    };

    /// `manager` must outlive this object; released ranges are reported to it.
    hold_call_scheduler(options settings, hold_manager &manager)
        : m_options(settings), m_manager(manager) {}

    /// The process begins: from `now` on, grants of an earlier one run out. Without this call it
    /// begins with the first call of `due`.
    void start(instant now);
    /// Returns the calls to make now. `last_heartbeat`: when the target last sent a heartbeat.
    std::vector<hold_call> due(const lease_client &lease, instant last_heartbeat, instant now);
    /// To be called immediately before the bytes of a call are written. Returns how long the hold
    /// may run, or nothing if the call must not be made any more. A length computed earlier would
    /// let the hold outlast the lease if the process was paused in between.
    std::optional<duration> write(std::uint64_t id, const lease_client &lease, instant now);
    void end(std::uint64_t id, const hold_call_end &how, instant now);
    /// Whether the result of a call is still needed; if not, the call may be cancelled.
    bool is_in_flight(std::uint64_t id) const { return m_in_flight.count(id) != 0; }
    /// Grants past their answer timeout, to be cancelled and ended as `lost`.
    std::vector<std::uint64_t> overdue(instant now) const;

    /// Whether the target holds a key, or may hold it by an unanswered grant. The target refuses
    /// requests for keys that it does not hold, so a wrong guess costs only a round trip.
    bool holds(std::uint32_t key, instant now) const;
    /// When the last grant has certainly ended; zero if nothing can be held.
    instant may_hold_until() const;
    /// Records that the target refused a request for a key that it does not hold. The key is
    /// granted again after the retry delay and counts as not held until then.
    void note_refused(std::uint32_t key, instant now);
    /// No process listened at the target's address at some moment after `at`: whichever took a
    /// call that was written before then has ended. Precondition: `start` was called before `at`.
    void note_no_listener(instant at);
    /// Drops all state when the target holds nothing any more.
    void reset();
    /// The target gets another number. Grants made before run out, and count as held until then.
    void begin_registration();
    /// Whether a token has been refused for so long that only a new registration helps.
    bool token_rejected(instant now) const;

private:
    using span_key = std::pair<std::uint32_t, fencing_token>; ///< first key and token

    /// A call without a result yet.
    struct pending {
        hold_call call;
        instant begun{};
        std::optional<instant> written;
        duration length{};
    };
    /// Keys that the target may hold by a single grant.
    struct granted {
        std::uint32_t from = 0;
        std::uint32_t to = 0;
        instant written{};
        bool answered = false;
        std::optional<instant> carried_out; ///< when the target is known to have carried it out
        std::uint64_t connection = 0;       ///< over which it was written
        instant sure_until{};               ///< earliest end of the hold, if answered
        instant ends{};                     ///< latest end of the hold
        bool refused = false; ///< the target has since refused a request for one of its keys
    };
    /// A span that the target is to hold.
    struct wanted {
        held_span span;
        instant renew_at{};
        bool was_granted = false;                   ///< a grant was answered
        std::optional<instant> token_refused_since; ///< when the target refused its token as too
                                                    ///< low
    };
    /// A moving range that the target has to release.
    struct releasing {
        std::uint64_t call = 0; ///< id of the call in flight; 0: none
        instant retry_at{};
        std::optional<instant> answered; ///< when the call with the answer was written
        bool unidentified = false;       ///< an answer came that may have been to another call
        std::string handover;
    };

    void update_wanted(const lease_client &lease);
    void add_grants(std::vector<hold_call> &calls, instant last_heartbeat, instant now);
    void add_releases(std::vector<hold_call> &calls, const lease_client &lease, instant now);
    hold_call begin(hold_call::kind what, const held_span &span, instant now);
    void end_grant(const pending &item, const hold_call_end &how, instant now);
    void end_release(const pending &item, const hold_call_end &how, instant now);
    void settle_grants(const held_span &span, instant written, std::uint64_t connection,
                       instant now);
    bool settles_more(const held_span &span, instant then) const;
    bool free(std::uint32_t from, std::uint32_t to, instant now) const;
    bool grant_in_flight(std::uint32_t from, std::uint32_t to) const;
    void drop_ended_grants(instant now);
    duration max_real_length(duration length) const;
    instant latest_end(const pending &item) const;

    options m_options;
    hold_manager &m_manager;
    std::uint64_t m_last_id = 0;
    std::map<std::uint64_t, pending> m_in_flight; ///< by call
    std::vector<granted> m_granted;
    std::map<span_key, wanted> m_wanted;
    std::map<std::pair<std::uint64_t, fencing_token>, releasing>
        m_releasing;                    ///< by first hash and token of the range
    instant m_previous_process_until{}; ///< grants of an earlier process may run until then; zero:
                                        ///< not set yet
    instant m_broken_at{}; ///< when the connection of a grant last broke before its answer
    std::uint32_t m_consecutive_lost_grants = 0; ///< lost grants since the last answered one
};

} // namespace peppertack
