#include "peppertack/transport/traffic/node_agent.hpp"

#include "peppertack/state/key_hash.hpp"
#include "peppertack/transport/json_log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

/// Heartbeats missed in a row until a target that keeps no hold counts as gone.
constexpr int missed_heartbeats = 4;
/// A target that leaves is given nothing later than this after it was told so: well below the two
/// seconds that the protocol allows, since a request may be on its way between two nodes.
constexpr duration leaving_work = std::chrono::milliseconds(1200);
/// Longest wait of an answer to a target that says that it leaves.
constexpr duration leaving_wait = std::chrono::milliseconds(300);
/// Longest wait for keys that another target is letting go of: the answer still comes within the
/// second after which a target gives up on it.
constexpr duration longest_keys_wait = std::chrono::milliseconds(800);
/// Calls that wait for the routes; a target repeats its own once a heartbeat interval.
constexpr std::size_t most_waiting_calls = 16;
/// Beyond a heartbeat interval the wait is no longer than this: two intervals and it stay below
/// what a target holds, so that a hold never ends for it.
constexpr duration keys_wait_over_interval = std::chrono::milliseconds(300);
/// Counts over a longer time than this are no present load.
constexpr double longest_load_interval = 5;
/// A target may report so long before it takes connections.
constexpr duration reports_before_listening = std::chrono::milliseconds(200);
/// Pause between two questions who listens at the target's address.
constexpr duration identity_check_interval = std::chrono::milliseconds(200);
/// A target's limit may change with each answer.
constexpr duration limit_told_interval = std::chrono::seconds(1);
/// Heartbeat intervals for which a target's statement that it is cold, or warm, is valid.
constexpr int cold_statement_intervals = 2;
/// Pause between two questions whether a target is cold.
constexpr duration cold_question_interval = std::chrono::milliseconds(300);
/// A process that did not run for this long may have missed what its target said.
constexpr duration node_stall = std::chrono::seconds(1);

} // namespace

node_agent::node_agent(const traffic_options &options, sender send, health_probe probe)
    : m_options(options), m_send(std::move(send)), m_probe(std::move(probe)), m_lease(options.node),
      m_holds(options.holds), m_caller(options.hold_calls, m_holds),
      m_queue({.drain_standing = options.policy.drain_standing,
               .nested_first = options.policy.nested_calls_first,
               .equal_shares = options.policy.equal_shares}),
      m_cold(options.heartbeat_interval * cold_statement_intervals) {}

bool node_agent::keyed() const {
    const auto &services = m_lease.routes().services;
    const auto found = m_target ? services.find(m_target->service) : services.end();
    return found != services.end() && found->second.keyed;
}

std::optional<hold_delivery> node_agent::delivery() const {
    const auto &services = m_lease.routes().services;
    const auto found = m_target ? services.find(m_target->service) : services.end();
    return found != services.end() && found->second.keyed ? std::optional(found->second.delivery)
                                                          : std::nullopt;
}

hold_manager::key_state node_agent::state_of(std::uint32_t key, instant now) const {
    const std::uint64_t hash = ordered_key_hash(key);
    if (delivery() == hold_delivery::by_call && m_lease.lease_valid(now) &&
        m_caller.holds(key, now)) {
        return hold_manager::key_state::held;
    }
    return m_holds.state_of(hash, m_lease, now);
}

instant node_agent::may_hold_until() const {
    const bool by_call = delivery() == hold_delivery::by_call;
    return by_call ? std::max(m_holds.may_hold_until(), m_caller.may_hold_until())
                   : m_holds.may_hold_until();
}

/// A node that is started again while its target lives on would not know it until its next
/// heartbeat: one and a half seconds in which keys that the target still holds are not served.
void node_agent::look_for_target() {
    m_looked = true;
    if (m_options.target_address.empty()) {
        return;
    }
    m_probe(m_options.target_address, [this](const target_health &found) {
        const moment at = m_last_told;
        if (found.name.empty()) {
            return;
        }
        assume_target(found.name, at);
        if (m_assumed && found.cold_left) {
            m_cold.record_stated(*found.cold_left, at.now);
            update_cold_limit(at.now);
        }
    });
}

