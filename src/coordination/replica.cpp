#include "peppertack/coordination/replica.hpp"

#include "peppertack/coordination/planted_defects.hpp"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace peppertack {

namespace {

/// Above the pause between two ticks, which follows a write in any case, and well below the least
/// election timeout: a faster write can't be mistaken for another voter's silence.
constexpr duration least_slow_write = std::chrono::milliseconds(30);
/// A leader that writes sends nothing meanwhile, and its next message comes a heartbeat later at
/// most: twice the time of a write leaves room for both.
constexpr int writes_to_wait_for = 2;
/// Each write leaves that much of what slower ones before it count for: eight fast writes take away
/// nine tenths of the patience that a slow one brought.
constexpr double slow_write_decay = 0.75;
/// Without any write to go by, a slow one counts for so long: disks are slow for some seconds up to
/// a minute, while others write much to them.
constexpr duration slow_write_memory = std::chrono::seconds(60);
/// At ten election timeouts, 3 s unless set otherwise, another voter's disk is likely the better.
constexpr int most_timeouts_to_wait = 10;
/// More would exceed the most that is waited for.
constexpr int most_doublings = 4;

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
    m_commit = m_log->snapshot() ? m_log->snapshot()->index : 0;
    m_handed_out = m_commit;
    reload_members(m_log->last_index());
    reset_election_timer(now);
}

/// While this voter's thread waited for its own disk it read no messages, so that time tells
/// nothing about the others. Counted as their silence it let a candidate stand for the next term
/// before it had read the votes for the last one, and made a leader step down though its followers
/// had answered: with syncs of 200 ms nobody was ever elected.
void replica::begin_step(instant now) {
    const duration waited = now - m_now;
    if (waited <= duration{}) {
        return; // still the same step, with what it wrote
    }
    m_now = now;
    if (!std::exchange(m_wrote, false)) {
        return;
    }
    note_write(waited);
    if (waited < least_slow_write) {
        return;
    }
    m_election_at += waited;
    m_leader_heard += waited;
    for (auto &[voter, state] : m_progress) {
        state.heard += waited;
    }
}

void replica::note_write(duration time) {
    const duration left = std::chrono::duration_cast<duration>(slowest_write() * slow_write_decay);
    if (time >= left) {
        m_slowest_write_until = m_now + slow_write_memory;
    }
    m_slowest_write = std::max(time, left);
}

/// Of the last writes, the older the less.
duration replica::slowest_write() const {
    return m_now < m_slowest_write_until ? m_slowest_write : duration{};
}

/// How long another voter may take for what it has to write first. Usually the election timeout.
/// Disks that are slow for one voter tend to be so for all: with syncs of 400 ms and 300 to 600 ms
/// of patience no vote was answered in time. A candidate whose own disk is fast can't know that of
/// the others, so from the second election on that it does not win it waits twice as long.
duration replica::patience() const {
    const duration most = m_options.election_timeout * most_timeouts_to_wait;
    const int doublings = std::clamp(m_lost_elections - 1, 0, most_doublings);
    const duration least =
        std::min(m_options.election_timeout * (std::int64_t{1} << doublings), most);
    return std::clamp(slowest_write() * writes_to_wait_for, least, most);
}

/// How long another voter may be silent. One that writes behind answers while its disk is busy.
duration replica::silence_limit() const {
    return m_log->settings().write_behind ? m_options.election_timeout : patience();
}

