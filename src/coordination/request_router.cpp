#include "peppertack/coordination/request_router.hpp"

#include "peppertack/coordination/planted_defects.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>
#include <cassert>
#include <vector>

namespace peppertack {

namespace {

constexpr duration retry_after_no_owner = std::chrono::milliseconds(500);
constexpr duration retry_delay = std::chrono::milliseconds(20);

/// Whether the refusal only means that the range has another owner, none, or is being moved.
bool is_routing(error_kind error) {
    return error == error_kind::not_owner || error == error_kind::moving ||
           error == error_kind::no_owner;
}

} // namespace

request_router::request_router(const node_options &options, const lease_client &lease,
                               node_effects &effects, node_counters &counters)
    : m_options(options), m_lease(lease), m_effects(effects), m_counters(counters),
      m_budget(options.retries), m_random(options.seed) {}

void request_router::submit(std::uint64_t ticket, caller_request request, moment at) {
    ++m_counters.requests;
    m_budget.note_request();
    entry &value = m_entries[ticket];
    value.ticket = ticket;
    value.hash = key_hash(request.key);
    value.received = at.now;
    value.deadline = at.now + request.time_left;
    value.request = std::move(request);
    route(value, at);
}

request_router::entry *request_router::find(const request_id &id) {
    if (id.incarnation != m_options.incarnation) {
        return nullptr;
    }
    const auto ticket = m_by_id.find(id.sequence);
    if (ticket == m_by_id.end()) {
        return nullptr;
    }
    entry &value = m_entries.at(ticket->second);
    return value.id == id ? &value : nullptr;
}

caller_response request_router::refusal(error_kind error, const entry &value) const {
    caller_response response{.result = value.may_have_run ? outcome::unknown : outcome::not_run,
                             .error = error};
    response.retry_after = retry_after_no_owner;
    return response;
}

void request_router::route(entry &value, moment at) {
    if (at.now >= value.deadline) {
        finish(value, refusal(error_kind::deadline_before_target, value), at);
        return;
    }
    const suspect_list &suspects = m_lease.suspects();
    if (suspects.size() != 0 && suspects.is_quarantined(fingerprint_of(value.request))) {
        finish(value, refusal(error_kind::quarantined, value), at);
        return;
    }
    const route_map::service_map *service = m_lease.map().find_service(value.request.service);
    const bool listed =
        service != nullptr || m_lease.current_table().has_service(value.request.service);
    if (!listed && m_lease.map().version() != 0) {
        // A service may have been added that this node learns of when it reaches a voter again.
        const bool sure = m_lease.table_trusted(at.now);
        finish(value, refusal(sure ? error_kind::unknown_service : error_kind::no_owner, value),
               at);
        return;
    }
    const range_record *range = m_lease.map().find_range(value.request.service, value.hash);
    const target_route *target =
        range == nullptr ? nullptr : m_lease.map().find_target(range->owner);
    if (target == nullptr || target->phase == target_phase::gone) {
        wait(value, error_kind::no_owner, m_options.reroute_interval, at);
        return;
    }
    value.id = {m_options.incarnation, ++m_sequence};
    m_by_id[m_sequence] = value.ticket;
    value.owner = range->owner;
    value.token = range->token;
    value.address = target->address;
    value.sent = at.now;
    caller_request request = value.request;
    request.time_left = value.deadline - at.now;
    if (range->owner == m_lease.number()) {
        ++m_counters.local;
        value.state = phase::local;
        m_owner->serve(value.id, std::nullopt, value.owner, std::move(request), at);
        return;
    }
    ++m_counters.forwarded;
    value.state = phase::remote;
    value.probe_at = at.now + m_options.probe_after;
    m_effects.messages.push_back(
        {value.address, forward_request{value.id, value.owner, std::move(request)}});
}

void request_router::wait(entry &value, error_kind reason, duration pause, moment at) {
    if (value.received + m_options.owner_wait <= at.now) {
        finish(value, refusal(reason, value), at);
        return;
    }
    m_by_id.erase(value.id.sequence);
    value.state = phase::waiting;
    value.wait_reason = reason;
    value.retry_at = at.now + pause;
}

duration request_router::jittered(duration base) {
    std::uniform_int_distribution<duration::rep> spread(base.count() / 2, base.count() * 3 / 2);
    return duration(spread(m_random));
}

// ---- answers ----

void request_router::local_answer(const request_id &id, caller_response response, moment at) {
    if (entry *value = find(id)) {
        handle_answer(*value, std::move(response), at);
    }
}

void request_router::receive(const node_address &, const forward_reply &reply, moment at) {
    if (entry *value = find(reply.id)) {
        handle_answer(*value, reply.response, at);
    }
}

void request_router::handle_answer(entry &value, caller_response response, moment at) {
    if (response.result == outcome::ran) {
        finish(value, std::move(response), at);
        return;
    }
    if (response.result == outcome::unknown) {
        handle_unknown_outcome(value, std::move(response), at);
        return;
    }
    if (is_routing(response.error)) {
        wait(value, response.error, m_options.reroute_interval, at);
        return;
    }
    if (response.error == error_kind::target_unreachable) {
        retry_or_finish(value, std::move(response), at);
        return;
    }
    if (value.may_have_run) {
        response.result = outcome::unknown;
    }
    finish(value, std::move(response), at);
}

/// The request may have run, so it is resent only if it is repeatable. An idempotency key does not
/// help, since the owner has just reported that it does not know the outcome.
void request_router::handle_unknown_outcome(entry &value, caller_response response, moment at) {
    if (value.request.repeatable || g_defects.resend_unknown) {
        retry_or_finish(value, std::move(response), at);
        return;
    }
    finish(value, std::move(response), at);
}

void request_router::retry_or_finish(entry &value, caller_response response, moment at) {
    const bool in_time = at.now + retry_delay < value.deadline;
    const bool suspect = response.result == outcome::unknown &&
                         m_lease.suspects().suspects(fingerprint_of(value.request));
    if (!in_time || suspect || !m_budget.take()) {
        finish(value, std::move(response), at);
        return;
    }
    ++m_counters.retries;
    wait(value, response.error, jittered(retry_delay), at);
}

void request_router::finish(entry &value, caller_response response, moment) {
    if (response.owner.empty()) {
        const target_route *target = m_lease.map().find_target(value.owner);
        response.owner = target == nullptr ? "" : target->name;
        response.owner_address = value.address;
        response.token = value.token;
    }
    m_by_id.erase(value.id.sequence);
    m_effects.answers.push_back({value.ticket, std::move(response)});
    m_entries.erase(value.ticket);
}

// ---- unanswered requests ----

bool request_router::safe_to_resend(const entry &value) const {
    return value.request.repeatable || !value.request.idempotency_key.empty();
}

void request_router::probe(entry &value, moment at) {
    ++m_counters.probes;
    value.probe_at = at.now + m_options.probe_interval;
    m_effects.messages.push_back(
        {value.address, fate_query{value.id, value.owner, at.now - value.sent}, true});
}

void request_router::receive(const node_address &, const fate_reply &reply, moment at) {
    entry *value = find(reply.id);
    if (value == nullptr) {
        return;
    }
    switch (reply.fate) {
    case request_fate::running:
        return; // queried again after the interval, in case the answer gets lost
    case request_fate::answered: handle_answer(*value, reply.response, at); return;
    case request_fate::never_seen:
        // The owner rejects this id from now on, so the attempt did not run and never will.
        wait(*value, error_kind::owner_unreachable, m_options.reroute_interval, at);
        return;
    case request_fate::forgotten: handle_owner_loss(*value, at); return;
    }
}

void request_router::peer_down(const node_address &address, moment at) {
    for (auto &[ticket, value] : m_entries) {
        if (value.state == phase::remote && value.address == address) {
            value.probe_at = std::min(value.probe_at, at.now);
        }
    }
}

/// Called when the owner has ended or no longer knows the request, and no answer arrived.
void request_router::handle_owner_loss(entry &value, moment at) {
    value.may_have_run = true;
    if (safe_to_resend(value)) {
        // A new owner knows the key from the standby copy, or reports that it can't know.
        wait(value, error_kind::target_lost, m_options.reroute_interval, at);
        return;
    }
    finish(value, refusal(error_kind::target_lost, value), at);
}

void request_router::map_changed(moment at) {
    std::vector<std::uint64_t> due;
    for (auto &[ticket, value] : m_entries) {
        if (value.state == phase::waiting) {
            if (is_routing(value.wait_reason)) {
                due.push_back(ticket);
            }
        } else if (value.state == phase::remote) {
            const target_route *target = m_lease.map().find_target(value.owner);
            if (target == nullptr || target->phase == target_phase::gone) {
                due.push_back(ticket);
            }
        }
    }
    std::sort(due.begin(), due.end());
    for (const std::uint64_t ticket : due) {
        const auto found = m_entries.find(ticket);
        if (found == m_entries.end()) {
            continue;
        }
        if (found->second.state == phase::waiting) {
            route(found->second, at);
        } else {
            handle_owner_loss(found->second, at);
        }
    }
}

void request_router::tick(moment at) {
    std::vector<std::uint64_t> due;
    for (const auto &[ticket, value] : m_entries) {
        const bool is_due = value.deadline <= at.now ||
                            (value.state == phase::waiting && value.retry_at <= at.now) ||
                            (value.state == phase::remote && value.probe_at <= at.now);
        if (is_due) {
            due.push_back(ticket);
        }
    }
    std::sort(due.begin(), due.end());
    for (const std::uint64_t ticket : due) {
        const auto found = m_entries.find(ticket);
        if (found == m_entries.end()) {
            continue;
        }
        entry &value = found->second;
        if (value.state == phase::waiting) {
            route(value, at);
        } else if (value.deadline > at.now) {
            probe(value, at);
        } else if (value.state == phase::remote) {
            m_effects.messages.push_back({value.address, cancel_request{value.id}});
            value.may_have_run = true;
            finish(value, refusal(error_kind::deadline_after_target, value), at);
        }
        // A local request past its deadline is ended by `range_owner`, which knows its progress.
    }
}

} // namespace peppertack
