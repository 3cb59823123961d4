#include "peppertack/coordination/control_core.hpp"

#include "peppertack/coordination/planted_defects.hpp"
#include "peppertack/coordination/target_incarnation.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace peppertack {

namespace {

constexpr const char *placement_actor = "placement";
constexpr std::uint64_t renewals_per_voter_list = 16;
constexpr const char *lease_actor = "leases";

std::string registration_id(const target_record &record) {
    return record.name + '\n' + std::to_string(record.incarnation);
}

} // namespace

bool is_for_control(const message &body) {
    if (const auto *reply = std::get_if<renew_reply>(&body)) {
        return !reply->origin.empty(); // to be relayed
    }
    return std::holds_alternative<vote_request>(body) || std::holds_alternative<vote_reply>(body) ||
           std::holds_alternative<append_request>(body) ||
           std::holds_alternative<append_reply>(body) ||
           std::holds_alternative<snapshot_request>(body) ||
           std::holds_alternative<renew_request>(body) ||
           std::holds_alternative<join_request>(body);
}

control_core::control_core(control_options options, durable_log &log, audit_sink audit, instant now)
    : m_options(std::move(options)),
      m_replica(std::make_unique<replica>(m_options.replication, log, now)),
      m_audit(std::move(audit)), m_leases(m_options.lease), m_placement(m_options.placement),
      m_roster(m_options.roster, now),
      m_updates(m_state, m_options.max_items_per_update, m_options.encode_map) {}

std::unique_ptr<control_core> control_core::make(control_options options, durable_log &log,
                                                 audit_sink audit, moment at, std::string &reason) {
    std::unique_ptr<control_core> core(
        new control_core(std::move(options), log, std::move(audit), at.now));
    if (log.snapshot()) {
        std::optional<control_state> state = control_state::decode(log.snapshot()->state, reason);
        if (!state) {
            return nullptr;
        }
        core->m_state = std::move(*state);
        core->m_compacted_version = core->m_state.version();
    }
    return core;
}

void control_core::tick(moment at) {
    detect_stall(at.now);
    m_replica->tick(at.now);
    if (m_established) {
        expire_leases(at); // visits all targets, so it does not run on every message
        apply_roster_advice(at);
    } else {
        request_join_if_due(at);
    }
    run_pending_work(at);
}

void control_core::note_written(moment at) {
    m_replica->note_written(at.now);
    run_pending_work(at);
}

/// Applies the roster's advice, one membership change at a time.
void control_core::apply_roster_advice(moment at) {
    m_roster.defer_offer(at.now);
    const auto contact_age = [&](const node_address &voter) {
        return m_replica->time_since_contact(voter, at.now);
    };
    const auto &learner = m_replica->members().learner;
    if (learner && m_options.roster.desired_voters != 0 &&
        contact_age(*learner) > m_options.roster.voter_timeout) {
        m_replica->cancel_change();
    }
    const auto advice =
        m_roster.next_change(m_replica->members(), m_options.replication.self, contact_age, at.now);
    if (advice && m_replica->replace_voter(advice->learner, advice->replaces)) {
        m_roster.remove_offer(advice->learner);
    }
}

/// A process without a known leader may be a new spare or a voter that was replaced while it was
/// unreachable. It can't distinguish these, so it sends a join request, which the leader ignores if
/// the process is a member already.
void control_core::request_join_if_due(moment at) {
    if (!m_replica->leader().empty() && m_replica->is_voter()) {
        m_roster.defer_offer(at.now);
        return;
    }
    // A voter that can't write its log would take the place of a working spare.
    const bool can_store = m_replica->current_role() != replica::role::failed;
    if (can_store && m_roster.offer_due(at.now)) {
        send_to_contacts(join_request{.identity = m_options.replication.self});
    }
}

void control_core::send_to_contacts(const join_request &request) {
    for (const node_address &contact : m_roster.contacts(m_replica->members())) {
        if (contact != m_options.replication.self) {
            m_outgoing.push_back({contact, request});
        }
    }
}

void control_core::announce_leaving(moment at) {
    const join_request request{.identity = m_options.replication.self, .leaving = true};
    m_roster.record(request, at.now);
    send_to_contacts(request);
}

void control_core::handle_join(const join_request &request, moment at) {
    m_roster.record(request, at.now);
    const node_address &leader = m_replica->leader();
    if (!m_established && !leader.empty() && leader != m_options.replication.self &&
        leader != request.identity) {
        m_outgoing.push_back({leader, request});
    }
}