// ---- cold targets ----

/// Nullopt if the target's service sets no limit.
std::optional<rate_limit::bucket> node_agent::cold_bucket() const {
    const auto &services = m_lease.routes().services;
    const auto found = m_target ? services.find(m_target->service) : services.end();
    return found == services.end() ? std::nullopt
                                   : cold_start_bucket({.per_second = found->second.cold_rate,
                                                        .overrun = m_options.cold_overrun,
                                                        .slack = m_options.cold_slack});
}

void node_agent::update_cold_limit(instant now) {
    const auto limit = target_cold(now) ? cold_bucket() : std::nullopt;
    if (limit == m_queue.cold_limit()) {
        return;
    }
    m_queue.set_cold_limit(limit, now);
    log_event(log_level::info, "target_cold",
              {{"target", m_target ? m_target->name : std::string()},
               {"cold", limit.has_value()},
               {"stated", !m_cold.unknown(now)},
               {"per_second", limit ? limit->per_second : 0}});
}

void node_agent::ask_whether_cold(instant now) {
    const bool evacuated = m_evacuated_at.count(m_options.node.failure_domain) != 0;
    if (!m_target || evacuated || !m_cold.unknown(now) ||
        now < m_cold_asked + cold_question_interval || !cold_bucket()) {
        return;
    }
    m_cold_asked = now;
    m_probe(m_target->address, [this](const target_health &found) {
        const instant at = m_last_told.now;
        if (m_target && found.name == m_target->name && found.cold_left) {
            m_cold.record_stated(*found.cold_left, at);
            update_cold_limit(at);
        }
    });
}

void node_agent::target_disconnected(instant now) {
    m_cold.record_unknown();
    update_cold_limit(now);
}

/// What the map says of the target may be out of date: it may have lost its keys, and refuses their
/// requests then, or be leaving. Its heartbeat corrects that, or its silence.
void node_agent::assume_target(const std::string &name, moment at) {
    const auto &targets = m_lease.map().targets();
    const auto known = std::find_if(targets.begin(), targets.end(), [&](const auto &item) {
        return item.second.name == name && item.second.address == m_options.node.self &&
               item.second.phase == target_phase::serving;
    });
    if (m_target || m_stopping || known == targets.end() || m_lease_kept_until != instant{} ||
        m_ended.has_ended_recently(name, at.now)) {
        return;
    }
    log_event(log_level::info, "target_assumed", {{"target", name}});
    m_target = target_heartbeat{.name = name,
                                .address = m_options.target_address,
                                .service = known->second.service,
                                .slots = known->second.slots};
    m_assumed = true;
    m_life_known = false;
    m_beat_at = at.now;
    m_holds.assume_until(m_inherited_until);
    m_queue.set_limit(std::max<std::uint32_t>(m_target->slots, 1));
    announce(at);
    update_cold_limit(at.now);
}

/// An earlier process of this node may have granted a hold up to the moment before it ended. Giving
/// the lease up sooner would let others be given keys that the target still holds.
void node_agent::note_start(instant now) {
    if (m_inherited_until == instant{}) {
        m_inherited_until = now + m_options.node.lease.node_length();
        m_caller.start(now);
    }
}

void node_agent::note_time(moment at) {
    if (m_last_told.now < at.now) {
        m_last_told = at;
    }
}

