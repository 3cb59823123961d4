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

/// Who takes part in replication. Only voters count for elections and commits; a learner is sent
/// everything and becomes a voter once it has caught up.
struct membership {
    std::set<node_address> voters;
    std::optional<node_address> learner;
    std::optional<node_address> replaces; ///< voter that leaves when the learner becomes one

    friend bool operator==(const membership &, const membership &) = default;
};

std::string encode(const membership &value);
std::optional<membership> decode_membership(std::string_view text, std::string &reason);

struct replica_options {
    node_address self;
    membership initial; ///< used only while the log holds no other
    /// Drawn from once to twice this; from more while disks are slow, see `patience`.
    duration election_timeout = std::chrono::milliseconds(300);
    duration heartbeat_interval = std::chrono::milliseconds(60);
    /// Least time between two rounds that only prove leadership. What asks for proof meanwhile
    /// shares the next one.
    duration round_interval = std::chrono::milliseconds(5);
    /// Entries sent again after a refusal count as under way for so long: a round trip over a link
    /// that loses packets. Refusals of older heartbeats that come meanwhile would only copy them.
    duration resend_interval = std::chrono::milliseconds(200);
    std::size_t entries_per_message = 512;
    std::size_t bytes_per_message = 4U << 20U;
    std::uint64_t seed = 1;
};

/// One voter's part in replicating the log: elections with pre-vote, a leader that steps down
/// without a quorum, one change of membership at a time. Deterministic: time and messages come in
/// as arguments, messages go out by `take_outgoing`. A vote is given or won by, and an entry is
/// acknowledged or counted, only once the durable log has synced it; all else, heartbeats and
/// proofs of leadership above all, goes on while a log that writes behind waits for its disk. Not
/// thread safe: it belongs to the control thread.
class replica {
public:
    enum class role : std::uint8_t { follower, candidate, leader, failed };

    /// Precondition: `log` outlives the replica.
    replica(replica_options options, durable_log &log, instant now);

    void tick(instant now);
    /// Takes messages of the voter protocol and ignores all others.
    void receive(const node_address &from, const message &body, instant now);

    /// Queues an entry and yields its index and the term under which it would be committed; nothing
    /// if this replica does not lead. `flush` writes what was queued with one sync.
    std::optional<std::uint64_t> propose(entry_kind kind, std::string payload);
    void flush(instant now);
    /// To be called after each write of a log that writes behind, whether it succeeded or not.
    void note_written(instant now);

    /// Adds `learner` and, once it has caught up, makes it a voter in place of `replaces`. False if
    /// this replica does not lead, a change is under way, or it would change nothing.
    bool replace_voter(const node_address &learner, const std::optional<node_address> &replaces);

    /// Gives up a change whose learner does not catch up, so that another can be begun. False if
    /// there is none, it is not yet recorded, or this replica does not lead.
    bool cancel_change();

    /// Asks for proof of leadership: the yielded round is confirmed when `last_confirmed_round()`
    /// has reached it. A confirmed round shows that no other leader had been elected when it began.
    std::uint64_t request_round();
    std::uint64_t last_confirmed_round() const { return m_confirmed_round; }

    std::vector<outgoing> take_outgoing();
    /// Entries that became committed since the last call, in order.
    std::vector<log_entry> take_committed();
    /// A snapshot received from the leader that the state machine has to load before any further
    /// committed entries.
    std::optional<log_snapshot> take_installed_snapshot();
    /// Stores the state machine's snapshot at `index` and drops the entries it covers.
    /// Precondition: `index` was handed out by `take_committed`.
    bool compact(std::uint64_t index, std::string state);