bool control_core::enough_voters() const {
    return m_replica->members().voters.size() >= m_options.roster.desired_voters;
}

std::uint64_t control_core::confirm_leadership(moment at) {
    const std::uint64_t ticket = m_next_ticket++;
    if (!m_established) {
        m_answers.push_back({.ticket = ticket, .error = error_kind::not_leader});
        return ticket;
    }
    m_confirmations.push_back({m_replica->request_round(), ticket});
    run_pending_work(at);
    return ticket;
}

void control_core::complete_confirmations() {
    while (!m_confirmations.empty() &&
           m_confirmations.front().first <= m_replica->last_confirmed_round()) {
        m_answers.push_back(
            {.ticket = m_confirmations.front().second, .version = m_state.version()});
        m_confirmations.pop_front();
    }
}

void control_core::receive(const node_address &from, const message &body, moment at) {
    if (const auto *renewal = std::get_if<renew_request>(&body)) {
        if (!m_established) {
            relay_renewal(from, *renewal);
            return;
        }
        // Answered only once a quorum has confirmed this leader after the renewal arrived: a
        // deposed leader must not extend a lease whose expiry the new leader waits for.
        const std::uint64_t round = g_defects.unconfirmed_leader ? 0 : m_replica->request_round();
        m_pending_renewals.push_back({round, from, *renewal});
    } else if (const auto *reply = std::get_if<renew_reply>(&body)) {
        if (!reply->origin.empty()) {
            renew_reply relayed = *reply;
            m_outgoing.push_back({std::exchange(relayed.origin, {}), std::move(relayed)});
        }
    } else if (const auto *join = std::get_if<join_request>(&body)) {
        handle_join(*join, at);
    } else {
        m_replica->receive(from, body, at.now);
    }
    run_pending_work(at);
}

/// Relays renewals of nodes that can't reach the leader directly: they would lose their leases, and
/// their targets' keys would be reassigned needlessly. A request is relayed at most once.
void control_core::relay_renewal(const node_address &from, const renew_request &request) {
    const node_address &leader = m_replica->leader();
    const bool known = !leader.empty() && leader != m_options.replication.self;
    if (request.wants_relay && known && request.origin.empty()) {
        renew_request relayed = request;
        relayed.origin = from;
        m_outgoing.push_back({leader, std::move(relayed)});
    } else if (request.origin.empty()) {
        m_outgoing.push_back(
            {from, renew_reply{.sequence = request.sequence, .leader_hint = leader}});
    }
}

bool control_core::knows_domain(const std::string &domain) const {
    const std::vector<std::string> &configured = m_options.failure_domains;
    return configured.empty() ||
           std::find(configured.begin(), configured.end(), domain) != configured.end() ||
           m_state.evacuated().count(domain) != 0 ||
           std::any_of(m_state.targets().begin(), m_state.targets().end(),
                       [&](const auto &item) { return item.second.failure_domain == domain; });
}

std::uint64_t control_core::submit(command value, moment at) {
    const std::uint64_t ticket = m_next_ticket++;
    value.wall_ms = at.wall_ms;
    const std::optional<std::uint64_t> index =
        m_established ? m_replica->propose(entry_kind::command, encode(value)) : std::nullopt;
    if (!index) {
        m_answers.push_back({.ticket = ticket, .error = error_kind::not_leader});
        return ticket;
    }
    if (g_defects.acknowledge_evacuation_early &&
        std::holds_alternative<evacuate_domain>(value.body)) {
        m_answers.push_back({.ticket = ticket, .version = *index});
        return ticket;
    }
    m_last_proposed_index = *index;
    m_tickets[*index] = {m_replica->term(), ticket};
    run_pending_work(at);
    return ticket;
}

bool control_core::replace_voter(const node_address &learner,
                                 const std::optional<node_address> &replaces, moment at) {
    const bool taken = m_replica->replace_voter(learner, replaces);
    run_pending_work(at);
    return taken;
}

std::vector<outgoing> control_core::take_outgoing() {
    std::vector<outgoing> result = m_replica->take_outgoing();
    std::move(m_outgoing.begin(), m_outgoing.end(), std::back_inserter(result));
    m_outgoing.clear();
    return result;
}

std::vector<submit_answer> control_core::take_answers() {
    return std::exchange(m_answers, {});
}