void node_agent::tick(moment at) {
    note_time(at);
    note_start(at.now);
    if (std::exchange(m_last_tick, at.now) + node_stall < at.now) {
        m_cold.record_unknown();
    }
    update_cold_limit(at.now);
    ask_whether_cold(at.now);
    decide_waiting(at.now, ready());
    // Without its number the target that is gone would be registered anew.
    const bool lost = m_lease.number() == no_target;
    if (m_lease_kept_until != instant{} && (m_lease_kept_until <= at.now || lost)) {
        m_lease_kept_until = {};
        m_lease.give_up(at);
    }
    take_unjudged(at.now);
    if (!m_target && !m_looked && ready()) {
        look_for_target();
    }
    if (m_target && m_assumed && m_beat_at + m_options.heartbeat_interval * 2 < at.now) {
        m_assumed = false; // it may have left meanwhile, or be cut off
        if (!keyed()) {
            drop_target("no heartbeat", false, at);
        }
    }
    if (m_target) {
        const bool silent = m_beat_at + m_options.heartbeat_interval * missed_heartbeats < at.now;
        // A target that is silent, or has said that it leaves, may still hold its keys: the lease
        // is given up only when that has ended, since from then on they may go to another.
        const bool holds = keyed() && at.now < may_hold_until();
        const bool missed = m_beat_at + m_options.heartbeat_interval * 2 < at.now;
        // Its keys get higher tokens with its next registration.
        const bool stuck = m_caller.token_rejected(at.now);
        if (!holds &&
            (m_left || silent || stuck || (keyed() && missed && may_hold_until() != instant{}))) {
            // One that fell silent may only have been cut off or paused, and may report again.
            const char *why = m_left ? "left" : stuck ? "token refused" : "silent";
            drop_target(why, m_left, at);
        } else if (!m_lease.announcement()) {
            announce(at); // an earlier registration had to end first
        }
    }
    if (m_crashes.has_unsent_report(at.now)) {
        m_lease.renew_at_next_tick();
    }
    std::vector<outgoing> messages;
    m_lease.tick(
        at, [this](renew_request &request, instant now) { fill_report(request, now); }, messages);
    for (const outgoing &item : messages) {
        m_send(item);
    }
    answer_heartbeat_if_due(at.now);
}

void node_agent::announce(moment at) {
    if (m_stopping && !keyed()) {
        return;
    }
    m_lease.announce(
        {.name = m_target->name,
         .service = m_target->service,
         .slots = m_target->slots,
         .connections = m_target->slots,
         .checks_tokens = true,
         .draining = target_leaving(),
         .incarnation = m_life_known ? incarnation_id(m_target->life()) : any_incarnation},
        at);
}

void node_agent::receive(const node_address &from, const message &body, moment at) {
    if (const auto *reply = std::get_if<renew_reply>(&body)) {
        m_crashes.recorded(reply->crashes_recorded);
        follow(m_lease.receive(from, *reply, at), at.now);
        answer_heartbeat_if_due(at.now);
    } else if (const auto *update = std::get_if<map_update>(&body)) {
        follow(m_lease.receive(*update), at.now);
        answer_heartbeat_if_due(at.now);
    }
}

/// Requests for keys of an evacuated domain are served for a while, in which the keys move. A
/// process that learns of an evacuation with its first table can't tell how long ago it began.
void node_agent::follow_evacuations(instant now) {
    const std::set<std::string> &evacuated = m_lease.evacuated();
    const std::string &own = m_options.node.failure_domain;
    const bool own_before = m_evacuated_at.count(own) != 0;
    std::erase_if(m_evacuated_at,
                  [&](const auto &item) { return evacuated.count(item.first) == 0; });
    for (const std::string &domain : evacuated) {
        m_evacuated_at.try_emplace(domain, m_evacuations_known ? now : instant{});
    }
    if (own_before && m_evacuated_at.count(own) == 0) {
        m_cold.record_unknown(); // a target without requests may have become cold
        update_cold_limit(now);
    }
    log_event(log_level::info, "evacuations_in_force", {{"failure_domains", evacuated}});
}

bool node_agent::evacuation_in_force(const std::string &domain, instant now) const {
    const auto found = m_evacuated_at.find(domain);
    return found != m_evacuated_at.end() && now >= found->second + m_options.evacuation_grace;
}

bool node_agent::all_evacuated(const std::string &service) const {
    return m_evacuated_services.count(service) != 0;
}

void node_agent::index_targets() {
    m_serving.clear();
    m_evacuated_services.clear();
    for (const auto &[number, target] : m_lease.map().targets()) {
        if (target.phase != target_phase::serving) {
            continue;
        }
        if (m_evacuated_at.count(target.failure_domain) == 0) {
            m_serving[target.service].push_back(&target);
        } else {
            m_evacuated_services.insert(target.service);
        }
    }
    for (const auto &[service, targets] : m_serving) {
        m_evacuated_services.erase(service);
    }
}

