#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/durable_log.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace peppertack {

/// The members of the replication group. Only voters count towards elections and commits; a learner
/// receives the log and becomes a voter once it has caught up.
struct membership {
    std::set<node_address> voters;
    std::optional<node_address> learner;
    std::optional<node_address> replaces; ///< voter that the learner replaces

    friend bool operator==(const membership &, const membership &) = default;
};

std::string encode(const membership &value);
std::optional<membership> decode_membership(std::string_view text, std::string &reason);

struct replica_options {
    node_address self;
    membership initial; ///< used only until the log contains a membership
    /// Lower bound; each timeout is drawn uniformly from one to two times the bound. The bound
    /// rises while disks are slow, see `adaptive_election_timeout`.
    duration election_timeout = std::chrono::milliseconds(300);
    duration heartbeat_interval = std::chrono::milliseconds(60);
    /// Minimum time between two heartbeat rounds that only confirm leadership. Requests that arrive
    /// in between share the next round.
    duration round_interval = std::chrono::milliseconds(5);
    /// Entries resent after a rejection are considered in flight for this long: a round trip over a
    /// link that loses packets. Acting on rejections of older heartbeats that arrive within it
    /// would only send duplicates.
    duration resend_interval = std::chrono::milliseconds(200);
    std::size_t entries_per_message = 512;
    std::size_t bytes_per_message = 4U << 20U;
    std::uint64_t seed = 1;
};

/// One member of a Raft group: elections with pre-vote, a leader that steps down when it loses
/// contact with a quorum, and one membership change at a time. Deterministic: time and messages are
/// passed in, outgoing messages are collected by `take_outgoing`. A vote is granted or counted, and
/// an entry is acknowledged or counted, only once the durable log has synced it. Everything else,
/// heartbeats and leadership confirmation in particular, continues while a write-behind log waits
/// for its disk. Not thread safe: use on the control thread only.
class replica {
public:
    enum class role : std::uint8_t { follower, candidate, leader, failed };

    /// Precondition: `log` outlives the replica.
    replica(replica_options options, durable_log &log, instant now);

    void tick(instant now);
    /// Handles messages of the voter protocol; ignores all others.
    void receive(const node_address &from, const message &body, instant now);

    /// Queues an entry and returns its index; nothing if this replica is not the leader. The entry
    /// belongs to the current term. `flush` writes all queued entries with one sync.
    std::optional<std::uint64_t> propose(entry_kind kind, std::string payload);
    void flush(instant now);
    /// Call after each completed write of a write-behind log, whether it succeeded or failed.
    void note_written(instant now);

    /// Adds `learner` and, once it has caught up, makes it a voter in place of `replaces`. Returns
    /// false if this replica is not the leader, has not committed an entry of its term, a
    /// membership change is pending, `learner` is a voter already, or `replaces` is not a voter.
    bool replace_voter(const node_address &learner, const std::optional<node_address> &replaces);

    /// Cancels a membership change whose learner does not catch up, so that another can start.
    /// Returns false if there is no learner, the change is not committed yet, or this replica is
    /// not the leader.
    bool cancel_change();

    /// Requests a heartbeat round that confirms leadership. The returned round is confirmed once
    /// `last_confirmed_round()` has reached it; no other leader had been elected when it started.
    std::uint64_t request_round();
    std::uint64_t last_confirmed_round() const { return m_confirmed_round; }

    std::vector<outgoing> take_outgoing();
    /// Returns the entries committed since the last call, in log order.
    std::vector<log_entry> take_committed();
    /// Returns a snapshot received from the leader, if any. The state machine must load it before
    /// it applies further committed entries.
    std::optional<log_snapshot> take_installed_snapshot();
    /// Stores the state machine's snapshot at `index` and drops the entries that it covers. Returns
    /// false if the write failed. Precondition: `index` was returned by `take_committed`.
    bool compact(std::uint64_t index, std::string state);