/// Processes all consequences of new input: commits, renewals, placement, updates. One log sync
/// covers all entries proposed in this step.
void control_core::run_pending_work(moment at) {
    m_now = at.now;
    m_replica->flush(at.now);
    apply_committed();
    update_leadership(at);
    if (m_established) {
        answer_renewals(at);
        complete_confirmations();
        run_placement(at);
        m_replica->flush(at.now);
        apply_committed();
        push_updates();
    }
    compact_if_due();
}

// ---- the replicated state ----

void control_core::apply_committed() {
    if (const std::optional<log_snapshot> installed = m_replica->take_installed_snapshot()) {
        std::string reason;
        if (std::optional<control_state> state = control_state::decode(installed->state, reason)) {
            m_state = std::move(*state);
            m_compacted_version = m_state.version();
        }
    }
    for (const log_entry &entry : m_replica->take_committed()) {
        apply_entry(entry);
    }
}

void control_core::apply_entry(const log_entry &entry) {
    if (entry.index <= m_state.version()) {
        return;
    }
    std::string reason;
    std::optional<command> value;
    if (entry.kind == entry_kind::command) {
        value = decode_command(entry.payload, reason);
    }
    control_state::applied result;
    if (value) {
        result = m_state.apply(entry.index, *value);
    } else {
        m_state.skip(entry.index);
    }
    if (result.audit) {
        m_audit(*result.audit);
    }
    if (value && result.error == error_kind::none) {
        count_owner_changes(*value);
        if (const auto *body = std::get_if<change_routes>(&value->body)) {
            m_routes.record(body->delta);
        }
    }
    if (value) {
        if (const auto *body = std::get_if<register_target>(&value->body)) {
            m_pending_registrations.erase(registration_id(body->record));
            m_last_registration = m_now;
            m_next_balance = {}; // the new target owns no ranges yet
        }
        if (const auto *body = std::get_if<expire_targets>(&value->body)) {
            for (const target_number number : body->numbers) {
                m_leases.forget(number);
                m_load_tracker.forget(number);
            }
        }
        if (const auto *body = std::get_if<retire_target>(&value->body)) {
            m_leases.forget(body->number);
        }
        if (const auto *body = std::get_if<report_crash>(&value->body)) {
            m_pending_crash_reports.erase(body->life);
        }
        if (std::holds_alternative<evacuate_domain>(value->body)) {
            m_next_balance = {}; // its ranges leave at once, or may come back
        }
    }
    const auto ticket = m_tickets.find(entry.index);
    if (ticket == m_tickets.end()) {
        return;
    }
    const auto [term, number] = ticket->second;
    m_tickets.erase(ticket);
    if (term == entry.term) {
        m_answers.push_back({.ticket = number,
                             .error = result.error,
                             .version = entry.index,
                             .change = result.answer});
    } else {
        m_answers.push_back({.ticket = number, .error = error_kind::not_leader, .certain = false});
    }
}

void control_core::count_owner_changes(const command &value) {
    if (const auto *body = std::get_if<release_range>(&value.body)) {
        ++m_owner_changes[body->service];
    }
    if (const auto *body = std::get_if<grant_ranges>(&value.body)) {
        if (!m_services_granted.insert(body->service).second) {
            m_owner_changes[body->service] += body->choices.size();
        }
    }
}

double control_core::imbalance_of(const std::string &service) const {
    return imbalance(view_of(service), m_options.placement);
}

std::uint64_t control_core::owner_changes(const std::string &service) const {
    const auto found = m_owner_changes.find(service);
    return found == m_owner_changes.end() ? 0 : found->second;
}

void control_core::update_leadership(moment at) {
    const bool leads = m_replica->leads() && m_replica->commit_index() >= m_replica->term_start();
    if (leads == m_established) {
        return;
    }
    m_established = leads;
    m_leases.clear();
    m_pending_renewals.clear();
    for (const auto &[round, ticket] : m_confirmations) {
        m_answers.push_back({.ticket = ticket, .error = error_kind::not_leader});
    }
    m_confirmations.clear();
    m_pending_registrations.clear();
    m_pending_crash_reports.clear();
    m_nodes.clear();
    m_load_tracker.clear();
    m_pushed_version = m_state.version();
    m_last_proposed_index = m_state.version();
    m_placed_version = 0;
    m_leases_version = 0;
    if (!leads) {
        for (const auto &[index, pending] : m_tickets) {
            m_answers.push_back(
                {.ticket = pending.second, .error = error_kind::not_leader, .certain = false});
        }
        m_tickets.clear();
        return;
    }
    m_next_placement = at.now;
    m_next_balance = at.now + m_options.balance_interval;
    // The previous leader may have renewed any lease just before it was deposed, so each lease
    // counts as renewed now. A range reassigned before that lease expires could have two owners.
    for (const auto &[number, record] : m_state.targets()) {
        if (record.phase != target_phase::gone) {
            const instant from = g_defects.no_leader_wait ? instant{} : at.now;
            m_leases.note_renewed(number, record.checks_tokens, from);
        }
    }
}