void node_agent::follow(const lease_client::change &changed, instant now) {
    if (changed.evacuations) {
        follow_evacuations(now);
    }
    m_evacuations_known = m_evacuations_known || changed.routes;
    if (changed.routes) {
        m_index = route_index(m_lease.routes());
        log_event(
            log_level::info, "routes_in_force",
            {{"version", m_lease.routes().version}, {"routes", m_lease.routes().routes.size()}});
    }
    if (!changed.unreadable_routes.empty()) {
        log_event(log_level::error, "routes_unreadable",
                  {{"version", m_lease.routes().version}, {"reason", changed.unreadable_routes}});
    }
    if (changed.registration) {
        m_holds.begin_registration(); // requests under the new number have to wait for its grants
        m_caller.begin_registration();
        log_event(
            log_level::info, "registration",
            {{"number", m_lease.number()}, {"target", m_target ? m_target->name : std::string()}});
    }
    if (changed.map || changed.evacuations) {
        index_targets();
    }
    if (changed.suspects) {
        const suspect_list &known = m_lease.suspects();
        log_event(log_level::info, "suspects_known",
                  {{"version", known.version()},
                   {"suspects", known.size()},
                   {"quarantined", known.quarantined()}});
    }
    if (m_on_change && (changed.map || changed.routes || changed.registration || changed.suspects ||
                        changed.evacuations)) {
        m_on_change();
    }
}

const std::vector<const target_route *> &node_agent::serving(const std::string &service) const {
    static const std::vector<const target_route *> none;
    const auto found = m_serving.find(service);
    return found == m_serving.end() ? none : found->second;
}

// ---- the target ----

void node_agent::heartbeat(const target_heartbeat &beat, moment at, heartbeat_answer answer) {
    note_time(at);
    m_unjudged.reset();
    if (!accept_heartbeat(beat, at) || delivery() != hold_delivery::by_heartbeat) {
        answer({});
        return;
    }
    if (m_unanswered) {
        std::exchange(m_unanswered, nullptr)({});
    }
    m_unanswered = std::move(answer);
    m_holds.note(beat.report, m_lease, at.now < m_inherited_until);
    if (m_holds.has_unreported_release()) {
        m_holds.mark_releases_reported();
        m_lease.renew_at_next_tick();
    }
    m_heartbeat_at = at.now;
    answer_heartbeat_if_due(at.now);
}

/// Without a lease nothing can be held, and keys that are on their way here would wait for the next
/// heartbeat: for both the answer waits a little. The report counts at once, whenever the answer
/// goes.
void node_agent::answer_heartbeat_if_due(instant now) {
    if (!m_unanswered) {
        return;
    }
    const bool waits = !m_lease.lease_valid(now) || m_holds.expects_keys(m_lease);
    const duration keys_wait =
        std::min(longest_keys_wait, m_options.heartbeat_interval + keys_wait_over_interval);
    // One that leaves is given nothing new, and has to hear soon that its word has come.
    const bool leaves = m_target && target_leaving();
    if (waits && now < m_heartbeat_at + (leaves ? leaving_wait : keys_wait)) {
        return;
    }
    answer_heartbeat(now);
}

void node_agent::answer_heartbeat(instant now) {
    std::exchange(m_unanswered, nullptr)(m_holds.grant(m_lease, m_heartbeat_at, now));
    if (m_on_change) {
        m_on_change();
    }
}

void node_agent::when_routes_known(instant now, std::function<void()> decide) {
    if (m_waiting_calls.size() >= most_waiting_calls) {
        decide();
        return;
    }
    m_waiting_calls.push_back({now + longest_keys_wait, std::move(decide)});
}

void node_agent::decide_waiting(instant now, bool all) {
    std::vector<waiting_call> waiting = std::exchange(m_waiting_calls, {});
    for (waiting_call &call : waiting) {
        if (all || call.until <= now) {
            call.decide();
        } else {
            m_waiting_calls.push_back(std::move(call));
        }
    }
}

