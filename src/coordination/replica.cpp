#include "peppertack/coordination/replica.hpp"

#include "peppertack/coordination/planted_defects.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace peppertack {

namespace {

/// Longer than a tick interval, which passes after a write in any case, and well below the minimum
/// election timeout: a shorter write cannot be mistaken for loss of contact with another voter.
constexpr duration slow_write_threshold = std::chrono::milliseconds(30);
/// A leader sends nothing while it writes, and its next message follows at most one heartbeat
/// interval later. Twice the write time covers both.
constexpr int write_time_factor = 2;
/// Decay of the slowest write time per further write: after eight fast writes about a tenth of the
/// extension caused by a slow one is left.
constexpr double slow_write_decay = 0.75;
/// How long a slow write counts when no other write follows. Heavy writes by other processes slow a
/// disk down for a few seconds up to a minute.
constexpr duration slow_write_retention = std::chrono::seconds(60);
/// After ten election timeouts, 3 s by default, another voter probably has the faster disk.
constexpr int max_timeout_factor = 10;
/// Four doublings exceed `max_timeout_factor` already.
constexpr int max_timeout_doublings = 4;

} // namespace

std::string encode(const membership &value) {
    nlohmann::json json{{"v", 1}, {"voters", value.voters}};
    if (value.learner) {
        json["learner"] = *value.learner;
    }
    if (value.replaces) {
        json["replaces"] = *value.replaces;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<membership> decode_membership(std::string_view text, std::string &reason) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        membership result;
        json.at("voters").get_to(result.voters);
        if (json.contains("learner")) {
            result.learner = json.at("learner").get<std::string>();
        }
        if (json.contains("replaces")) {
            result.replaces = json.at("replaces").get<std::string>();
        }
        return result;
    } catch (const nlohmann::json::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}

replica::replica(replica_options options, durable_log &log, instant now)
    : m_options(std::move(options)), m_log(&log), m_random(m_options.seed), m_now(now) {
    m_commit_index = m_log->snapshot() ? m_log->snapshot()->index : 0;
    m_delivered_index = m_commit_index;
    reload_members(m_log->last_index());
    reset_election_timer(now);
}

/// Excludes the time that this thread was blocked on its own disk from all contact timeouts: no
/// messages are read during a write. If it counted, a candidate would start an election for the
/// next term before it had read the votes for the last one, and a leader would step down although
/// its followers had replied; with syncs of 200 ms no leader was ever elected.
void replica::begin_step(instant now) {
    const duration elapsed = now - m_now;
    if (elapsed <= duration{}) {
        return; // still the same step
    }
    m_now = now;
    if (!std::exchange(m_step_blocked_on_disk, false)) {
        return;
    }
    record_write_time(elapsed);
    if (elapsed < slow_write_threshold) {
        return;
    }
    m_election_at += elapsed;
    m_leader_contact_at += elapsed;
    for (auto &[voter, state] : m_progress) {
        state.last_contact += elapsed;
    }
}

void replica::record_write_time(duration time) {
    const duration decayed =
        std::chrono::duration_cast<duration>(slowest_write() * slow_write_decay);
    if (time >= decayed) {
        m_slowest_write_expires_at = m_now + slow_write_retention;
    }
    m_slowest_write = std::max(time, decayed);
}

/// Decaying maximum of the recent write times; zero once it has expired.
duration replica::slowest_write() const {
    return m_now < m_slowest_write_expires_at ? m_slowest_write : duration{};
}

/// Lower bound of the election timeout, extended for voters that have to write before they reply. A
/// disk that is slow for one voter is usually slow for all: with syncs of 400 ms and timeouts of
/// 300 to 600 ms no vote was answered in time. A candidate with a fast disk cannot measure the
/// disks of the others, so it doubles the bound for each lost election from the second on.
duration replica::adaptive_election_timeout() const {
    const duration most = m_options.election_timeout * max_timeout_factor;
    const int doublings = std::clamp(m_failed_elections - 1, 0, max_timeout_doublings);
    const duration least =
        std::min(m_options.election_timeout * (std::int64_t{1} << doublings), most);
    return std::clamp(slowest_write() * write_time_factor, least, most);
}

/// Time without a message after which contact with a voter counts as lost. Write-behind voters
/// reply while their disks are busy, so they need no extension.
duration replica::contact_timeout() const {
    return m_log->settings().write_behind ? m_options.election_timeout
                                          : adaptive_election_timeout();
}

void replica::tick(instant now) {
    begin_step(now);
    if (m_role == role::failed) {
        return;
    }
    if (m_role != role::leader) {
        // A voter must not campaign before its own last vote is durable.
        if (now >= m_election_at && m_log->vote_durable()) {
            start_election(true, now);
        }
        return;
    }
    if (now >= m_quorum_check_at) {
        // Without contact to a quorum a newer leader may exist, and staying leader would only keep
        // nodes from looking for it.
        const bool in_contact = quorum([&](const node_address &voter) {
            return voter == m_options.self ||
                   m_progress[voter].last_contact + contact_timeout() * 2 > now;
        });
        if (!in_contact) {
            become_follower(term(), {}, now);
            return;
        }
        m_quorum_check_at = now + m_options.heartbeat_interval;
    }
    if (!is_voter() && membership_committed()) {
        // This leader was replaced; the remaining voters elect another.
        become_follower(term(), {}, now);
        return;
    }
    for (const node_address &peer : peers()) {
        if (m_progress[peer].last_sent + m_options.heartbeat_interval <= now) {
            send_append(peer, now);
        }
    }
}

void replica::receive(const node_address &from, const message &body, instant now) {
    begin_step(now);
    if (m_role == role::failed) {
        return;
    }
    std::visit(
        [&](const auto &value) {
            if constexpr (requires { on(from, value, now); }) {
                on(from, value, now);
            }
        },
        body);
}

std::optional<std::uint64_t> replica::propose(entry_kind kind, std::string payload) {
    if (m_role != role::leader) {
        return std::nullopt;
    }
    const std::uint64_t index = m_log->last_index() + m_queued_entries.size() + 1;
    m_queued_entries.push_back({index, term(), kind, std::move(payload)});
    return index;
}

void replica::flush(instant now) {
    begin_step(now);
    if (m_role != role::leader) {
        m_queued_entries.clear();
        return;
    }
    if (!m_queued_entries.empty()) {
        const std::vector<log_entry> entries = std::move(m_queued_entries);
        m_queued_entries.clear();
        begin_write();
        if (!m_log->append(entries)) {
            fail();
            return;
        }
        for (const log_entry &entry : entries) {
            apply_members_entry(entry);
        }
        send_all(now);
        advance_commit();
    }
    if (m_sent_round < m_requested_round && m_round_sent_at + m_options.round_interval <= now) {
        send_all(now);
    }
}

bool replica::replace_voter(const node_address &learner,
                            const std::optional<node_address> &replaces) {
    const bool change_pending = m_members.learner.has_value() || !membership_committed();
    const bool unknown_replaced = replaces && m_members.voters.count(*replaces) == 0;
    if (m_role != role::leader || change_pending || unknown_replaced ||
        m_members.voters.count(learner) != 0 || m_commit_index < m_term_start) {
        return false;
    }
    membership next = m_members;
    next.learner = learner;
    next.replaces = replaces;
    propose(entry_kind::members, encode(next));
    return true;
}

bool replica::cancel_change() {
    if (m_role != role::leader || !m_members.learner || !membership_committed()) {
        return false;
    }
    membership next = m_members;
    next.learner.reset();
    next.replaces.reset();
    propose(entry_kind::members, encode(next));
    return true;
}

std::uint64_t replica::request_round() {
    if (m_sent_round == m_requested_round) {
        ++m_requested_round;
    }
    return m_requested_round;
}

duration replica::time_since_contact(const node_address &voter, instant now) const {
    const auto found = m_progress.find(voter);
    return voter == m_options.self || found == m_progress.end() ? duration{}
                                                                : now - found->second.last_contact;
}

std::vector<outgoing> replica::take_outgoing() {
    return std::exchange(m_outgoing, {});
}

std::vector<log_entry> replica::take_committed() {
    std::vector<log_entry> entries;
    while (m_delivered_index < m_commit_index) {
        const log_entry *entry = m_log->entry_at(++m_delivered_index);
        assert(entry != nullptr);
        entries.push_back(*entry);
    }
    return entries;
}

std::optional<log_snapshot> replica::take_installed_snapshot() {
    return std::exchange(m_installed_snapshot, std::nullopt);
}

bool replica::compact(std::uint64_t index, std::string state) {
    assert(index <= m_delivered_index);
    membership members = m_options.initial;
    if (m_log->snapshot()) {
        std::string reason;
        members = decode_membership(m_log->snapshot()->members, reason).value_or(members);
    }
    for (const auto &[at, value] : m_member_history) {
        if (at <= index) {
            members = value;
        }
    }
    const std::uint64_t at_term = m_log->term_at(index).value_or(0);
    begin_write();
    if (!m_log->save_snapshot({index, at_term, encode(members), std::move(state)})) {
        fail();
        return false;
    }
    return true;
}

// ---- elections ----

void replica::start_election(bool pre_vote, instant now) {
    reset_election_timer(now);
    if (m_members.voters.count(m_options.self) == 0) {
        return; // a learner, or a voter that was removed
    }
    if (!pre_vote && !save_vote(term() + 1, m_options.self)) {
        return;
    }
    m_role = role::candidate;
    m_leader.clear();
    m_pre_vote = pre_vote;
    m_votes = {m_options.self};
    if (!pre_vote && m_log->settings().write_behind) {
        ++m_failed_elections; // reset when a leader is known
    }
    const vote_request request{.term = pre_vote ? term() + 1 : term(),
                               .last_index = m_log->last_index(),
                               .last_term = m_log->term_at(m_log->last_index()).value_or(0),
                               .pre_vote = pre_vote};
    // Sent before this voter's own vote is durable: voters that receive the request don't become
    // candidates for the same term.
    for (const node_address &peer : peers()) {
        m_outgoing.push_back({peer, request});
    }
    count_votes(now);
}

bool replica::log_is_current(const vote_request &request) const {
    const std::uint64_t my_term = m_log->term_at(m_log->last_index()).value_or(0);
    return request.last_term > my_term ||
           (request.last_term == my_term && request.last_index >= m_log->last_index());
}

bool replica::has_recent_leader(instant now) const {
    // Uses the plain election timeout, however slow this voter's disk is: it may be the only other
    // voter left, and a candidate with a fast disk whose own timeout has passed should get its
    // vote.
    return m_role == role::leader ||
           (!m_leader.empty() && m_leader_contact_at + m_options.election_timeout > now);
}

void replica::on(const node_address &from, const vote_request &request, instant now) {
    if (request.pre_vote) {
        // A voter that was partitioned away must not disrupt a leader that others are in contact
        // with.
        const bool granted =
            request.term > term() && log_is_current(request) && !has_recent_leader(now);
        // A rejection carries this voter's term. Otherwise a voter with the longest log but an
        // older term would request votes for past terms for ever, while no other voter can win.
        const std::uint64_t reply_term = granted ? request.term : term();
        m_outgoing.push_back(
            {from, vote_reply{.term = reply_term, .pre_vote = true, .granted = granted}});
        return;
    }
    const bool newer = request.term > term();
    const std::string &voted_for = m_log->vote().voted_for;
    const bool vote_available =
        newer || voted_for.empty() || voted_for == from || g_defects.forget_vote;
    const bool granted = request.term >= term() && vote_available && log_is_current(request);
    // Term and vote are stored in one write. Two writes would double the candidate's wait, on a
    // slow disk beyond its election timeout.
    if (granted && !save_vote(request.term, from)) {
        return;
    }
    if (newer) {
        become_follower(request.term, {}, now);
    }
    if (m_role == role::failed) {
        return;
    }
    if (granted) {
        reset_election_timer(now);
    }
    outgoing reply{from, vote_reply{.term = term(), .granted = granted}};
    if (granted && !g_defects.vote_before_sync) {
        send_when_durable(std::move(reply));
    } else {
        m_outgoing.push_back(std::move(reply));
    }
}

void replica::on(const node_address &from, const vote_reply &reply, instant now) {
    if (!reply.granted && reply.term > term()) {
        become_follower(reply.term, {}, now);
        return;
    }
    const std::uint64_t asked_term = m_pre_vote ? term() + 1 : term();
    if (m_role != role::candidate || reply.pre_vote != m_pre_vote || !reply.granted ||
        reply.term != asked_term) {
        return;
    }
    m_votes.insert(from);
    count_votes(now);
}

void replica::count_votes(instant now) {
    const bool won = quorum([&](const node_address &voter) { return m_votes.count(voter) != 0; });
    if (!won || m_role != role::candidate) {
        return;
    }
    if (m_pre_vote) {
        start_election(false, now);
    } else if (m_log->vote_durable() || g_defects.own_vote_before_sync) {
        // Otherwise this voter could crash, lose its vote, and be elected for the same term again
        // with a different log.
        become_leader(now);
    }
}

bool replica::save_vote(std::uint64_t new_term, const node_address &voted_for) {
    begin_write();
    if (!m_log->save_vote({new_term, voted_for})) {
        fail();
        return false;
    }
    return true;
}

void replica::become_follower(std::uint64_t new_term, const node_address &leader, instant now) {
    if (new_term > term() && !save_vote(new_term, {})) {
        return;
    }
    if (m_follower_ack.term != term()) {
        m_follower_ack = {.term = term()};
    }
    if (!leader.empty()) {
        m_failed_elections = 0;
    }
    m_role = role::follower;
    m_leader = leader;
    m_queued_entries.clear();
    reset_election_timer(now);
}

void replica::become_leader(instant now) {
    m_role = role::leader;
    m_leader = m_options.self;
    m_failed_elections = 0;
    m_progress.clear();
    for (const node_address &peer : peers()) {
        m_progress[peer] = {.next = m_log->last_index() + 1, .last_contact = now};
    }
    m_quorum_check_at = now + m_options.election_timeout;
    m_queued_entries.clear();
    m_sent_round = m_requested_round;
    m_confirmed_round = m_requested_round;
    m_term_start = *propose(entry_kind::election, {});
    flush(now);
}

void replica::reset_election_timer(instant now) {
    const duration least = m_leader.empty() ? adaptive_election_timeout() : contact_timeout();
    std::uniform_int_distribution<duration::rep> spread(0, least.count());
    m_election_at = now + least + duration(spread(m_random));
}

// ---- replication ----

std::vector<node_address> replica::peers() const {
    std::vector<node_address> result;
    for (const node_address &voter : m_members.voters) {
        if (voter != m_options.self) {
            result.push_back(voter);
        }
    }
    const std::optional<node_address> &learner = m_members.learner;
    if (learner && *learner != m_options.self && m_members.voters.count(*learner) == 0) {
        result.push_back(*learner);
    }
    return result;
}

void replica::send_all(instant now) {
    m_sent_round = m_requested_round;
    m_round_sent_at = now;
    for (const node_address &peer : peers()) {
        send_append(peer, now);
    }
    advance_round();
}

void replica::send_append(const node_address &to, instant now) {
    progress &state = m_progress[to];
    const std::uint64_t previous = state.next - 1;
    const auto previous_term = m_log->term_at(previous);
    if (!previous_term) {
        send_snapshot(to, state, now);
        return;
    }
    append_request request{.term = term(),
                           .previous_index = previous,
                           .previous_term = *previous_term,
                           .commit_index = m_commit_index,
                           .round = m_sent_round};
    std::size_t bytes = 0;
    while (request.entries.size() < m_options.entries_per_message &&
           bytes < m_options.bytes_per_message) {
        const log_entry *entry = m_log->entry_at(state.next);
        if (entry == nullptr) {
            break;
        }
        bytes += entry->payload.size();
        request.entries.push_back(*entry);
        ++state.next; // pipelined; a rejection sets it back
    }
    state.last_sent = now;
    m_outgoing.push_back({to, std::move(request)});
}

void replica::send_snapshot(const node_address &to, progress &state, instant now) {
    const bool recently = state.snapshot_sent && state.last_sent + m_options.election_timeout > now;
    if (recently || !m_log->snapshot()) {
        return;
    }
    state.last_sent = now;
    state.snapshot_sent = true;
    m_outgoing.push_back(
        {to,
         snapshot_request{.term = term(), .round = m_sent_round, .snapshot = *m_log->snapshot()}});
}

void replica::on(const node_address &from, const append_request &request, instant now) {
    append_reply reply{.term = term(), .round = request.round};
    if (request.term < term()) {
        m_outgoing.push_back({from, reply});
        return;
    }
    become_follower(request.term, from, now);
    m_leader_contact_at = now;
    if (m_role == role::failed) {
        return;
    }
    reply.term = term();
    // Entries covered by the snapshot are committed, so they match the leader's log.
    std::uint64_t previous = request.previous_index;
    std::vector<log_entry> entries = request.entries;
    if (previous < m_log->first_index() - 1) {
        const std::uint64_t covered = m_log->first_index() - 1;
        std::erase_if(entries, [&](const log_entry &entry) { return entry.index <= covered; });
        previous = covered;
    } else if (m_log->term_at(previous) != request.previous_term) {
        reply.match_index = std::min(previous == 0 ? 0 : previous - 1, m_log->last_index());
        m_outgoing.push_back({from, reply});
        return;
    }
    reply.match_index = previous + entries.size();
    const auto differs = std::find_if(entries.begin(), entries.end(), [&](const log_entry &entry) {
        return m_log->term_at(entry.index) != entry.term;
    });
    entries.erase(entries.begin(), differs);
    if (!entries.empty() && !store_entries(entries)) {
        return;
    }
    commit_to(std::min(request.commit_index, reply.match_index));
    m_follower_ack.matched = std::max(m_follower_ack.matched, reply.match_index);
    m_follower_ack.round = std::max(m_follower_ack.round, request.round);
    // Replies without waiting for the disk: the leader needs the reply to stay in contact. The
    // match index covers synced entries only.
    reply.accepted = true;
    reply.match_index = durable_match(reply.match_index);
    m_follower_ack.reported = std::max(m_follower_ack.reported, reply.match_index);
    m_outgoing.push_back({from, reply});
}

/// The last index up to `matched` that is durable and may be acknowledged.
std::uint64_t replica::durable_match(std::uint64_t matched) const {
    if (g_defects.acknowledge_before_sync) {
        return matched;
    }
    return m_log->vote_durable() ? std::min(matched, m_log->durable_index()) : 0;
}

void replica::acknowledge_durable() {
    const std::uint64_t match = durable_match(m_follower_ack.matched);
    if (m_leader.empty() || m_follower_ack.term != term() || match <= m_follower_ack.reported) {
        return;
    }
    m_follower_ack.reported = match;
    m_outgoing.push_back({m_leader, append_reply{.term = term(),
                                                 .accepted = true,
                                                 .match_index = match,
                                                 .round = m_follower_ack.round}});
}

bool replica::store_entries(const std::vector<log_entry> &entries) {
    const bool replaces = entries.front().index <= m_log->last_index();
    begin_write();
    // A leader that overwrites a committed entry has a diverged log. Continuing would silently pick
    // one of the two histories.
    if (entries.front().index <= m_commit_index || !m_log->append(entries)) {
        fail();
        return false;
    }
    if (replaces) {
        reload_members(m_log->last_index());
        return true;
    }
    for (const log_entry &entry : entries) {
        apply_members_entry(entry);
    }
    return true;
}

void replica::on(const node_address &from, const append_reply &reply, instant now) {
    if (reply.term > term()) {
        become_follower(reply.term, {}, now);
        return;
    }
    const auto found = m_progress.find(from);
    if (m_role != role::leader || reply.term != term() || found == m_progress.end()) {
        return;
    }
    progress &state = found->second;
    state.last_contact = now;
    state.round = std::max(state.round, reply.round);
    advance_round();
    if (!reply.accepted) {
        const auto next_index = std::clamp<std::uint64_t>(reply.match_index + 1, state.match + 1,
                                                          m_log->last_index() + 1);
        const bool resend_in_flight = next_index >= state.resent_from && state.resent_from != 0 &&
                                      state.resent_at + m_options.resend_interval > now;
        if (resend_in_flight) {
            return;
        }
        state.next = next_index;
        state.resent_from = next_index;
        state.resent_at = now;
        send_append(from, now);
        return;
    }
    state.snapshot_sent = false;
    state.match = std::max(state.match, reply.match_index);
    // A lost message shows when the follower rejects the next heartbeat.
    state.next = std::max(state.next, state.match + 1);
    advance_commit();
    promote_learner();
    if (state.next <= m_log->last_index()) {
        send_append(from, now);
    }
}

void replica::on(const node_address &from, const snapshot_request &request, instant now) {
    if (request.term < term()) {
        m_outgoing.push_back({from, append_reply{.term = term(), .round = request.round}});
        return;
    }
    become_follower(request.term, from, now);
    m_leader_contact_at = now;
    if (m_role == role::failed) {
        return;
    }
    const log_snapshot &snapshot = request.snapshot;
    if (snapshot.index > m_commit_index) {
        begin_write();
        if (!m_log->save_snapshot(snapshot)) {
            fail();
            return;
        }
        m_commit_index = snapshot.index;
        m_delivered_index = snapshot.index;
        m_installed_snapshot = snapshot;
        reload_members(m_log->last_index());
    }
    m_follower_ack.matched = std::max(m_follower_ack.matched, snapshot.index);
    m_follower_ack.round = std::max(m_follower_ack.round, request.round);
    // Accepted only once the snapshot is durable: an accepted reply clears `snapshot_sent`, and
    // without a match the leader would send the snapshot again with the next heartbeat.
    const std::uint64_t match = durable_match(snapshot.index);
    m_follower_ack.reported = std::max(m_follower_ack.reported, match);
    m_outgoing.push_back({from, append_reply{.term = term(),
                                             .accepted = match == snapshot.index,
                                             .match_index = match,
                                             .round = request.round}});
}

void replica::advance_commit() {
    const std::uint64_t own_match =
        g_defects.commit_before_sync ? m_log->last_index() : m_log->durable_index();
    for (std::uint64_t index = m_log->last_index(); index > m_commit_index; --index) {
        // Entries of earlier terms are committed only together with one of this term: a later
        // leader could still overwrite them although a majority stores them.
        if (m_log->term_at(index) != term()) {
            return;
        }
        const bool replicated = quorum([&](const node_address &voter) {
            return voter == m_options.self ? own_match >= index : m_progress[voter].match >= index;
        });
        if (replicated) {
            commit_to(index);
            return;
        }
    }
}

void replica::advance_round() {
    for (std::uint64_t round = m_sent_round; round > m_confirmed_round; --round) {
        const bool acknowledged = quorum([&](const node_address &voter) {
            return voter == m_options.self || m_progress[voter].round >= round;
        });
        if (acknowledged) {
            m_confirmed_round = round;
            return;
        }
    }
}

void replica::commit_to(std::uint64_t index) {
    m_commit_index = std::max(m_commit_index, std::min(index, m_log->last_index()));
}

// ---- membership ----

bool replica::membership_committed() const {
    const bool queued =
        std::any_of(m_queued_entries.begin(), m_queued_entries.end(),
                    [](const log_entry &entry) { return entry.kind == entry_kind::members; });
    return !queued &&
           (m_member_history.empty() || m_member_history.rbegin()->first <= m_commit_index);
}

void replica::promote_learner() {
    if (!m_members.learner || m_member_history.empty() || !membership_committed()) {
        return;
    }
    // A voter that lacks entries raises the quorum size but cannot acknowledge new entries: with
    // one more loss nothing could be committed until it has caught up.
    const bool caught_up = m_progress[*m_members.learner].match >= m_commit_index;
    if (!caught_up) {
        return;
    }
    membership next = m_members;
    if (next.replaces && next.voters.count(*next.replaces) != 0) {
        // One voter per change. The old voter, which has usually failed, is removed first: adding
        // first would raise the quorum size, and one more loss before the removal would stop all
        // commits.
        next.voters.erase(*next.replaces);
    } else {
        next.voters.insert(*next.learner);
        next.learner.reset();
        next.replaces.reset();
    }
    propose(entry_kind::members, encode(next));
}

void replica::apply_members_entry(const log_entry &entry) {
    if (entry.kind != entry_kind::members) {
        return;
    }
    std::string reason;
    const std::optional<membership> value = decode_membership(entry.payload, reason);
    if (!value) {
        return;
    }
    m_member_history[entry.index] = *value;
    m_members = *value;
    for (const node_address &peer : peers()) {
        m_progress.try_emplace(peer,
                               progress{.next = m_log->last_index() + 1, .last_contact = m_now});
    }
}

/// Rebuilds the membership from the log. A membership entry takes effect when it is appended, and
/// no longer applies once it was overwritten.
void replica::reload_members(std::uint64_t up_to) {
    m_member_history.clear();
    m_members = m_options.initial;
    if (m_log->snapshot()) {
        std::string reason;
        m_members = decode_membership(m_log->snapshot()->members, reason).value_or(m_members);
    }
    for (std::uint64_t index = m_log->first_index(); index <= up_to; ++index) {
        apply_members_entry(*m_log->entry_at(index));
    }
}

bool replica::quorum(const std::function<bool(const node_address &)> &agrees) const {
    const auto count = std::count_if(m_members.voters.begin(), m_members.voters.end(), agrees);
    return static_cast<std::size_t>(count) * 2 > m_members.voters.size();
}

// ---- disk writes ----

void replica::begin_write() {
    m_step_blocked_on_disk = !m_log->settings().write_behind;
    if (m_log->staged() == m_log->written()) {
        m_write_staged_at = m_now;
    }
}

void replica::send_when_durable(outgoing item) {
    if (m_log->staged() == m_log->written()) {
        m_outgoing.push_back(std::move(item));
    } else {
        m_awaiting_sync.push_back({m_log->staged(), std::move(item)});
    }
}

void replica::note_written(instant now) {
    begin_step(now);
    if (m_role == role::failed) {
        return;
    }
    if (m_log->failed()) {
        fail();
        return;
    }
    record_write_time(now - std::exchange(m_write_staged_at, now));
    const bool released =
        !m_awaiting_sync.empty() && m_awaiting_sync.front().first <= m_log->written();
    while (!m_awaiting_sync.empty() && m_awaiting_sync.front().first <= m_log->written()) {
        m_outgoing.push_back(std::move(m_awaiting_sync.front().second));
        m_awaiting_sync.pop_front();
    }
    switch (m_role) {
    case role::leader: advance_commit(); break;
    case role::candidate:
        reset_election_timer(now); // the other voters started their writes later
        count_votes(now);
        break;
    default:
        if (released) {
            reset_election_timer(now); // the candidate that got this vote needs time too
        }
        acknowledge_durable();
        break;
    }
}

void replica::fail() {
    m_role = role::failed;
    m_awaiting_sync.clear();
    m_leader.clear();
    m_queued_entries.clear();
}

} // namespace peppertack