void control_core::propose(moment at, std::string actor, std::string cause, command_body body) {
    const command value{at.wall_ms, std::move(actor), std::move(cause), std::move(body)};
    if (const auto index = m_replica->propose(entry_kind::command, encode(value))) {
        m_last_proposed_index = *index;
    }
}

void control_core::compact_if_due() {
    if (m_state.version() < m_compacted_version + m_options.entries_per_snapshot) {
        return;
    }
    m_compacted_version = m_state.version();
    m_replica->compact(m_state.version(), m_state.encode());
}

// ---- leases ----

void control_core::answer_renewals(moment at) {
    const std::uint64_t confirmed = m_replica->last_confirmed_round();
    while (!m_pending_renewals.empty() && m_pending_renewals.front().round <= confirmed) {
        const pending_renewal pending = std::move(m_pending_renewals.front());
        m_pending_renewals.pop_front();
        answer_renewal(pending, at);
    }
}

const target_record *control_core::registration_of(const renew_request &request,
                                                   const node_address &from) const {
    const target_record *record = request.target.number == no_target
                                      ? m_state.find_target(request.target.name)
                                      : m_state.find_target(request.target.number);
    if (record == nullptr || record->phase == target_phase::gone) {
        return nullptr;
    }
    const bool resumed =
        request.target.incarnation == any_incarnation && record->node_address == from;
    return resumed || record->incarnation == request.target.incarnation ? record : nullptr;
}

void control_core::answer_renewal(const pending_renewal &pending, moment at) {
    const renew_request &request = pending.request;
    const node_address &from = request.origin.empty() ? pending.from : request.origin;
    renew_reply reply{.sequence = request.sequence,
                      .is_leader = true,
                      .table_version = m_state.table_version(),
                      .routes_version = m_state.routes().version,
                      .map = {}};
    // The set of voters changes rarely: it is sent to unregistered nodes and with every
    // `renewals_per_voter_list`-th renewal.
    if (request.target.number == no_target || request.sequence % renewals_per_voter_list == 0) {
        reply.voters.assign(m_replica->members().voters.begin(), m_replica->members().voters.end());
    }
    if (request.table_version != m_state.table_version()) {
        reply.table_csv = m_state.current_table().to_csv();
    }
    node_report &node = m_nodes[from];
    node.address = from;
    std::uint64_t base = node.map_base(request, at);
    if (request.reads_encoded_maps && m_updates.sends_whole(base)) {
        const map_update_cache::encoded_map &whole = m_updates.whole();
        reply.encoded_map = whole.bytes;
        base = whole.version;
    }
    reply.map = m_updates.since(base);
    node.number = request.target.number;
    node.table_version = request.table_version;
    node.map_version = reply.map.to;
    node.last_renewal_at = at.now;
    const bool routes_current = request.routes_version == m_state.routes().version;
    if (!routes_current && node.routes_due(request.routes_version, m_state.routes().version, at)) {
        reply.routes = m_routes.compressed_since(request.routes_version, m_state.routes());
    }
    const bool current = reply.table_csv.empty() && routes_current;
    if (request.has_target) {
        const target_record *record = registration_of(request, from);
        if (record != nullptr) {
            reply.number = record->number;
            node.number = record->number;
            if (reply.map.to < m_state.version()) {
                m_updates.add_own_ranges(reply.map, *record);
            }
            handle_reports(request, *record, at);
            // Only a node with the current table and routes gets a lease: a change is in force
            // everywhere within one lease length, even where a node is unreachable.
            if (current && !m_leases.revoked(record->number)) {
                m_leases.note_renewed(record->number, record->checks_tokens, at.now);
                reply.lease = m_options.lease.length;
            }
        } else if (request.target.number != no_target) {
            reply.registration_lost = true;
        } else {
            register_node(request, from, at);
        }
    }
    handle_crash_reports(request, from, reply, at);
    reply.evacuations_version = m_state.evacuations_version();
    if (request.evacuations_version != m_state.evacuations_version()) {
        reply.evacuated.assign(m_state.evacuated().begin(), m_state.evacuated().end());
    }
    reply.origin = request.origin;
    m_outgoing.push_back({pending.from, std::move(reply)});
}