void node_agent::keep_unjudged(const target_heartbeat &beat, moment at) {
    m_unjudged = unjudged_heartbeat{.beat = beat, .at = at};
}

void node_agent::take_unjudged(instant now) {
    if (!m_unjudged || !ready() || m_lease_kept_until != instant{}) {
        return;
    }
    const unjudged_heartbeat kept = *std::exchange(m_unjudged, std::nullopt);
    // By then a target that lives has called again.
    const bool fresh = now < kept.at.now + m_options.heartbeat_interval * 2;
    if (fresh && !m_target) {
        accept_heartbeat(kept.beat, kept.at);
    }
}

void node_agent::begin_stop(moment at) {
    m_stopping = true;
    if (m_target && !keyed()) {
        m_lease.give_up(at);
    }
}

/// A target with keys that is registered at this node under another name; null if there is none.
/// The leader ends its registration for one that is announced in its place.
const target_route *node_agent::registered_before(const std::string &name) const {
    const auto &targets = m_lease.map().targets();
    const auto found = std::find_if(targets.begin(), targets.end(), [&](const auto &item) {
        const auto service = m_lease.routes().services.find(item.second.service);
        return item.second.address == m_options.node.self && item.second.name != name &&
               item.second.phase != target_phase::gone &&
               service != m_lease.routes().services.end() && service->second.keyed;
    });
    return found == targets.end() ? nullptr : &found->second;
}

/// False if the heartbeat says nothing about the target as it is now.
bool node_agent::accept_heartbeat(const target_heartbeat &beat, moment at) {
    note_start(at.now);
    if (judge(beat, at.now) != call_fault::none || m_ended.has_ended(beat.life(), at.now)) {
        return false;
    }
    if (m_target && m_target->name != beat.name) {
        check_identity(beat);
        return false;
    }
    if (m_target && m_life_known && m_target->life() != beat.life()) {
        drop_for_successor("new life", at);
    }
    if (m_lease_kept_until != instant{}) {
        keep_unjudged(beat, at); // announced now, it would end the registration of the one before
        return false;
    }
    const bool inherits = m_last_told.now < m_inherited_until; // a kept report is judged later
    if (!m_target && inherits && registered_before(beat.name) != nullptr) {
        keep_unjudged(beat, at); // it may be a late call of a target before the one that is here
        check_identity(beat);
        return false;
    }
    if (m_target && beat.sequence < m_target->sequence) {
        return false; // overtaken by a later one
    }
    if (m_left) {
        return false;
    }
    const bool was_draining = m_target && target_leaving();
    if (!m_target) {
        adopt(beat, at);
    }
    if (!m_target || !m_life_known) {
        m_found_at = at.now;
    }
    m_assumed = false;
    m_life_known = true;
    m_target = beat;
    m_beat_at = at.now;
    if (beat.draining && !was_draining) {
        m_draining_since = at.now;
        log_event(log_level::info, "target_draining", {{"target", beat.name}});
    }
    m_queue.set_limit(std::max<std::uint32_t>(beat.slots, 1));
    m_cold.record_stated(beat.cold_left, at.now);
    update_cold_limit(at.now);
    announce(at);
    return true;
}

void node_agent::target_names_limit(std::optional<double> per_second, std::uint64_t life,
                                    instant now) {
    if (!m_target || incarnation_id(m_target->life()) != life || per_second == m_queue.rate()) {
        return;
    }
    const bool begins_or_ends = per_second.has_value() != m_queue.rate().has_value();
    m_queue.set_rate(per_second, now);
    if (begins_or_ends || m_limit_told + limit_told_interval < now) {
        m_limit_told = now;
        log_event(log_level::info, "target_limit",
                  {{"target", m_target->name},
                   {"per_second", per_second.value_or(0)},
                   {"named", per_second.has_value()}});
    }
}

void node_agent::target_says_leaving(std::uint64_t life, moment at) {
    if (!m_target || m_draining_since != instant{} || incarnation_id(m_target->life()) != life) {
        return;
    }
    m_draining_since = at.now;
    log_event(log_level::info, "target_draining",
              {{"target", m_target->name}, {"told", "with an answer"}});
    announce(at);
}

