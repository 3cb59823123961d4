#include "peppertack/coordination/hold_call_scheduler.hpp"

#include "peppertack/coordination/planted_defects.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>
#include <set>

namespace peppertack {

namespace {

/// After two consecutive lost renewals there is time for a third, even within a short hold.
constexpr int renewals_in_hold = 4;

} // namespace

std::vector<hold_call> hold_call_scheduler::due(const lease_client &lease, instant last_heartbeat,
                                                instant now) {
    start(now);
    drop_ended_grants(now);
    update_wanted(lease);
    std::vector<hold_call> calls;
    add_releases(calls, lease, now);
    if (lease.lease_valid(now)) {
        add_grants(calls, last_heartbeat, now);
    }
    return calls;
}

void hold_call_scheduler::start(instant now) {
    if (m_previous_process_until == instant{}) {
        m_previous_process_until = now + m_options.previous_process_hold;
    }
}

/// Updates the wanted spans from the map. A span that was split, joined or moved becomes a new one;
/// grants of the old span stay in `m_granted`.
void hold_call_scheduler::update_wanted(const lease_client &lease) {
    std::map<span_key, wanted> next;
    for (const held_span &span : hold_manager::wanted_spans(lease)) {
        const span_key key{span.from, span.token};
        const auto known = m_wanted.find(key);
        const bool same = known != m_wanted.end() && known->second.span == span;
        next.emplace(key, same ? known->second : wanted{.span = span});
    }
    m_wanted = std::move(next);
}

void hold_call_scheduler::add_grants(std::vector<hold_call> &calls, instant last_heartbeat,
                                     instant now) {
    const bool silent =
        m_consecutive_lost_grants > 0 && last_heartbeat + m_options.heartbeat_timeout < now;
    if (silent || token_rejected(now) || now < m_broken_at + m_options.retry_delay) {
        return;
    }
    std::size_t unanswered = 0;
    for (const auto &[id, item] : m_in_flight) {
        if (item.call.what == hold_call::kind::grant) {
            if (now < item.begun + m_options.stuck_after) {
                return; // one at a time, since they share a connection
            }
            ++unanswered;
        }
    }
    if (unanswered >= m_options.max_stuck_grants) {
        return;
    }
    wanted *first = nullptr;
    for (auto &[key, item] : m_wanted) {
        const bool ready = item.renew_at <= now && !item.token_refused_since &&
                           !grant_in_flight(item.span.from, item.span.to);
        // Keys without a holder come before renewals.
        if (ready && (first == nullptr || std::pair(item.was_granted, item.renew_at) <
                                              std::pair(first->was_granted, first->renew_at))) {
            first = &item;
        }
    }
    if (first != nullptr) {
        calls.push_back(begin(hold_call::kind::grant, first->span, now));
    }
}

void hold_call_scheduler::add_releases(std::vector<hold_call> &calls, const lease_client &lease,
                                       instant now) {
    std::map<std::pair<std::uint64_t, fencing_token>, releasing> current;
    for (const lease_client::own_range &range : lease.own_ranges()) {
        if (range.record.next == no_target) {
            continue;
        }
        const std::pair key{range.record.first, range.record.token};
        releasing &item = current.emplace(key, releasing{}).first->second;
        if (const auto known = m_releasing.find(key); known != m_releasing.end()) {
            item = known->second;
        }
        const held_span span = hold_manager::span_of(range);
        if (free(span.from, span.to, now)) {
            m_manager.note_released(range, item.handover);
            continue;
        }
        // A grant that is still unanswered may reach the target after the release.
        const bool needed = !item.answered || settles_more(span, *item.answered);
        const bool must_call = needed && item.call == 0 && item.retry_at <= now &&
                               !grant_in_flight(span.from, span.to);
        if (must_call) {
            calls.push_back(begin(hold_call::kind::release, span, now));
            calls.back().alone = item.unidentified;
            item.call = calls.back().id;
        }
    }
    // The result of a release whose move was cancelled is not needed.
    for (const auto &[key, item] : m_releasing) {
        if (current.count(key) == 0) {
            m_in_flight.erase(item.call);
        }
    }
    std::set<std::pair<std::uint64_t, fencing_token>> moving;
    for (const auto &[key, item] : current) {
        moving.insert(key);
    }
    m_manager.keep_released(moving);
    m_releasing = std::move(current);
}

hold_call hold_call_scheduler::begin(hold_call::kind what, const held_span &span, instant now) {
    hold_call call{.id = ++m_last_id, .what = what, .span = span};
    m_in_flight[call.id] = {.call = call, .begun = now};
    return call;
}

std::optional<duration> hold_call_scheduler::write(std::uint64_t id, const lease_client &lease,
                                                   instant now) {
    const auto found = m_in_flight.find(id);
    if (found == m_in_flight.end()) {
        return std::nullopt;
    }
    pending &item = found->second;
    if (item.call.what == hold_call::kind::release) {
        item.written = now;
        return duration{};
    }
    const auto still = m_wanted.find({item.call.span.from, item.call.span.token});
    if (still == m_wanted.end() || still->second.span != item.call.span) {
        return std::nullopt;
    }
    const instant from = g_defects.hold_from_decision ? item.begun : now;
    // Without an answer, the target may read the grant as late as the answer timeout, so the length
    // is counted from there.
    const duration length = std::min(m_manager.length(lease, from + m_options.answer_timeout, from),
                                     m_options.max_hold);
    if (length < m_options.min_hold) {
        return std::nullopt;
    }
    item.written = now;
    item.length = length;
    still->second.renew_at = now + std::min(m_options.renew_after, length / renewals_in_hold);
    return length;
}

std::vector<std::uint64_t> hold_call_scheduler::overdue(instant now) const {
    std::vector<std::uint64_t> result;
    for (const auto &[id, item] : m_in_flight) {
        const bool grant = item.call.what == hold_call::kind::grant;
        if (grant && item.written.value_or(item.begun) + m_options.answer_timeout <= now) {
            result.push_back(id);
        }
    }
    return result;
}

void hold_call_scheduler::end(std::uint64_t id, const hold_call_end &how, instant now) {
    const auto found = m_in_flight.find(id);
    if (found == m_in_flight.end()) {
        return;
    }
    const pending item = std::move(found->second);
    m_in_flight.erase(found);
    if (item.call.what == hold_call::kind::grant) {
        end_grant(item, how, now);
    } else {
        end_release(item, how, now);
    }
}

void hold_call_scheduler::end_grant(const pending &item, const hold_call_end &how, instant now) {
    const held_span &span = item.call.span;
    const auto known = m_wanted.find({span.from, span.token});
    wanted *target =
        known != m_wanted.end() && known->second.span == span ? &known->second : nullptr;
    const bool done = how.result == hold_call_end::kind::done;
    const bool rejected = how.result == hold_call_end::kind::token_refused && how.identified;
    // It may be read after an answer that is not its own.
    const instant read = done && how.identified
                             ? now
                             : std::max(now, item.written.value_or(now) + m_options.answer_timeout);
    if (item.written && !rejected && how.result != hold_call_end::kind::not_sent) {
        m_granted.push_back(
            {.from = span.from,
             .to = span.to,
             .written = *item.written,
             .answered = done,
             .carried_out = done && how.identified ? std::optional(now) : std::nullopt,
             .connection = how.connection,
             .sure_until = *item.written + item.length,
             .ends = read + max_real_length(item.length)});
    }
    m_consecutive_lost_grants =
        how.result == hold_call_end::kind::lost ? m_consecutive_lost_grants + 1 : 0;
    // Over a new connection the next grant would reach whichever process has taken the place of one
    // that has ended. Its heartbeat, or a refused connection, mostly comes before the delay is
    // over.
    const bool broken = how.result == hold_call_end::kind::lost && item.written &&
                        now < *item.written + m_options.answer_timeout;
    m_broken_at = broken ? now : m_broken_at;
    if (target == nullptr) {
        return;
    }
    if (done) {
        target->was_granted = true;
    } else if (how.result == hold_call_end::kind::token_refused) {
        // The same token would be refused again. This node's map is outdated: the next one brings
        // another token or removes the keys.
        target->token_refused_since = now;
    } else {
        target->renew_at = now + m_options.retry_delay;
    }
}

void hold_call_scheduler::end_release(const pending &item, const hold_call_end &how, instant now) {
    const auto known = std::find_if(m_releasing.begin(), m_releasing.end(), [&](const auto &entry) {
        return entry.second.call == item.call.id;
    });
    if (known == m_releasing.end()) {
        return;
    }
    known->second.call = 0;
    const bool timeout_counts =
        g_defects.release_timeout_frees && how.result == hold_call_end::kind::lost;
    const bool done = how.result == hold_call_end::kind::done;
    if ((done && (how.identified || g_defects.believe_any_answer)) || timeout_counts) {
        known->second.answered = item.written.value_or(item.begun);
        known->second.handover = how.handover;
        settle_grants(item.call.span, *known->second.answered, how.connection, now);
    } else {
        known->second.unidentified = known->second.unidentified || done;
        known->second.retry_at = now + m_options.retry_delay;
    }
}

/// An answered release ends those grants that were carried out before it: the ones that are known
/// to be, and the answered ones before it on its connection.
void hold_call_scheduler::settle_grants(const held_span &span, instant written,
                                        std::uint64_t connection, instant now) {
    const std::uint32_t from = span.from;
    const std::uint32_t to = span.to;
    std::vector<granted> left;
    for (granted &item : m_granted) {
        const bool ahead = item.answered && item.connection == connection;
        const bool before = ahead || (item.carried_out && *item.carried_out <= written) ||
                            (item.answered && g_defects.believe_any_answer);
        const bool settled = (before || g_defects.forget_late_grant) && item.written <= written;
        if (ahead && item.written <= written && !item.carried_out) {
            item.carried_out = now;
        }
        if (!settled || item.to < from || to < item.from) {
            left.push_back(item);
            continue;
        }
        granted part = item;
        if (item.from < from) {
            part.to = from - 1;
            left.push_back(part);
        }
        if (to < item.to) {
            part.from = to + 1;
            part.to = item.to;
            left.push_back(part);
        }
    }
    m_granted = std::move(left);
}

/// Whether a release that is written now ends grants that one written then did not.
bool hold_call_scheduler::settles_more(const held_span &span, instant then) const {
    return std::any_of(m_granted.begin(), m_granted.end(), [&](const granted &item) {
        return item.from <= span.to && span.from <= item.to && item.carried_out &&
               *item.carried_out > then;
    });
}

bool hold_call_scheduler::free(std::uint32_t from, std::uint32_t to, instant now) const {
    const bool granted_still =
        std::any_of(m_granted.begin(), m_granted.end(), [&](const granted &item) {
            return item.from <= to && from <= item.to && now < item.ends;
        });
    return !granted_still && !grant_in_flight(from, to) && m_previous_process_until <= now &&
           m_manager.may_hold_until() <= now;
}

bool hold_call_scheduler::grant_in_flight(std::uint32_t from, std::uint32_t to) const {
    return std::any_of(m_in_flight.begin(), m_in_flight.end(), [&](const auto &entry) {
        const hold_call &call = entry.second.call;
        return call.what == hold_call::kind::grant && call.span.from <= to && from <= call.span.to;
    });
}

bool hold_call_scheduler::holds(std::uint32_t key, instant now) const {
    return std::any_of(m_granted.begin(), m_granted.end(), [&](const granted &item) {
        const instant until = item.answered ? item.sure_until : item.ends;
        return item.from <= key && key <= item.to && now < until && !item.refused;
    });
}

instant hold_call_scheduler::may_hold_until() const {
    instant last = m_previous_process_until;
    for (const granted &item : m_granted) {
        last = std::max(last, item.ends);
    }
    for (const auto &[id, item] : m_in_flight) {
        if (item.written && item.call.what == hold_call::kind::grant) {
            last = std::max(last, latest_end(item));
        }
    }
    return last;
}

/// Of a grant that was written and has no answer yet.
instant hold_call_scheduler::latest_end(const pending &item) const {
    return *item.written + m_options.answer_timeout + max_real_length(item.length);
}

void hold_call_scheduler::note_no_listener(instant at) {
    const auto ended = [at](const granted &item) { return item.written < at; };
    std::erase_if(m_granted, ended);
    std::erase_if(m_in_flight, [at](const auto &entry) {
        const pending &item = entry.second;
        return item.written && *item.written < at;
    });
    m_previous_process_until = std::min(m_previous_process_until, at);
}

void hold_call_scheduler::note_refused(std::uint32_t key, instant now) {
    for (granted &item : m_granted) {
        item.refused = item.refused || (item.from <= key && key <= item.to);
    }
    for (auto &[first, item] : m_wanted) {
        if (item.span.from <= key && key <= item.span.to) {
            item.renew_at = std::min(item.renew_at, now + m_options.retry_delay);
        }
    }
}

void hold_call_scheduler::reset() {
    begin_registration();
    m_granted.clear();
}

void hold_call_scheduler::begin_registration() {
    for (const auto &[id, item] : m_in_flight) {
        if (item.written && item.call.what == hold_call::kind::grant) {
            m_granted.push_back({.from = item.call.span.from,
                                 .to = item.call.span.to,
                                 .written = *item.written,
                                 .ends = latest_end(item)});
        }
    }
    for (granted &item : m_granted) {
        item.refused = true; // by its new tokens the target may refuse requests for it
    }
    m_in_flight.clear();
    m_wanted.clear();
    m_releasing.clear();
    m_consecutive_lost_grants = 0;
}

bool hold_call_scheduler::token_rejected(instant now) const {
    return std::any_of(m_wanted.begin(), m_wanted.end(), [&](const auto &entry) {
        const auto &since = entry.second.token_refused_since;
        return since && *since + m_options.refusal_timeout <= now;
    });
}

void hold_call_scheduler::drop_ended_grants(instant now) {
    std::erase_if(m_granted, [now](const granted &item) { return item.ends <= now; });
}

duration hold_call_scheduler::max_real_length(duration length) const {
    return m_manager.max_real_length(length);
}

} // namespace peppertack