void control_core::register_node(const renew_request &request, const node_address &from,
                                 moment at) {
    if (request.target.incarnation == any_incarnation || request.draining || request.giving_up ||
        !m_state.has_service(request.target.service) ||
        !m_pending_registrations.insert(registration_id(request.target)).second) {
        return;
    }
    target_record record = request.target;
    record.node_address = from;
    // A node has one local target and announces the next one only after the previous one has ended.
    // Waiting for the previous lease to expire would leave its keys unserved needlessly.
    for (const target_number number : m_state.live_targets(record.service)) {
        const target_record &other = m_state.targets().at(number);
        if (other.node_address == from && other.name != record.name && !m_leases.revoked(number)) {
            m_leases.revoke(number);
            propose(at, "node " + from, "another target was started in its place",
                    expire_targets{{number}});
        }
    }
    propose(at, "node " + from, "target announced itself", register_target{record});
}

void control_core::handle_reports(const renew_request &request, const target_record &record,
                                  moment at) {
    const std::string actor = "node of " + record.name;
    for (const range_report &report : request.released) {
        const range_record *range = m_state.find_range(report.service, report.first);
        if (range != nullptr && range->first == report.first && range->token == report.token &&
            range->owner == record.number && range->next == report.to) {
            propose(at, actor, "range released",
                    release_range{report.service, report.first, report.token, report.to,
                                  report.handover});
        }
    }
    for (const range_report &report : request.restored) {
        const range_record *range = m_state.find_range(report.service, report.first);
        if (range != nullptr && range->first == report.first && range->token == report.token &&
            range->owner == record.number && range->memory == idempotency_state::fetch) {
            propose(at, actor, "remembered keys restored",
                    restore_memory{report.service, report.first, report.token, record.number,
                                   idempotency_state::fetch});
        }
    }
    if (request.standby_epoch == record.standby_epoch && record.standby != no_target) {
        if (request.synced_standby == record.standby && !record.standby_ready) {
            propose(at, actor, "standby copy complete",
                    set_standby{record.number, record.standby, true, record.standby_epoch});
        }
        if (request.unsynced_standby == record.standby && record.standby_ready) {
            propose(at, actor, "standby does not answer",
                    set_standby{record.number, record.standby, false, 0});
        }
    }
    if (request.draining && record.phase == target_phase::serving) {
        propose(at, actor, "planned stop announced by the node", drain_target{record.number});
    }
    if (request.giving_up && !m_leases.revoked(record.number)) {
        // The node reports that it has stopped serving, so the lease can end at once.
        m_leases.revoke(record.number);
        propose(at, actor, "target lost; lease given up by its node",
                expire_targets{{record.number}});
    }
    record_loads(request, record, at);
}

/// Nodes repeat a crash report until it is part of the committed state, so that the loss of a
/// leader loses no report.
void control_core::handle_crash_reports(const renew_request &request, const node_address &from,
                                        renew_reply &reply, moment at) {
    const crash_history &known = m_state.crashes();
    for (const crash_report &report : request.crashes) {
        if (known.has_recorded(report.life)) {
            reply.crashes_recorded.push_back(report.life);
        } else if (m_pending_crash_reports.insert(report.life).second) {
            propose(at, "node " + from, "target ended while it ran requests",
                    report_crash{report.target, report.life, report.running});
        }
    }
    std::vector<std::uint64_t> cleared;
    for (const std::uint64_t fingerprint : request.acquitted) {
        if (known.entries().count(fingerprint) != 0) {
            cleared.push_back(fingerprint);
        }
    }
    if (!cleared.empty()) {
        propose(at, "node " + from, "a target ran the request to its end",
                clear_suspects{.fingerprints = std::move(cleared)});
    }
    reply.suspects_version = m_state.suspects_version();
    if (request.suspects_version != m_state.suspects_version()) {
        reply.suspects = known.listed();
    }
}