void node_agent::adopt(const target_heartbeat &beat, moment at) {
    log_event(log_level::info, "target_found",
              {{"target", beat.name},
               {"born", beat.born.value_or(0)},
               {"address", beat.address},
               {"service", beat.service}});
    m_holds.reset();
    m_caller.reset();
    if (at.now < m_inherited_until) {
        m_holds.assume_until(m_inherited_until);
    }
    m_draining_since = {};
    m_left = false;
    m_queue.set_rate(std::nullopt, at.now);
    m_cold.record_unknown();
}

/// Another target reports from beside this node. Either it was started in place of the one known,
/// or this is a late heartbeat of one that ended before: only the address itself can tell which.
void node_agent::check_identity(const target_heartbeat &beat) {
    if (!m_probing.empty() || m_last_tick < m_probed_at + identity_check_interval) {
        return;
    }
    m_probing = beat.name;
    m_probed_at = m_last_tick;
    const auto asked_beside =
        m_target ? std::optional(m_target->life()) : std::optional<target_incarnation>();
    const std::string &usual = m_options.target_address;
    const std::string address =
        m_target ? m_target->address : (usual.empty() ? beat.address : usual);
    m_probe(address, [this, name = beat.name, asked_beside](const target_health &found) {
        m_probing.clear();
        log_event(log_level::info, "target_checked", {{"reported", name}, {"found", found.name}});
        if (found.name != name) {
            if (!m_target && !found.name.empty() && m_unjudged && m_unjudged->beat.name == name) {
                m_unjudged.reset(); // of one that has ended
            }
            return;
        }
        end_inherited_holds(name);
        // A late answer says nothing of a target that came after the question.
        if (m_target && m_target->name != name && m_target->life() == asked_beside) {
            drop_for_successor("replaced", m_last_told);
        }
    });
}

/// The target of that name listens at the address: the one that an earlier process of this node
/// knew has ended. Its calls went to the address, so the one that is here may have taken some.
void node_agent::end_inherited_holds(const std::string &name) {
    const target_route *const before = registered_before(name);
    const auto &targets = m_lease.map().targets();
    const bool registered = std::any_of(targets.begin(), targets.end(), [&](const auto &item) {
        return item.second.address == m_options.node.self && item.second.name == name;
    });
    if (before != nullptr && !registered &&
        m_lease.routes().services.at(before->service).delivery != hold_delivery::by_call) {
        m_inherited_until = std::min(m_inherited_until, m_last_tick);
    }
}

/// Another process has taken the place of the target. What the target was granted with answers to
/// its heartbeats has ended with it. Calls go to an address, so the other one may have taken some.
void node_agent::drop_for_successor(const char *why, moment at) {
    m_holds.reset();
    drop_target(why, true, at);
}