void replica::tick(instant now) {
    begin_step(now);
    if (m_role == role::failed) {
        return;
    }
    if (m_role != role::leader) {
        // Without its own vote on the disk a voter can't ask for others.
        if (now >= m_election_at && m_log->vote_durable()) {
            start_election(true, now);
        }
        return;
    }
    if (now >= m_quorum_check_at) {
        // Cut off from a quorum: a newer leader may exist. Going on would only keep nodes asking
        // here.
        const bool heard = quorum([&](const node_address &voter) {
            return voter == m_options.self || m_progress[voter].heard + silence_limit() * 2 > now;
        });
        if (!heard) {
            become_follower(term(), {}, now);
            return;
        }
        m_quorum_check_at = now + m_options.heartbeat_interval;
    }
    if (!is_voter() && change_settled()) {
        // Replaced while leading: the others elect one of themselves.
        become_follower(term(), {}, now);
        return;
    }
    for (const node_address &peer : peers()) {
        if (m_progress[peer].sent + m_options.heartbeat_interval <= now) {
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
    const std::uint64_t index = m_log->last_index() + m_queued.size() + 1;
    m_queued.push_back({index, term(), kind, std::move(payload)});
    return index;
}

void replica::flush(instant now) {
    begin_step(now);
    if (m_role != role::leader) {
        m_queued.clear();
        return;
    }
    if (!m_queued.empty()) {
        const std::vector<log_entry> entries = std::move(m_queued);
        m_queued.clear();
        begin_write();
        if (!m_log->append(entries)) {
            fail();
            return;
        }
        for (const log_entry &entry : entries) {
            note_members(entry);
        }
        send_all(now);
        advance_commit();
    }
    if (m_round_sent < m_round && m_round_sent_at + m_options.round_interval <= now) {
        send_all(now);
    }
}

bool replica::replace_voter(const node_address &learner,
                            const std::optional<node_address> &replaces) {
    const bool change_open = m_members.learner.has_value() || !change_settled();
    const bool bad_old = replaces && m_members.voters.count(*replaces) == 0;
    if (m_role != role::leader || change_open || bad_old || m_members.voters.count(learner) != 0 ||
        m_commit < m_term_start) {
        return false;
    }
    membership next = m_members;
    next.learner = learner;
    next.replaces = replaces;
    propose(entry_kind::members, encode(next));
    return true;
}

bool replica::cancel_change() {
    if (m_role != role::leader || !m_members.learner || !change_settled()) {
        return false;
    }
    membership next = m_members;
    next.learner.reset();
    next.replaces.reset();
    propose(entry_kind::members, encode(next));
    return true;
}

std::uint64_t replica::request_round() {
    if (m_round_sent == m_round) {
        ++m_round;
    }
    return m_round;
}

duration replica::time_since_contact(const node_address &voter, instant now) const {
    const auto found = m_progress.find(voter);
    return voter == m_options.self || found == m_progress.end() ? duration{}
                                                                : now - found->second.heard;
}

std::vector<outgoing> replica::take_outgoing() {
    return std::exchange(m_outgoing, {});
}

std::vector<log_entry> replica::take_committed() {
    std::vector<log_entry> entries;
    while (m_handed_out < m_commit) {
        const log_entry *entry = m_log->entry_at(++m_handed_out);
        assert(entry != nullptr);
        entries.push_back(*entry);
    }
    return entries;
}

std::optional<log_snapshot> replica::take_installed_snapshot() {
    return std::exchange(m_installed, std::nullopt);
}

bool replica::compact(std::uint64_t index, std::string state) {
    assert(index <= m_handed_out);
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
        return; // a learner, or a voter that was replaced
    }
    if (!pre_vote && !save_vote(term() + 1, m_options.self)) {
        return;
    }
    m_role = role::candidate;
    m_leader.clear();
    m_pre_vote = pre_vote;
    m_votes = {m_options.self};
    if (!pre_vote && m_log->settings().write_behind) {
        ++m_lost_elections; // until it is won
    }
    const vote_request request{.term = pre_vote ? term() + 1 : term(),
                               .last_index = m_log->last_index(),
                               .last_term = m_log->term_at(m_log->last_index()).value_or(0),
                               .pre_vote = pre_vote};
    // Others are asked while this voter's own vote is being written: those that hear of it don't
    // stand for the same term.
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

bool replica::knows_leader(instant now) const {
    // By the usual timeout, however slow this voter's disk is: it may be the only other one left,
    // and a voter with a fast disk that has waited for long enough should get its vote.
    return m_role == role::leader ||
           (!m_leader.empty() && m_leader_heard + m_options.election_timeout > now);
}

void replica::on(const node_address &from, const vote_request &request, instant now) {
    if (request.pre_vote) {
        // A voter that was cut off must not disturb a leader that the others still hear.
        const bool granted = request.term > term() && log_is_current(request) && !knows_leader(now);
        // A refusal tells the term here: a voter with the longer log but an earlier term would ask
        // for votes under terms that are over, for ever, while nobody else can win.
        const std::uint64_t told = granted ? request.term : term();
        m_outgoing.push_back(
            {from, vote_reply{.term = told, .pre_vote = true, .granted = granted}});
        return;
    }
    const bool newer = request.term > term();
    const std::string &voted_for = m_log->vote().voted_for;
    const bool free_vote = newer || voted_for.empty() || voted_for == from || g_defects.forget_vote;
    const bool granted = request.term >= term() && free_vote && log_is_current(request);
    // Term and vote go to the disk in one write: two would keep the candidate waiting twice as
    // long, and on a slow disk longer than until the next election.
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
        // Else a crash would let this voter be elected for the same term again, with another log.
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
    if (m_acknowledged.term != term()) {
        m_acknowledged = {.term = term()};
    }
    if (!leader.empty()) {
        m_lost_elections = 0;
    }
    m_role = role::follower;
    m_leader = leader;
    m_queued.clear();
    reset_election_timer(now);
}

void replica::become_leader(instant now) {
    m_role = role::leader;
    m_leader = m_options.self;
    m_lost_elections = 0;
    m_progress.clear();
    for (const node_address &peer : peers()) {
        m_progress[peer] = {.next = m_log->last_index() + 1, .heard = now};
    }
    m_quorum_check_at = now + m_options.election_timeout;
    m_queued.clear();
    m_round_sent = m_round;
    m_confirmed_round = m_round;
    m_term_start = *propose(entry_kind::election, {});
    flush(now);
}

void replica::reset_election_timer(instant now) {
    const duration least = m_leader.empty() ? patience() : silence_limit();
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
    m_round_sent = m_round;
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
                           .commit_index = m_commit,
                           .round = m_round_sent};
    std::size_t bytes = 0;
    while (request.entries.size() < m_options.entries_per_message &&
           bytes < m_options.bytes_per_message) {
        const log_entry *entry = m_log->entry_at(state.next);
        if (entry == nullptr) {
            break;
        }
        bytes += entry->payload.size();
        request.entries.push_back(*entry);
        ++state.next; // sent on ahead; a refusal or a lost message sets it back
    }
    state.sent = now;
    m_outgoing.push_back({to, std::move(request)});
}

void replica::send_snapshot(const node_address &to, progress &state, instant now) {
    const bool recently = state.snapshot_sent && state.sent + m_options.election_timeout > now;
    if (recently || !m_log->snapshot()) {
        return;
    }
    state.sent = now;
    state.snapshot_sent = true;
    m_outgoing.push_back(
        {to,
         snapshot_request{.term = term(), .round = m_round_sent, .snapshot = *m_log->snapshot()}});
}

void replica::on(const node_address &from, const append_request &request, instant now) {
    append_reply reply{.term = term(), .round = request.round};
    if (request.term < term()) {
        m_outgoing.push_back({from, reply});
        return;
    }
    become_follower(request.term, from, now);
    m_leader_heard = now;
    if (m_role == role::failed) {
        return;
    }
    reply.term = term();
    // What the snapshot covers is committed and equal everywhere, so it counts as a match.
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
    if (!entries.empty() && !take_entries(entries)) {
        return;
    }
    commit_to(std::min(request.commit_index, reply.match_index));
    m_acknowledged.matched = std::max(m_acknowledged.matched, reply.match_index);
    m_acknowledged.round = std::max(m_acknowledged.round, request.round);
    // Answered at once, whatever the disk does: the leader has to know that it is heard.
    reply.accepted = true;
    reply.match_index = durable_match(reply.match_index);
    m_acknowledged.told = std::max(m_acknowledged.told, reply.match_index);
    m_outgoing.push_back({from, reply});
}

/// Of the entries up to `matched`, which are the leader's, how many may be acknowledged.
std::uint64_t replica::durable_match(std::uint64_t matched) const {
    if (g_defects.acknowledge_before_sync) {
        return matched;
    }
    return m_log->vote_durable() ? std::min(matched, m_log->durable_index()) : 0;
}

void replica::acknowledge_durable() {
    const std::uint64_t match = durable_match(m_acknowledged.matched);
    if (m_leader.empty() || m_acknowledged.term != term() || match <= m_acknowledged.told) {
        return;
    }
    m_acknowledged.told = match;
    m_outgoing.push_back({m_leader, append_reply{.term = term(),
                                                 .accepted = true,
                                                 .match_index = match,
                                                 .round = m_acknowledged.round}});
}

bool replica::take_entries(const std::vector<log_entry> &entries) {
    const bool replaces = entries.front().index <= m_log->last_index();
    begin_write();
    // A leader that contradicts a committed entry means two histories: going on would choose one
    // of them silently.
    if (entries.front().index <= m_commit || !m_log->append(entries)) {
        fail();
        return false;
    }
    if (replaces) {
        reload_members(m_log->last_index());
        return true;
    }
    for (const log_entry &entry : entries) {
        note_members(entry);
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
    state.heard = now;
    state.round = std::max(state.round, reply.round);
    advance_round();
    if (!reply.accepted) {
        const auto wanted = std::clamp<std::uint64_t>(reply.match_index + 1, state.match + 1,
                                                      m_log->last_index() + 1);
        const bool under_way = wanted >= state.resent_from && state.resent_from != 0 &&
                               state.resent_at + m_options.resend_interval > now;
        if (under_way) {
            return;
        }
        state.next = wanted;
        state.resent_from = wanted;
        state.resent_at = now;
        send_append(from, now);
        return;
    }
    state.snapshot_sent = false;
    state.match = std::max(state.match, reply.match_index);
    // A message that was lost on the way is noticed by the next heartbeat, which is refused.
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
    m_leader_heard = now;
    if (m_role == role::failed) {
        return;
    }
    const log_snapshot &snapshot = request.snapshot;
    if (snapshot.index > m_commit) {
        begin_write();
        if (!m_log->save_snapshot(snapshot)) {
            fail();
            return;
        }
        m_commit = snapshot.index;
        m_handed_out = snapshot.index;
        m_installed = snapshot;
        reload_members(m_log->last_index());
    }
    m_acknowledged.matched = std::max(m_acknowledged.matched, snapshot.index);
    m_acknowledged.round = std::max(m_acknowledged.round, request.round);
    // Taken for accepted without any match, it would be sent again with the next heartbeat.
    const std::uint64_t match = durable_match(snapshot.index);
    m_acknowledged.told = std::max(m_acknowledged.told, match);
    m_outgoing.push_back({from, append_reply{.term = term(),
                                             .accepted = match == snapshot.index,
                                             .match_index = match,
                                             .round = request.round}});
}

void replica::advance_commit() {
    const std::uint64_t own_match =
        g_defects.commit_before_sync ? m_log->last_index() : m_log->durable_index();
    for (std::uint64_t index = m_log->last_index(); index > m_commit; --index) {
        // Entries of earlier terms are committed only along with one of this term: a later leader
        // could still replace them even though a majority holds them.
        if (m_log->term_at(index) != term()) {
            return;
        }
        const bool held = quorum([&](const node_address &voter) {
            return voter == m_options.self ? own_match >= index : m_progress[voter].match >= index;
        });
        if (held) {
            commit_to(index);
            return;
        }
    }
}

void replica::advance_round() {
    for (std::uint64_t round = m_round_sent; round > m_confirmed_round; --round) {
        const bool echoed = quorum([&](const node_address &voter) {
            return voter == m_options.self || m_progress[voter].round >= round;
        });
        if (echoed) {
            m_confirmed_round = round;
            return;
        }
    }
}

void replica::commit_to(std::uint64_t index) {
    m_commit = std::max(m_commit, std::min(index, m_log->last_index()));
}

// ---- membership ----

bool replica::change_settled() const {
    const bool queued = std::any_of(m_queued.begin(), m_queued.end(), [](const log_entry &entry) {
        return entry.kind == entry_kind::members;
    });
    return !queued && (m_member_history.empty() || m_member_history.rbegin()->first <= m_commit);
}

void replica::promote_learner() {
    if (!m_members.learner || m_member_history.empty() || !change_settled()) {
        return;
    }
    // Counting a voter that still lacks entries would raise the quorum without anyone able to fill
    // it: with one more loss nothing could be decided until it has them.
    const bool caught_up = m_progress[*m_members.learner].match >= m_commit;
    if (!caught_up) {
        return;
    }
    membership next = m_members;
    if (next.replaces && next.voters.count(*next.replaces) != 0) {
        // One at a time, and the old voter, which is mostly lost already, leaves first: joining
        // first would raise the quorum, and one more loss before it left would stop everything.
        next.voters.erase(*next.replaces);
    } else {
        next.voters.insert(*next.learner);
        next.learner.reset();
        next.replaces.reset();
    }
    propose(entry_kind::members, encode(next));
}

void replica::note_members(const log_entry &entry) {
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
        m_progress.try_emplace(peer, progress{.next = m_log->last_index() + 1, .heard = m_now});
    }
}

/// A membership entry counts from when it is in the log, and no longer once it was replaced.
void replica::reload_members(std::uint64_t up_to) {
    m_member_history.clear();
    m_members = m_options.initial;
    if (m_log->snapshot()) {
        std::string reason;
        m_members = decode_membership(m_log->snapshot()->members, reason).value_or(m_members);
    }
    for (std::uint64_t index = m_log->first_index(); index <= up_to; ++index) {
        note_members(*m_log->entry_at(index));
    }
}

bool replica::quorum(const std::function<bool(const node_address &)> &agrees) const {
    const auto count = std::count_if(m_members.voters.begin(), m_members.voters.end(), agrees);
    return static_cast<std::size_t>(count) * 2 > m_members.voters.size();
}

// ---- the disk ----

void replica::begin_write() {
    m_wrote = !m_log->settings().write_behind;
    if (m_log->staged() == m_log->written()) {
        m_staged_at = m_now;
    }
}

void replica::send_when_durable(outgoing item) {
    if (m_log->staged() == m_log->written()) {
        m_outgoing.push_back(std::move(item));
    } else {
        m_unsynced.push_back({m_log->staged(), std::move(item)});
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
    note_write(now - std::exchange(m_staged_at, now));
    const bool answers = !m_unsynced.empty() && m_unsynced.front().first <= m_log->written();
    while (!m_unsynced.empty() && m_unsynced.front().first <= m_log->written()) {
        m_outgoing.push_back(std::move(m_unsynced.front().second));
        m_unsynced.pop_front();
    }
    switch (m_role) {
    case role::leader: advance_commit(); break;
    case role::candidate:
        reset_election_timer(now); // the writes of the others began later
        count_votes(now);
        break;
    default:
        if (answers) {
            reset_election_timer(now); // so does the candidate that has this voter's vote
        }
        acknowledge_durable();
        break;
    }
}

void replica::fail() {
    m_role = role::failed;
    m_unsynced.clear();
    m_leader.clear();
    m_queued.clear();
}

} // namespace peppertack