void control_core::release_expired_quarantines(moment at) {
    const std::int64_t quarantine_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_options.quarantine).count();
    std::vector<std::uint64_t> over;
    for (const auto &[fingerprint, suspect] : m_state.crashes().entries()) {
        if (suspect.quarantined && suspect.seen_ms + quarantine_ms < at.wall_ms) {
            over.push_back(fingerprint);
        }
    }
    if (!over.empty()) {
        propose(at, placement_actor, "quarantine is over",
                clear_suspects{.fingerprints = std::move(over), .probation = true});
    }
}

void control_core::record_loads(const renew_request &request, const target_record &record,
                                moment at) {
    if (!request.loads.empty() || !request.hot_keys.empty()) {
        m_load_tracker.record(record.service, record.number, request, at.now);
    }
}

/// While a leader is stalled, for example half a second by its disk, renewals queue up behind this
/// step. Expiring leases now would take keys from targets that were reachable all the time. Stalls
/// in close succession do not extend the delay, or the leases of a lost target would not expire
/// while they go on.
void control_core::detect_stall(instant now) {
    const bool stalled = m_last_tick != instant{} && now > m_last_tick + m_options.stall_threshold;
    m_last_tick = now;
    if (stalled && now >= m_next_expiry_delay) {
        m_expiry_suspended_until = now + m_options.expiry_delay_after_stall;
        m_next_expiry_delay = m_expiry_suspended_until + m_options.lease.length;
    }
}

void control_core::expire_leases(moment at) {
    if (at.now < m_expiry_suspended_until) {
        return;
    }
    std::vector<target_number> ended = m_leases.take_ended(at.now);
    std::erase_if(ended, [&](target_number number) {
        const target_record *record = m_state.find_target(number);
        return record == nullptr || record->phase == target_phase::gone;
    });
    for (std::size_t i = 0; i < ended.size(); i += m_options.max_expirations_per_command) {
        const auto from = ended.begin() + static_cast<std::ptrdiff_t>(i);
        const std::size_t count = std::min(m_options.max_expirations_per_command, ended.size() - i);
        propose(at, lease_actor, "lease ended without a renewal",
                expire_targets{{from, from + static_cast<std::ptrdiff_t>(count)}});
    }
    if (m_leases_version == m_state.version()) {
        return;
    }
    m_leases_version = m_state.version();
    for (const auto &[number, record] : m_state.targets()) {
        if (record.phase != target_phase::gone && !m_leases.knows(number)) {
            m_leases.note_renewed(number, record.checks_tokens, at.now);
        }
    }
}

// ---- the map ----

/// Pushes map changes to the affected nodes, so that a new owner does not wait for its next
/// renewal. A push grants no lease; if it is lost, the next renewal delivers the change.
void control_core::push_updates() {
    if (m_state.version() == m_pushed_version) {
        return;
    }
    const auto touched = m_state.changes_since(m_pushed_version);
    m_pushed_version = m_state.version();
    const bool many_nodes = m_nodes.size() >= m_options.min_nodes_for_selective_push;
    if (!touched || touched->empty() ||
        (many_nodes && touched->size() > m_options.max_push_items)) {
        return;
    }
    std::set<target_number> affected;
    for (const change_feed_item &item : *touched) {
        affected.insert(item.number);
        if (const range_record *range = m_state.find_range(item.service, item.first)) {
            affected.insert({range->owner, range->next});
        }
    }
    for (auto &[address, node] : m_nodes) {
        if (many_nodes && affected.count(node.number) == 0) {
            continue;
        }
        const map_update &update = m_updates.since(node.map_version);
        if (update.from != 0) {
            node.map_version = update.to;
            m_outgoing.push_back({address, update});
        }
    }
}

// ---- decisions ----

void control_core::run_placement(moment at) {
    // All earlier proposals must be applied first, or the same decision would be made twice.
    if (at.now < m_next_placement || m_state.version() < m_last_proposed_index) {
        return;
    }
    const bool balance_due = at.now >= m_next_balance;
    if (m_state.version() == m_placed_version && !balance_due) {
        return;
    }
    m_next_placement = at.now + m_options.placement_interval;
    if (balance_due) {
        m_next_balance = at.now + m_options.balance_interval;
        end_expired_key_retention(at);
        release_expired_quarantines(at);
        m_load_tracker.remove_expired(at.now);
    }
    const std::set<std::string> services = services_to_place(balance_due);
    m_placed_version = m_state.version();
    const std::uint64_t proposed_before = m_last_proposed_index;
    for (const std::string &service : services) {
        place_service(service, at, balance_due);
    }
    // Keys without an owner have priority: after the loss of a failure domain, choosing standbys is
    // twice as much work and can wait for the next run, which the grants trigger.
    if (m_last_proposed_index != proposed_before) {
        return;
    }
    for (const std::string &service : services) {
        assign_standbys(service, at);
        retire_drained_targets(service, at);
    }
}