/// The lease is given up once the holds that the target's address was granted have run out.
void node_agent::drop_target(const char *why, bool ended, moment at) {
    if (!m_target) {
        return;
    }
    log_event(log_level::info, "target_gone",
              {{"target", m_target->name},
               {"born", m_target->born.value_or(0)},
               {"cause", why},
               {"in_flight", m_queue.in_flight()}});
    if (ended && m_life_known) {
        m_ended.note(m_target->life(), at.now);
        if (m_draining_since == instant{}) {
            m_crashes.note_end(m_target->name, incarnation_id(m_target->life()), at.now);
        }
    }
    const std::string address = m_target->address;
    const instant held_until = keyed() ? may_hold_until() : instant{};
    m_target.reset();
    m_cold.record_unknown();
    m_key_loads.clear();
    if (m_unanswered) {
        std::exchange(m_unanswered, nullptr)({}); // what is granted from now on is another's
    }
    m_assumed = false;
    m_holds.reset();
    m_caller.reset();
    m_left = false;
    m_draining_since = {};
    if (at.now < held_until) {
        m_lease_kept_until = held_until;
        log_event(
            log_level::info, "lease_kept",
            {{"cause", why},
             {"ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(held_until - at.now).count()}});
    } else {
        m_lease.give_up(at);
    }
    if (m_on_target_gone) {
        m_on_target_gone(address);
    }
}

bool node_agent::lives_told_apart(const std::string &name) const {
    const bool present = m_target && m_target->name == name && m_target->born;
    return present || m_ended.has_known_start(name);
}

call_fault node_agent::judge(const target_incarnation &life, instant now) const {
    if (!life.born) {
        return lives_told_apart(life.name) ? call_fault::born_missing : call_fault::none;
    }
    if (m_ended.has_ended(life, now)) {
        return call_fault::ended_life;
    }
    const bool earlier = m_target && m_target->name == life.name && life.born < m_target->born;
    return earlier ? call_fault::earlier_life : call_fault::none;
}

call_fault node_agent::judge(const target_heartbeat &beat, instant now) const {
    if (m_lease.routes().services.count(beat.service) == 0) {
        return m_lease.routes_trusted(now) ? call_fault::unknown_service
                                           : call_fault::unsure_of_service;
    }
    return judge(beat.life(), now);
}

call_fault node_agent::target_leaves(const target_incarnation &life, moment at) {
    const call_fault fault = judge(life, at.now);
    if (fault != call_fault::none) {
        return fault;
    }
    const bool present = m_target && m_target->name == life.name;
    if (present && !m_life_known && life.born) {
        // The leader knows which life is registered, so a late call of an earlier one ends nothing.
        m_target->born = life.born;
        m_life_known = true;
    }
    if (present && (!m_life_known || m_target->life() == life)) {
        leave(at);
        return call_fault::none;
    }
    if (present) {
        // The first that is heard of a later life is that it leaves.
        drop_for_successor("new life", at);
    }
    if (!m_target) {
        note_farewell(life, at.now);
    }
    return call_fault::none;
}

void node_agent::target_leaves(const std::string &name, moment at) {
    if (m_target && m_target->name == name) {
        leave(at);
    } else if (!m_target) {
        note_farewell({.name = name}, at.now);
    }
}

/// This node was started again and has not heard of the target yet. It says nothing more, so taking
/// it up later, by the map, would give it work after its farewell was acknowledged.
void node_agent::note_farewell(const target_incarnation &life, instant now) {
    log_event(log_level::info, "target_leaves", {{"target", life.name}, {"known", false}});
    if (m_unjudged && m_unjudged->beat.name == life.name) {
        m_unjudged.reset();
    }
    m_ended.note(life, now);
}

/// Precondition: there is a target.
void node_agent::leave(moment at) {
    if (m_left) {
        return;
    }
    log_event(log_level::info, "target_leaves", {{"target", m_target->name}});
    m_left = true;
    if (m_draining_since == instant{}) {
        m_draining_since = at.now;
    }
    announce(at);
}

void node_agent::target_refused(instant attempt_begun, moment at) {
    if (attempt_begun < m_found_at + reports_before_listening) {
        return; // it may have been made at the life before
    }
    m_inherited_until = std::min(m_inherited_until, attempt_begun);
    m_caller.note_no_listener(attempt_begun);
    if (m_heartbeat_at < attempt_begun) {
        m_holds.reset(); // granted to a process that has ended
    }
    drop_target("connection refused", true, at);
}

target_number node_agent::number() const {
    const bool own = m_target && m_lease.registered(m_target->name, m_target->service);
    return own ? m_lease.number() : no_target;
}

std::optional<error_kind> node_agent::misdirected(target_number sent_to) const {
    if (m_lease.number() == no_target) {
        return error_kind::not_ready;
    }
    if (number() == no_target) {
        return error_kind::target_unreachable; // the registration's target has gone
    }
    return number() == sent_to ? std::nullopt : std::optional(error_kind::not_owner);
}

std::optional<error_kind> node_agent::refusal(const hop_request &request, instant now) const {
    if (m_lease.suspects().is_quarantined(request.fingerprint)) {
        return error_kind::quarantined;
    }
    // A target of another service would run what no route leads to it.
    if (!m_target || m_target->service != request.service) {
        return error_kind::target_unreachable;
    }
    const std::string &domain = m_options.node.failure_domain;
    if (keyed() ? evacuation_in_force(domain, now) : m_evacuated_at.count(domain) != 0) {
        return error_kind::draining;
    }
    const bool leaving = m_draining_since != instant{};
    if (!keyed()) {
        return leaving ? std::optional(error_kind::draining) : std::nullopt;
    }
    if (!request.key) {
        // By the sender's routes the service has no keys, so it did not ask the caller for one.
        return error_kind::not_owner;
    }
    if (leaving && m_draining_since + leaving_work < now) {
        return error_kind::draining;
    }
    switch (state_of(*request.key, now)) {
    case hold_manager::key_state::held: return std::nullopt;
    case hold_manager::key_state::expected:
        // An assumed target was given its keys by an earlier life of this node, and checks itself.
        return m_assumed ? std::nullopt : std::optional(error_kind::no_owner);
    case hold_manager::key_state::moving: return error_kind::moving;
    case hold_manager::key_state::not_owned: break;
    }
    return error_kind::not_owner;
}

/// The table decides how keys are handed over; that the settings expect another way is told once.
void node_agent::tell_delivery(hold_delivery way) {
    m_delivery_told = way;
    if (way == hold_delivery::unknown) {
        log_event(log_level::error, "hold_delivery_unknown", {{"service", m_target->service}});
    } else if (way != m_options.expected_delivery) {
        log_event(log_level::warning, "hold_delivery_unexpected",
                  {{"service", m_target->service}, {"by_call", way == hold_delivery::by_call}});
    }
}

std::vector<hold_call> node_agent::due_hold_calls(instant now) {
    const auto way = delivery();
    if (way && way != m_delivery_told) {
        tell_delivery(*way);
    }
    if (way != hold_delivery::by_call || m_options.hold_format == nullptr) {
        return {};
    }
    std::vector<hold_call> calls = m_caller.due(m_lease, m_beat_at, now);
    if (m_holds.has_unreported_release()) {
        m_holds.mark_releases_reported();
        m_lease.renew_at_next_tick();
    }
    return calls;
}

bool node_agent::key_refused(std::uint32_t key, instant now) {
    m_caller.note_refused(key, now);
    return delivery() == hold_delivery::by_call;
}

void node_agent::hold_call_ended(std::uint64_t id, const hold_call_end &how, instant now) {
    m_caller.end(id, how, now);
    if (m_on_change) {
        m_on_change();
    }
}

target_load node_agent::load() const {
    return {.in_flight = m_queue.in_flight(),
            .waiting = static_cast<std::uint32_t>(m_queue.waiting()),
            .limit = m_queue.usable_slots(),
            .service_time = m_queue.mean_service_time(),
            .backlog = m_queue.backlog()};
}

/// What the target can do by the times it takes, or by the limit it names; nothing while it is
/// cold, or did too little to tell.
std::uint32_t node_agent::measured_capacity() {
    if (m_target && m_queue.rate()) {
        m_queue.discard_measurement();
        return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(m_queue.warm_capacity()));
    }
    const bool cold = m_queue.cold_limit() || (m_target && m_target->cold_left > duration{});
    if (!m_target || cold) {
        m_queue.discard_measurement();
        return 0;
    }
    return m_queue.take_measured_capacity();
}

/// Loads go out once an interval; releases with each renewal until the map shows that they are
/// known.
void node_agent::fill_report(renew_request &request, instant now) {
    m_holds.fill_report(request, m_lease);
    m_crashes.fill_report(request, m_lease.suspects(), now);
    if (m_loads_at + m_options.node.load_interval > now || m_lease.number() == no_target) {
        return;
    }
    const double seconds =
        std::chrono::duration<double>(now - std::exchange(m_loads_at, now)).count();
    request.capacity = measured_capacity();
    if (seconds > longest_load_interval) {
        m_key_loads.clear(); // counted before the target was registered
        return;
    }
    m_key_loads.report(request, m_lease.own_ranges(), m_queue.warm_capacity(), seconds);
}

} // namespace peppertack