    /// How long `voter` has not been heard of by this leader; zero for this replica itself.
    duration time_since_contact(const node_address &voter, instant now) const;
    /// Whether this replica counts for elections and commits, as far as it knows.
    bool is_voter() const { return m_members.voters.count(m_options.self) != 0; }
    role current_role() const { return m_role; }
    bool leads() const { return m_role == role::leader; }
    std::uint64_t term() const { return m_log->vote().term; }
    const node_address &leader() const { return m_leader; }
    const membership &members() const { return m_members; }
    std::uint64_t commit_index() const { return m_commit; }
    /// Index of the election entry of this leader's own term; all earlier decisions are known once
    /// it is committed.
    std::uint64_t term_start() const { return m_term_start; }
    const std::string &last_reason() const { return m_log->last_reason(); }

private:
    struct progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        std::uint64_t round = 0; ///< highest round echoed
        instant heard{};
        instant sent{};
        bool snapshot_sent = false;
        std::uint64_t resent_from = 0; ///< first entry that a refusal made this leader send again
        instant resent_at{};
    };

    void on(const node_address &from, const vote_request &request, instant now);
    void on(const node_address &from, const vote_reply &reply, instant now);
    void on(const node_address &from, const append_request &request, instant now);
    void on(const node_address &from, const append_reply &reply, instant now);
    void on(const node_address &from, const snapshot_request &request, instant now);

    /// What this follower may tell the leader of `term`.
    struct acknowledgement {
        std::uint64_t term = 0;
        std::uint64_t matched = 0; ///< entries up to here are the leader's
        std::uint64_t told = 0;    ///< of these, acknowledged
        std::uint64_t round = 0;
    };

    void begin_step(instant now);
    void begin_write();
    void send_when_durable(outgoing item);
    std::uint64_t durable_match(std::uint64_t matched) const;
    void acknowledge_durable();
    void note_write(duration time);
    duration slowest_write() const;
    duration patience() const;
    duration silence_limit() const;
    void start_election(bool pre_vote, instant now);
    void become_follower(std::uint64_t term, const node_address &leader, instant now);
    void become_leader(instant now);
    void count_votes(instant now);
    bool save_vote(std::uint64_t term, const node_address &voted_for);
    void reset_election_timer(instant now);
    bool log_is_current(const vote_request &request) const;
    bool knows_leader(instant now) const;
    std::vector<node_address> peers() const;
    void send_append(const node_address &to, instant now);
    void send_snapshot(const node_address &to, progress &state, instant now);
    void send_all(instant now);
    bool take_entries(const std::vector<log_entry> &entries);
    void advance_commit();
    void advance_round();
    void promote_learner();
    bool change_settled() const;
    void commit_to(std::uint64_t index);
    void note_members(const log_entry &entry);
    void reload_members(std::uint64_t up_to);
    bool quorum(const std::function<bool(const node_address &)> &agrees) const;
    void fail();

    replica_options m_options;
    durable_log *m_log;
    std::mt19937_64 m_random;
    role m_role = role::follower;
    node_address m_leader;
    membership m_members;
    std::map<std::uint64_t, membership> m_member_history; ///< by index of its entry
    instant m_now{};                                      ///< of the current step
    bool m_wrote = false;  ///< the current step, or the one before, waited for the disk
    instant m_staged_at{}; ///< begin of the oldest write that has not ended
    std::deque<std::pair<std::uint64_t, outgoing>> m_unsynced; ///< after the change of that number
    acknowledgement m_acknowledged;
    int m_lost_elections = 0;   ///< in a row
    duration m_slowest_write{}; ///< see slowest_write()
    instant m_slowest_write_until{};
    instant m_election_at{};
    instant m_leader_heard{};
    bool m_pre_vote = false;
    std::set<node_address> m_votes;
    std::map<node_address, progress> m_progress;
    std::vector<log_entry> m_queued;
    std::uint64_t m_commit = 0;
    std::uint64_t m_handed_out = 0;
    std::uint64_t m_term_start = 0;
    std::uint64_t m_round = 0;
    std::uint64_t m_round_sent = 0;
    std::uint64_t m_confirmed_round = 0;
    instant m_round_sent_at{};
    instant m_quorum_check_at{};
    std::optional<log_snapshot> m_installed;
    std::vector<outgoing> m_outgoing;
};

} // namespace peppertack