/// Services that changed since the last placement, or all of them when balancing is due, since
/// loads change without a new state version.
std::set<std::string> control_core::services_to_place(bool balance_due) const {
    std::set<std::string> services;
    const auto touched = m_state.changes_since(m_placed_version);
    if (balance_due || !touched) {
        for (const auto &[service, ranges] : m_state.ranges()) {
            services.insert(service);
        }
        return services;
    }
    for (const change_feed_item &item : *touched) {
        const target_record *record = m_state.find_target(item.number);
        if (!item.service.empty()) {
            services.insert(item.service);
        } else if (record != nullptr && m_state.ranges().count(record->service) != 0) {
            services.insert(record->service);
        }
    }
    return services;
}

bool control_core::is_evacuated(const target_record &record) const {
    return !g_defects.keep_evacuated_ranges &&
           m_state.evacuated().count(record.failure_domain) != 0;
}

placement_view control_core::view_of(const std::string &service) const {
    placement_view view;
    view.key_spacing = m_state.has_ordered_keys(service) ? ordered_key_stride : 1;
    const auto routed = m_state.routes().services.find(service);
    // Each span of keys that is granted by a call costs calls for as long as it is held.
    view.split_before_grant = routed != m_state.routes().services.end() &&
                              routed->second.delivery == hold_delivery::by_heartbeat;
    view.ranges = &m_state.ranges().at(service);
    const std::set<target_number> &numbers = m_state.live_targets(service);
    std::map<std::string, std::size_t> in_domain;
    for (const target_number number : numbers) {
        const target_record &record = m_state.targets().at(number);
        if (record.phase == target_phase::serving && !is_evacuated(record)) {
            ++in_domain[record.failure_domain];
        }
    }
    for (const target_number number : numbers) {
        const target_record &record = m_state.targets().at(number);
        const bool evacuated = is_evacuated(record);
        const bool serving =
            record.phase == target_phase::serving && !m_leases.revoked(number) && !evacuated;
        const table_row *row = m_state.current_table().find(service, record.failure_domain);
        placement_target target{.number = number,
                                .failure_domain = record.failure_domain,
                                .accepts = serving,
                                .draining = record.phase == target_phase::draining,
                                .evacuated = evacuated};
        if (row != nullptr && serving) {
            target.weight = row->weight / static_cast<double>(in_domain[record.failure_domain]);
            view.churn_price = row->churn_price;
            view.unavailable_price = row->unavailable_price;
        } else if (serving && m_state.has_ordered_keys(service)) {
            target.weight = 1; // has no table row, only routes: all targets weigh the same
        }
        view.targets.push_back(std::move(target));
    }
    if (m_state.has_ordered_keys(service)) {
        m_load_tracker.scale_weights_by_capacity(view);
    }
    m_load_tracker.add_loads(service, view);
    return view;
}

void control_core::split(const std::string &service, const std::vector<std::uint64_t> &split_points,
                         moment at) {
    std::map<std::uint64_t, std::vector<std::uint64_t>> points_by_range;
    for (const std::uint64_t split_point : split_points) {
        propose(at, placement_actor, "range too heavy or too wide",
                split_range{service, split_point});
        points_by_range[m_state.find_range(service, split_point)->first].push_back(split_point);
    }
    for (const auto &[first, points] : points_by_range) {
        m_load_tracker.divide_load(service, first, points);
    }
}