    /// Time since this leader last received a reply from `voter`; zero for this replica itself and
    /// for unknown voters.
    duration time_since_contact(const node_address &voter, instant now) const;
    /// Whether this replica is a voter in the latest membership that it has in its log.
    bool is_voter() const { return m_members.voters.count(m_options.self) != 0; }
    role current_role() const { return m_role; }
    bool leads() const { return m_role == role::leader; }
    std::uint64_t term() const { return m_log->vote().term; }
    const node_address &leader() const { return m_leader; }
    const membership &members() const { return m_members; }
    std::uint64_t commit_index() const { return m_commit_index; }
    /// Index of the entry that opens this leader's term. Once it is committed, so are all entries
    /// of earlier terms.
    std::uint64_t term_start() const { return m_term_start; }
    const std::string &last_reason() const { return m_log->last_reason(); }

private:
    struct progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        std::uint64_t round = 0; ///< highest heartbeat round acknowledged
        instant last_contact{};
        instant last_sent{};
        bool snapshot_sent = false;
        std::uint64_t resent_from = 0; ///< first entry resent after a rejection
        instant resent_at{};
    };

    void on(const node_address &from, const vote_request &request, instant now);
    void on(const node_address &from, const vote_reply &reply, instant now);
    void on(const node_address &from, const append_request &request, instant now);
    void on(const node_address &from, const append_reply &reply, instant now);
    void on(const node_address &from, const snapshot_request &request, instant now);

    /// What this follower has to acknowledge to the leader of `term`.
    struct acknowledgement {
        std::uint64_t term = 0;
        std::uint64_t matched = 0;  ///< last index known to match the leader's log
        std::uint64_t reported = 0; ///< last index acknowledged to the leader
        std::uint64_t round = 0;
    };

    void begin_step(instant now);
    void begin_write();
    void send_when_durable(outgoing item);
    std::uint64_t durable_match(std::uint64_t matched) const;
    void acknowledge_durable();
    void record_write_time(duration time);
    duration slowest_write() const;
    duration adaptive_election_timeout() const;
    duration contact_timeout() const;
    void start_election(bool pre_vote, instant now);
    void become_follower(std::uint64_t term, const node_address &leader, instant now);
    void become_leader(instant now);
    void count_votes(instant now);
    bool save_vote(std::uint64_t term, const node_address &voted_for);
    void reset_election_timer(instant now);
    bool log_is_current(const vote_request &request) const;
    bool has_recent_leader(instant now) const;
    std::vector<node_address> peers() const;
    void send_append(const node_address &to, instant now);
    void send_snapshot(const node_address &to, progress &state, instant now);
    void send_all(instant now);
    bool store_entries(const std::vector<log_entry> &entries);
    void advance_commit();
    void advance_round();
    void promote_learner();
    bool membership_committed() const;
    void commit_to(std::uint64_t index);
    void apply_members_entry(const log_entry &entry);
    void reload_members(std::uint64_t up_to);
    bool quorum(const std::function<bool(const node_address &)> &agrees) const;
    void fail();

    replica_options m_options;
    durable_log *m_log;
    std::mt19937_64 m_random;
    role m_role = role::follower;
    node_address m_leader;
    membership m_members;
    std::map<std::uint64_t, membership> m_member_history; ///< by log index
    instant m_now{};                                      ///< time of the current step
    bool m_step_blocked_on_disk = false; ///< by a write of this step or the one before
    instant m_write_staged_at{};         ///< when the oldest unfinished write was staged
    std::deque<std::pair<std::uint64_t, outgoing>>
        m_awaiting_sync; ///< by the log change that has to be synced first
    acknowledgement m_follower_ack;
    int m_failed_elections = 0; ///< consecutive
    duration m_slowest_write{}; ///< decaying maximum, see `slowest_write`
    instant m_slowest_write_expires_at{};
    instant m_election_at{};
    instant m_leader_contact_at{};
    bool m_pre_vote = false;
    std::set<node_address> m_votes;
    std::map<node_address, progress> m_progress;
    std::vector<log_entry> m_queued_entries;
    std::uint64_t m_commit_index = 0;
    std::uint64_t m_delivered_index = 0;
    std::uint64_t m_term_start = 0;
    std::uint64_t m_requested_round = 0;
    std::uint64_t m_sent_round = 0;
    std::uint64_t m_confirmed_round = 0;
    instant m_round_sent_at{};
    instant m_quorum_check_at{};
    std::optional<log_snapshot> m_installed_snapshot;
    std::vector<outgoing> m_outgoing;
};

} // namespace peppertack
