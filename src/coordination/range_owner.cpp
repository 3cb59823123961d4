#include "peppertack/coordination/range_owner.hpp"

#include "peppertack/coordination/planted_defects.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>
#include <cassert>

namespace peppertack {

namespace {

constexpr duration refusal_retry_delay = std::chrono::milliseconds(50);
constexpr std::size_t max_hot_keys_reported = 8;
constexpr std::size_t max_loads_reported = 64;
constexpr duration copy_retention = std::chrono::minutes(20);
constexpr duration ignored_lease_slack = std::chrono::hours(1);

bool runs_once(const caller_request &request) {
    return !request.repeatable && !request.idempotency_key.empty();
}

} // namespace

range_owner::range_owner(const node_options &options, lease_client &lease, node_effects &effects,
                         node_counters &counters, local_reply reply)
    : m_options(options), m_lease(lease), m_effects(effects), m_counters(counters),
      m_reply(std::move(reply)), m_memory(options.memory),
      m_standby({.resend_interval = options.resend_interval, .timeout = options.standby_timeout}) {}

// ---- accepting requests ----

caller_response range_owner::refusal(error_kind error) const {
    caller_response response{.result = outcome::not_run, .error = error};
    response.retry_after = refusal_retry_delay;
    return response;
}

const range_owner::own_range *range_owner::own_range_of(std::uint64_t hash) const {
    const auto after = std::upper_bound(
        m_own_ranges.begin(), m_own_ranges.end(), hash,
        [](std::uint64_t value, const own_range &range) { return value < range.record.first; });
    if (after == m_own_ranges.begin()) {
        return nullptr;
    }
    const own_range &range = *std::prev(after);
    return hash <= range.last ? &range : nullptr;
}

std::optional<caller_response> range_owner::check_owner(const served_request &request,
                                                        target_number owner, instant now) {
    const own_range *range = own_range_of(request.hash);
    const bool is_owner = range != nullptr && owner == m_number && m_lease.announcement() &&
                          request.request.service == m_lease.announcement()->service;
    if (!is_owner) {
        return refusal(error_kind::not_owner);
    }
    if (!m_lease.lease_valid(now)) {
        return refusal(error_kind::no_owner);
    }
    if (range->record.next != no_target || m_releases.count(range->record.first) != 0) {
        return refusal(error_kind::moving);
    }
    return std::nullopt;
}

bool range_owner::serves(std::uint64_t hash, instant now) const {
    const own_range *range = own_range_of(hash);
    return range != nullptr && m_lease.lease_valid(now) && range->record.next == no_target &&
           m_releases.count(range->record.first) == 0;
}

void range_owner::serve(const request_id &id, const std::optional<node_address> &from,
                        target_number owner, caller_request request, moment at) {
    if (m_by_id.count(id) != 0) {
        return; // duplicate delivery
    }
    served_request served{.id = id, .from = from, .request = std::move(request)};
    served.hash = key_hash(served.request.key);
    served.deadline = at.now + served.request.time_left;
    served.keyed = runs_once(served.request);
    const auto finished = m_finished.find(id);
    if (finished != m_finished.end() && !g_defects.ignore_tombstone) {
        if (finished->second.response) {
            reply(served, *finished->second.response, at);
        }
        return;
    }
    if (const std::optional<caller_response> refused = check_owner(served, owner, at.now)) {
        reply(served, *refused, at);
        return;
    }
    served.fingerprint = fingerprint_of(served.request);
    if (m_lease.suspects().is_quarantined(served.fingerprint)) {
        reply(served, refusal(error_kind::quarantined), at);
        return;
    }
    served.token = own_range_of(served.hash)->record.token;
    ++m_range_requests[own_range_of(served.hash)->record.first];
    m_hot_keys.count(served.hash);
    const std::uint64_t serial = m_next_serial++;
    m_by_id[id] = serial;
    const bool keyed = served.keyed;
    m_served.emplace(serial, std::move(served));
    if (keyed) {
        record_key(serial, at);
    } else {
        admit(serial, at);
    }
}

remembered_key range_owner::key_of(const served_request &request, key_phase phase,
                                   std::int64_t wall_ms) const {
    return {.service = request.request.service,
            .hash = request.hash,
            .idempotency_key = request.request.idempotency_key,
            .fingerprint = request.fingerprint,
            .phase = phase,
            .wall_ms = wall_ms,
            .response = {}};
}

/// Answers a request whose key is remembered. Returns true if no further handling is needed.
bool range_owner::check_memory(std::uint64_t serial, moment at) {
    served_request &served = m_served.at(serial);
    const remembered_key *known =
        m_memory.find(served.request.service, served.request.idempotency_key);
    if (known == nullptr) {
        return false;
    }
    if (known->fingerprint != served.fingerprint) {
        finish(serial, refusal(error_kind::idempotency_key_reused), at);
        return true;
    }
    ++m_counters.resends_answered;
    if (known->phase == key_phase::running) {
        served.state = phase::attached;
        return true;
    }
    if (known->phase == key_phase::answered) {
        finish(serial, known->response, at);
        return true;
    }
    finish(serial, {.result = outcome::unknown, .error = error_kind::target_lost}, at);
    return true;
}

bool range_owner::recall_pending(const own_range &range) const {
    if (range.record.memory != idempotency_state::fetch) {
        return false;
    }
    const auto found = m_recalls.find(range.record.first);
    return found == m_recalls.end() || found->second.step == recall_step::asking;
}

bool range_owner::memory_lost(const own_range &range) const {
    if (range.record.memory == idempotency_state::lost) {
        return true;
    }
    const auto found = m_recalls.find(range.record.first);
    return range.record.memory == idempotency_state::fetch && found != m_recalls.end() &&
           found->second.step == recall_step::lost;
}

/// Records the key of a request that may run only once, here and with the standby, before the
/// target receives it. The range's next owner can then distinguish a resend from a first attempt.
void range_owner::record_key(std::uint64_t serial, moment at) {
    served_request &served = m_served.at(serial);
    if (check_memory(serial, at)) {
        return;
    }
    const own_range *range = own_range_of(served.hash);
    if (range == nullptr || range->record.token != served.token) {
        finish(serial, refusal(error_kind::not_owner), at);
        return;
    }
    if (recall_pending(*range)) {
        served.state = phase::recalling;
        return;
    }
    if (memory_lost(*range) && !g_defects.rerun_forgotten) {
        // It may have run at the lost owner, so neither "not run" nor running it again is safe.
        finish(serial, {.result = outcome::unknown, .error = error_kind::memory_lost}, at);
        return;
    }
    const remembered_key key = key_of(served, key_phase::running, at.wall_ms);
    if (!m_memory.put(key)) {
        finish(serial, refusal(error_kind::overloaded), at);
        return;
    }
    served.state = phase::recording;
    if (!m_standby.add(key, standby_waiter{standby_waiter::kind::request, serial})) {
        admit(serial, at);
        return;
    }
    m_standby.step(m_memory, at.now, m_effects.messages);
}

void range_owner::admit(std::uint64_t serial, moment at) {
    served_request &served = m_served.at(serial);
    switch (m_admission.offer({serial, served.hash, served.deadline}, at.now)) {
    case admission::verdict::start: start(serial, at); return;
    case admission::verdict::queued: served.state = phase::queued; return;
    case admission::verdict::refused:
        ++m_counters.shed;
        caller_response response = refusal(error_kind::overloaded);
        response.retry_after = m_admission.retry_after();
        finish(serial, response, at);
        return;
    }
}

/// The last lease check before the target is called; all waiting is done by now.
void range_owner::start(std::uint64_t serial, moment at) {
    served_request &served = m_served.at(serial);
    const own_range *range = own_range_of(served.hash);
    if (!m_lease.lease_valid(at.now) || range == nullptr || range->record.token != served.token) {
        m_admission.finish(m_admission.service_time());
        finish(serial, refusal(error_kind::no_owner), at);
        return;
    }
    if (m_lease.suspects().is_quarantined(served.fingerprint)) {
        m_admission.finish(m_admission.service_time());
        finish(serial, refusal(error_kind::quarantined), at);
        return;
    }
    served.state = phase::running;
    served.registration = m_number;
    served.started = at.now;
    instant not_after = std::min(m_lease.lease_until(), served.deadline);
    if (g_defects.ignore_lease_before_write) {
        not_after = served.deadline + ignored_lease_slack;
    }
    target_call call{.call = serial,
                     .request = served.request,
                     .token = served.token,
                     .not_after = not_after,
                     .deadline = served.deadline};
    call.request.time_left = served.deadline - at.now;
    m_effects.calls.push_back(std::move(call));
}

void range_owner::start_queued(moment at) {
    std::vector<std::uint64_t> expired;
    while (const std::optional<std::uint64_t> serial = m_admission.next(at.now, expired)) {
        start(*serial, at);
    }
    for (const std::uint64_t serial : expired) {
        finish(serial, refusal(error_kind::deadline_before_target), at);
    }
}

// ---- ending requests ----

void range_owner::call_finished(std::uint64_t call, call_result result, moment at) {
    const auto found = m_served.find(call);
    if (found == m_served.end() || found->second.state != phase::running) {
        return;
    }
    served_request &served = found->second;
    m_admission.finish(at.now - served.started);
    caller_response response;
    if (result.result == call_result::kind::answered) {
        m_crashes.note_answered(served.fingerprint, served.registration, m_lease.suspects(),
                                at.now);
        response.result = outcome::ran;
        response.status = result.status;
        response.headers = std::move(result.headers);
        response.body = std::move(result.body);
    } else if (result.result == call_result::kind::not_sent) {
        response = refusal(error_kind::target_unreachable);
    } else {
        m_crashes.note_unanswered(served.fingerprint, served.registration, at.now);
        response.result = outcome::unknown;
        response.error =
            at.now >= served.deadline ? error_kind::deadline_after_target : error_kind::target_lost;
    }
    finish(call, std::move(response), at);
    start_queued(at);
}

void range_owner::finish(std::uint64_t serial, caller_response response, moment at) {
    const auto found = m_served.find(serial);
    assert(found != m_served.end());
    const served_request served = std::move(found->second);
    m_served.erase(found);
    m_by_id.erase(served.id);
    if (m_lease.announcement()) {
        response.owner = m_lease.announcement()->name;
    }
    response.owner_address = m_options.self;
    response.token = served.token;
    const bool recorded =
        served.keyed && served.state != phase::attached && served.state != phase::recalling;
    if (recorded) {
        record_outcome(served, response, at);
    }
    reply(served, response, at);
    if (recorded) {
        finish_attached(served, response, at);
    }
}

void range_owner::record_outcome(const served_request &request, const caller_response &response,
                                 moment at) {
    const remembered_key *known =
        m_memory.find(request.request.service, request.request.idempotency_key);
    if (known == nullptr || known->phase != key_phase::running ||
        known->fingerprint != request.fingerprint) {
        return; // answered from memory
    }
    if (response.result == outcome::not_run) {
        erase_key(request);
        return;
    }
    remembered_key key =
        key_of(request, response.result == outcome::ran ? key_phase::answered : key_phase::unknown,
               at.wall_ms);
    key.response = response;
    m_memory.put(key);
    m_standby.add(key, std::nullopt);
}

void range_owner::erase_key(const served_request &request) {
    m_memory.erase(request.request.service, request.request.idempotency_key);
    m_standby.add(key_of(request, key_phase::erased, 0), std::nullopt);
}

void range_owner::finish_attached(const served_request &request, const caller_response &response,
                                  moment at) {
    std::vector<std::uint64_t> attached;
    for (const auto &[serial, other] : m_served) {
        if (other.state == phase::attached && other.request.service == request.request.service &&
            other.request.idempotency_key == request.request.idempotency_key) {
            attached.push_back(serial);
        }
    }
    std::sort(attached.begin(), attached.end());
    for (const std::uint64_t serial : attached) {
        finish(serial, response, at);
    }
}

void range_owner::reply(const served_request &request, caller_response response, moment at) {
    if (!request.from) {
        m_reply(request.id, std::move(response), at);
        return;
    }
    keep_finished(request, response, at.now);
    m_effects.messages.push_back({*request.from, forward_reply{request.id, std::move(response)}});
}

/// Keeps answers for a while in case the connection that carries them is broken.
void range_owner::keep_finished(const served_request &request, const caller_response &response,
                                instant now) {
    const auto [place, added] = m_finished.try_emplace(request.id);
    if (!added) {
        return;
    }
    finished_request &kept = place->second;
    kept.at = now;
    kept.bytes = response.body ? response.body->size() : 0;
    if (m_finished_bytes + kept.bytes > m_options.fate_bytes) {
        kept.dropped = true;
        kept.bytes = 0;
    } else {
        kept.response = response;
    }
    m_finished_bytes += kept.bytes;
    m_finished_order.push_back(request.id);
}

void range_owner::expire_finished(instant now) {
    while (!m_finished_order.empty()) {
        const auto found = m_finished.find(m_finished_order.front());
        if (found->second.at + m_options.fate_retention > now) {
            return;
        }
        m_finished_bytes -= found->second.bytes;
        m_finished.erase(found);
        m_finished_order.pop_front();
    }
}

void range_owner::cancel(const request_id &id, moment at) {
    const auto found = m_by_id.find(id);
    if (found == m_by_id.end()) {
        return;
    }
    const std::uint64_t serial = found->second;
    if (m_served.at(serial).state == phase::running) {
        m_effects.cancelled_calls.push_back(serial);
        return;
    }
    m_admission.withdraw(serial);
    finish(serial, refusal(error_kind::cancelled), at);
}

void range_owner::refuse_waiting(error_kind error, moment at) {
    std::vector<std::uint64_t> waiting;
    for (const auto &[serial, served] : m_served) {
        if (served.state != phase::running) {
            waiting.push_back(serial);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    m_admission.withdraw_all();
    for (const std::uint64_t serial : waiting) {
        if (m_served.count(serial) != 0) {
            finish(serial, refusal(error), at);
        }
    }
}

void range_owner::expire_waiting(moment at) {
    std::vector<std::uint64_t> expired;
    for (const auto &[serial, served] : m_served) {
        if (served.deadline <= at.now) {
            expired.push_back(serial);
        }
    }
    std::sort(expired.begin(), expired.end());
    for (const std::uint64_t serial : expired) {
        const auto found = m_served.find(serial);
        if (found == m_served.end()) {
            continue;
        }
        if (found->second.state == phase::running) {
            m_effects.cancelled_calls.push_back(serial);
            continue;
        }
        if (found->second.state == phase::attached) {
            // The first attempt is still running, so the outcome is unknown for this caller.
            finish(serial, {.result = outcome::unknown, .error = error_kind::deadline_after_target},
                   at);
            continue;
        }
        m_admission.withdraw(serial);
        finish(serial, refusal(error_kind::deadline_before_target), at);
    }
}

void range_owner::receive(const node_address &from, const fate_query &query, moment at) {
    fate_reply answer{.id = query.id, .fate = request_fate::never_seen, .response = {}};
    const auto finished = m_finished.find(query.id);
    if (m_by_id.count(query.id) != 0) {
        answer.fate = request_fate::running;
    } else if (finished != m_finished.end()) {
        if (finished->second.response) {
            answer.fate = request_fate::answered;
            answer.response = *finished->second.response;
        } else if (finished->second.dropped) {
            answer.fate = request_fate::forgotten;
        }
    } else if (query.owner != m_number || query.age > m_options.fate_retention / 2) {
        answer.fate = request_fate::forgotten;
    } else {
        // The request is barred: it is dropped if it still arrives, so the reply "never seen" stays
        // true.
        m_finished[query.id] = {.at = at.now};
        m_finished_order.push_back(query.id);
    }
    m_effects.messages.push_back({from, std::move(answer)});
}

// ---- standby copies and handed-over keys ----

void range_owner::receive(const node_address &from, const remember_request &request, moment at) {
    remember_reply answer{.sequence = request.sequence, .handover = request.handover};
    if (request.holder != m_number || m_number == no_target) {
        m_effects.messages.push_back({from, answer});
        return;
    }
    if (request.handover) {
        for (const remembered_key &key : request.keys) {
            m_memory.put(key);
        }
        const std::uint64_t id = m_next_sequence++;
        // A loss right after the handover must not lose the keys, so they count as held only once
        // this owner's standby holds them too.
        if (m_standby.add_all(request.keys, {standby_waiter::kind::handover, id})) {
            m_handovers_in[id] = {from, request.sequence};
            m_standby.step(m_memory, at.now, m_effects.messages);
            return;
        }
        answer.held = true;
        m_effects.messages.push_back({from, answer});
        return;
    }
    const auto found = m_copies.find(request.owner);
    const bool repeated =
        found != m_copies.end() && request.sequence <= found->second.last_sequence;
    const bool follows =
        found != m_copies.end() && request.sequence == found->second.last_sequence + 1;
    answer.held = repeated || follows || request.replace_all;
    if (answer.held && !repeated) {
        standby_copy &copy = m_copies.try_emplace(request.owner).first->second;
        if (request.replace_all) {
            copy.keys = idempotency_store(m_options.memory);
        }
        copy.last_sequence = request.sequence;
        copy.touched = at.now;
        for (const remembered_key &key : request.keys) {
            if (key.phase == key_phase::erased) {
                copy.keys.erase(key.service, key.idempotency_key);
            } else {
                answer.held = copy.keys.put(key) && answer.held;
            }
        }
    }
    m_effects.messages.push_back({from, answer});
}

void range_owner::receive(const node_address &, const remember_reply &reply, moment at) {
    if (!reply.handover) {
        release_waiters(m_standby.receive(reply), at);
        return;
    }
    for (auto &[first, state] : m_releases) {
        const bool answers = state.step == release_step::handing_over &&
                             state.sequence == reply.sequence && reply.held;
        if (answers) {
            state.step = release_step::released;
            ++m_counters.ranges_released;
            m_lease.renew_at_next_tick();
        }
    }
}

void range_owner::release_waiters(const std::vector<standby_waiter> &waiters, moment at) {
    for (const standby_waiter &waiter : waiters) {
        if (waiter.what == standby_waiter::kind::request) {
            const auto found = m_served.find(waiter.id);
            if (found != m_served.end() && found->second.state == phase::recording) {
                admit(waiter.id, at);
            }
        } else if (waiter.what == standby_waiter::kind::handover) {
            const auto found = m_handovers_in.find(waiter.id);
            if (found != m_handovers_in.end()) {
                m_effects.messages.push_back(
                    {found->second.from, remember_reply{.sequence = found->second.sequence,
                                                        .handover = true,
                                                        .held = true}});
                m_handovers_in.erase(found);
            }
        } else {
            const auto found = m_recalls.find(waiter.id);
            if (found != m_recalls.end() && found->second.step == recall_step::storing) {
                found->second.step = recall_step::done;
                m_lease.renew_at_next_tick();
            }
        }
    }
}

void range_owner::receive(const node_address &from, const recall_request &request, moment at) {
    recall_reply answer{.sequence = request.sequence};
    const auto found = m_copies.find(request.lost_owner);
    if (request.holder == m_number && m_number != no_target && found != m_copies.end()) {
        answer.held = true;
        answer.keys = found->second.keys.in_range(request.service, request.first, request.last);
        found->second.touched = at.now;
    }
    m_effects.messages.push_back({from, std::move(answer)});
}

void range_owner::receive(const node_address &, const recall_reply &reply, moment at) {
    for (auto &[first, state] : m_recalls) {
        if (state.sequence == reply.sequence && state.step == recall_step::asking) {
            if (reply.held) {
                store_recalled_keys(first, reply.keys, at);
            } else {
                state.step = recall_step::lost;
            }
            resume_recalling(at);
            return;
        }
    }
}

void range_owner::store_recalled_keys(std::uint64_t first, std::vector<remembered_key> keys,
                                      moment at) {
    for (remembered_key &key : keys) {
        if (key.phase == key_phase::running) {
            key.phase = key_phase::unknown; // sent to a target whose answer is lost
        }
        m_memory.put(key);
    }
    recall &state = m_recalls.at(first);
    state.step = recall_step::storing;
    if (!m_standby.add_all(keys, {standby_waiter::kind::restored, first})) {
        state.step = recall_step::done;
        m_lease.renew_at_next_tick();
    }
    m_standby.step(m_memory, at.now, m_effects.messages);
}

void range_owner::resume_recalling(moment at) {
    std::vector<std::uint64_t> waiting;
    for (const auto &[serial, served] : m_served) {
        if (served.state == phase::recalling) {
            waiting.push_back(serial);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const std::uint64_t serial : waiting) {
        if (m_served.count(serial) != 0) {
            record_key(serial, at);
        }
    }
}

void range_owner::step_recalls(moment at) {
    for (const own_range &range : m_own_ranges) {
        const range_record &record = range.record;
        if (record.memory != idempotency_state::fetch) {
            continue;
        }
        recall &state = m_recalls[record.first];
        if (state.token != record.token) {
            state = {.token = record.token};
        }
        if (state.step != recall_step::asking || state.sent + m_options.resend_interval > at.now) {
            continue;
        }
        state.sent = at.now;
        const recall_request request{.sequence = state.sequence = m_next_sequence++,
                                     .lost_owner = record.recover_of,
                                     .holder = record.recover_from,
                                     .service = m_lease.announcement()->service,
                                     .first = record.first,
                                     .last = range.last};
        const target_route *holder = m_lease.map().find_target(record.recover_from);
        if (record.recover_from == m_number) {
            const auto copy = m_copies.find(record.recover_of);
            if (copy == m_copies.end()) {
                state.step = recall_step::lost;
            } else {
                store_recalled_keys(
                    record.first,
                    copy->second.keys.in_range(request.service, request.first, request.last), at);
            }
            resume_recalling(at);
        } else if (holder != nullptr) {
            m_effects.messages.push_back({holder->address, request, true});
        }
    }
}

// ---- planned moves ----

bool range_owner::has_requests(const own_range &range) const {
    return std::any_of(m_served.begin(), m_served.end(), [&](const auto &item) {
        return item.second.hash >= range.record.first && item.second.hash <= range.last;
    });
}

void range_owner::step_releases(moment at) {
    for (const own_range &range : m_own_ranges) {
        const range_record &record = range.record;
        if (record.next == no_target) {
            continue;
        }
        release &state = m_releases[record.first];
        if (state.token != record.token || state.to != record.next) {
            state = {.token = record.token, .to = record.next};
        }
        // Keys that are still being fetched have to arrive before they can be handed over.
        const bool idle = g_defects.early_release || !has_requests(range);
        if (state.step == release_step::draining && idle && !recall_pending(range)) {
            hand_over(range, state, at);
        } else if (state.step == release_step::handing_over &&
                   state.sent + m_options.resend_interval <= at.now) {
            hand_over(range, state, at);
        }
    }
}

void range_owner::hand_over(const own_range &range, release &state, moment at) {
    const target_route *to = m_lease.map().find_target(state.to);
    if (to == nullptr || !m_lease.lease_valid(at.now)) {
        return;
    }
    if (state.sequence == 0) {
        state.sequence = m_next_sequence++;
    }
    state.step = release_step::handing_over;
    state.sent = at.now;
    remember_request request{
        .sequence = state.sequence, .owner = m_number, .holder = state.to, .handover = true};
    if (!g_defects.drop_handover_keys) {
        request.keys =
            m_memory.in_range(m_lease.announcement()->service, range.record.first, range.last);
    }
    m_effects.messages.push_back({to->address, std::move(request)});
}

// ---- following the control state ----

void range_owner::rebuild_own_ranges() {
    m_own_ranges.clear();
    const std::optional<target_announcement> &target = m_lease.announcement();
    const route_map::service_map *map =
        target ? m_lease.map().find_service(target->service) : nullptr;
    if (map == nullptr || m_number == no_target) {
        return;
    }
    for (std::size_t i = 0; i < map->ranges.size(); ++i) {
        if (map->ranges[i].owner == m_number) {
            m_own_ranges.push_back({map->ranges[i], map->last_hash(i)});
        }
    }
}

void range_owner::map_changed(moment at) {
    const std::vector<own_range> before = m_own_ranges;
    rebuild_own_ranges();
    std::erase_if(m_releases, [&](const auto &item) {
        const own_range *range = own_range_of(item.first);
        return range == nullptr || range->record.first != item.first ||
               range->record.token != item.second.token || range->record.next == no_target;
    });
    std::erase_if(m_recalls, [&](const auto &item) {
        const own_range *range = own_range_of(item.first);
        return range == nullptr || range->record.token != item.second.token ||
               range->record.memory != idempotency_state::fetch;
    });
    for (const own_range &range : before) {
        const own_range *still = own_range_of(range.record.first);
        if (still != nullptr && still->last >= range.last) {
            continue;
        }
        // A split range may be lost only in part, so each key is checked separately.
        for (const remembered_key &key :
             m_memory.in_range(m_lease.announcement() ? m_lease.announcement()->service : "",
                               range.record.first, range.last)) {
            if (own_range_of(key.hash) == nullptr) {
                m_memory.erase(key.service, key.idempotency_key);
            }
        }
    }
    follow_standby(at);
    resume_recalling(at);
    step_recalls(at);
    step_releases(at);
}

void range_owner::follow_standby(moment at) {
    const target_route *own = m_lease.map().find_target(m_number);
    if (own == nullptr) {
        return;
    }
    const target_route *standby = m_lease.map().find_target(own->standby);
    release_waiters(m_standby.follow(m_number, *own, standby == nullptr ? "" : standby->address),
                    at);
    m_standby.step(m_memory, at.now, m_effects.messages);
}

void range_owner::table_changed() {
    const std::optional<target_announcement> &target = m_lease.announcement();
    if (!target) {
        return;
    }
    admission::limits limits{.in_flight = target->slots};
    const table_row *row = m_lease.current_table().find(target->service, m_options.failure_domain);
    if (row != nullptr) {
        limits.in_flight = std::min(limits.in_flight, row->max_in_flight);
        limits.in_flight = std::min(limits.in_flight, row->max_connections);
        limits.queue = row->max_queue;
    }
    m_admission.set_limits(limits);
}

void range_owner::registration_changed(moment at) {
    stop_serving(at);
    m_number = m_lease.number();
    m_memory.clear();
    m_releases.clear();
    m_recalls.clear();
    m_copies.clear();
    m_handovers_in.clear();
    release_waiters(m_standby.reset(), at);
    table_changed();
    map_changed(at);
}

void range_owner::stop_serving(moment at) {
    refuse_waiting(error_kind::no_owner, at);
    for (const auto &[serial, served] : m_served) {
        m_effects.cancelled_calls.push_back(serial);
    }
}

void range_owner::target_ended(instant now) {
    const std::optional<target_announcement> &target = m_lease.announcement();
    if (target && m_number != no_target && !m_lease.draining()) {
        m_crashes.note_end(target->name, m_number, now);
    }
}

void range_owner::fill_report(renew_request &request, instant now) {
    m_crashes.fill_report(request, m_lease.suspects(), now);
    const std::optional<target_announcement> &target = m_lease.announcement();
    if (!target || m_number == no_target) {
        return;
    }
    for (const auto &[first, state] : m_releases) {
        if (state.step == release_step::released) {
            request.released.push_back({target->service, first, state.token, state.to});
        }
    }
    for (const auto &[first, state] : m_recalls) {
        if (state.step == recall_step::done) {
            request.restored.push_back({target->service, first, state.token});
        }
    }
    m_standby.report(request, now);
    if (m_loads_sent + m_options.load_interval > now) {
        return;
    }
    const double seconds =
        std::chrono::duration<double>(std::max(now - m_loads_sent, duration(1))).count();
    m_loads_sent = now;
    for (const own_range &range : m_own_ranges) {
        const auto count = m_range_requests.find(range.record.first);
        const double requests = count == m_range_requests.end() ? 0 : count->second;
        if (request.loads.size() < max_loads_reported) {
            request.loads.push_back(
                {range.record.first, static_cast<std::uint32_t>(requests / seconds)});
        }
    }
    m_range_requests.clear();
    request.hot_keys = m_hot_keys.take(max_hot_keys_reported);
    for (hot_key &key : request.hot_keys) {
        key.requests = static_cast<std::uint32_t>(key.requests / seconds);
    }
}

void range_owner::tick(moment at) {
    if (m_crashes.has_unsent_report(at.now)) {
        m_lease.renew_at_next_tick();
    }
    if (m_number != no_target && !m_lease.lease_valid(at.now) && !m_served.empty()) {
        // Any call written now could conflict with another owner's.
        ++m_counters.leases_lapsed;
        stop_serving(at);
    }
    expire_waiting(at);
    expire_finished(at.now);
    m_memory.expire(at.wall_ms);
    std::erase_if(m_copies, [&](const auto &item) {
        const target_route *owner = m_lease.map().find_target(item.first);
        const bool ended = owner == nullptr || owner->phase == target_phase::gone;
        return ended && item.second.touched + copy_retention < at.now;
    });
    step_recalls(at);
    step_releases(at);
    m_standby.step(m_memory, at.now, m_effects.messages);
}

} // namespace peppertack