void control_core::place_service(const std::string &service, moment at, bool balance_due) {
    const std::vector<range_record> &ranges = m_state.ranges().at(service);
    const bool has_unowned_ranges =
        std::any_of(ranges.begin(), ranges.end(),
                    [](const range_record &range) { return range.owner == no_target; });
    const std::set<target_number> &numbers = m_state.live_targets(service);
    const bool has_leaving_targets =
        std::any_of(numbers.begin(), numbers.end(), [&](target_number number) {
            const target_record &record = m_state.targets().at(number);
            return record.phase == target_phase::draining || is_evacuated(record);
        });
    if (!has_unowned_ranges && !has_leaving_targets && !balance_due) {
        return;
    }
    // At the first start targets register one by one; without this delay the first would get every
    // range.
    const bool never_owned = std::all_of(ranges.begin(), ranges.end(),
                                         [](const auto &range) { return range.token == 0; });
    if (never_owned && at.now < m_last_registration + m_options.initial_placement_delay) {
        return;
    }
    const placement_decision decision = m_placement.decide(view_of(service));
    if (!decision.grants.empty()) {
        propose(at, placement_actor, "ranges without an owner",
                grant_ranges{service, decision.grants});
    }
    if (!decision.moves.empty()) {
        propose(at, placement_actor, decision.move_cause, plan_moves{service, decision.moves});
    }
    split(service, decision.splits, at);
    for (const std::uint64_t first : decision.merges) {
        propose(at, placement_actor, "neighbours are cold", merge_range{service, first});
    }
}

target_number
control_core::best_standby_for(const target_record &record,
                               const std::map<target_number, std::size_t> &standby_counts) const {
    target_number best = no_target;
    const auto rank = [&](const target_record &candidate) {
        // Both copies should not be in one failure domain, and no target should be standby for
        // many.
        const bool same_domain = candidate.failure_domain == record.failure_domain;
        const auto found = standby_counts.find(candidate.number);
        return std::tuple(is_evacuated(candidate), same_domain,
                          found == standby_counts.end() ? 0 : found->second);
    };
    for (const target_number number : m_state.live_targets(record.service)) {
        const target_record &candidate = m_state.targets().at(number);
        if (number == record.number || candidate.phase != target_phase::serving ||
            m_leases.revoked(number)) {
            continue;
        }
        if (best == no_target || rank(candidate) < rank(*m_state.find_target(best))) {
            best = number;
        }
    }
    return best;
}

void control_core::assign_standbys(const std::string &service, moment at) {
    if (m_state.has_ordered_keys(service)) {
        return; // its requests carry no idempotency keys
    }
    const std::set<target_number> &numbers = m_state.live_targets(service);
    std::map<target_number, std::size_t> standby_counts;
    for (const target_number number : numbers) {
        const target_number standby = m_state.targets().at(number).standby;
        if (standby != no_target) {
            ++standby_counts[standby];
        }
    }
    for (const target_number number : numbers) {
        const target_record &record = m_state.targets().at(number);
        const target_record *standby = m_state.find_target(record.standby);
        const bool leaving = standby != nullptr && standby->phase == target_phase::draining;
        if (standby != nullptr && !leaving) {
            continue;
        }
        const target_number chosen = best_standby_for(record, standby_counts);
        if (chosen != record.standby) {
            ++standby_counts[chosen];
            propose(at, placement_actor, leaving ? "standby is stopping" : "target has no standby",
                    set_standby{number, chosen, false, 0});
        }
    }
}

void control_core::retire_drained_targets(const std::string &service, moment at) {
    const std::set<target_number> &numbers = m_state.live_targets(service);
    const std::vector<range_record> &ranges = m_state.ranges().at(service);
    for (const target_number number : numbers) {
        if (m_state.targets().at(number).phase != target_phase::draining) {
            continue;
        }
        const bool in_use =
            std::any_of(ranges.begin(), ranges.end(), [number](const range_record &range) {
                return range.owner == number || range.recover_from == number;
            });
        const bool is_standby =
            std::any_of(numbers.begin(), numbers.end(), [&](target_number other) {
                const target_record &record = m_state.targets().at(other);
                return record.standby == number && record.standby_ready;
            });
        if (!in_use && !is_standby) {
            propose(at, placement_actor, "planned stop finished", retire_target{number});
        }
    }
}

void control_core::end_expired_key_retention(moment at) {
    const std::int64_t retention_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_options.key_retention).count();
    for (const auto &[service, ranges] : m_state.ranges()) {
        for (const range_record &range : ranges) {
            if (range.memory == idempotency_state::lost && range.owner != no_target &&
                range.lost_at_ms + retention_ms < at.wall_ms) {
                propose(at, placement_actor, "retention of lost keys has passed",
                        restore_memory{service, range.first, range.token, range.owner,
                                       idempotency_state::lost});
            }
        }
    }
}

} // namespace peppertack
