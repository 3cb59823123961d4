#include "peppertack/coordination/hold_manager.hpp"

#include "peppertack/state/key_hash.hpp"

#include <algorithm>

namespace peppertack {

namespace {

std::uint32_t first_key(const lease_client::own_range &range) {
    return ordered_key_at(range.record.first);
}

std::uint32_t last_key(const lease_client::own_range &range) {
    return ordered_key_at(range.last);
}

} // namespace

bool hold_manager::still_held(const hold_report &report,
                              const lease_client::own_range &range) const {
    return std::any_of(report.holds.begin(), report.holds.end(), [&](const held_span &span) {
        return span.from <= last_key(range) && span.to >= first_key(range);
    });
}

bool hold_manager::freed(const hold_report &report, const lease_client::own_range &range) {
    return std::any_of(report.freed.begin(), report.freed.end(), [&](const released_span &span) {
        return span.from <= first_key(range) && span.to >= last_key(range);
    });
}

std::string hold_manager::handover_of(const hold_report &report,
                                      const lease_client::own_range &range) const {
    const auto place =
        std::find_if(report.freed.begin(), report.freed.end(), [&](const released_span &span) {
            return span.from <= first_key(range) && span.to >= first_key(range);
        });
    return place == report.freed.end() ? std::string() : place->handover;
}

bool hold_manager::expects_keys(const lease_client &lease) const {
    const auto &announced = lease.announcement();
    const route_map::service_map *ranges =
        announced ? lease.map().find_service(announced->service) : nullptr;
    // Unowned keys are assigned to targets without keys before the next heartbeat arrives.
    const bool has_no_keys = lease.own_ranges().empty();
    return ranges != nullptr && lease.number() != no_target &&
           std::any_of(
               ranges->ranges.begin(), ranges->ranges.end(), [&](const range_record &range) {
                   return range.next == lease.number() || (has_no_keys && range.owner == no_target);
               });
}

void hold_manager::note(const hold_report &report, const lease_client &lease, bool may_be_old) {
    std::map<std::uint64_t, release> released;
    for (const lease_client::own_range &range : lease.own_ranges()) {
        if (range.record.next == no_target || still_held(report, range) ||
            (may_be_old && !freed(report, range))) {
            continue;
        }
        const auto known = m_released.find(range.record.first);
        const bool already_known =
            known != m_released.end() && known->second.token == range.record.token;
        released[range.record.first] =
            already_known && !known->second.handover.empty()
                ? known->second
                : release{range.record.token, handover_of(report, range)};
        m_unreported_release = m_unreported_release || !already_known;
    }
    m_released = std::move(released);
}

held_span hold_manager::span_of(const lease_client::own_range &range) {
    return {first_key(range), last_key(range), range.record.token, range.record.handover};
}

std::vector<held_span> hold_manager::wanted_spans(const lease_client &lease) {
    std::vector<held_span> spans;
    for (const lease_client::own_range &range : lease.own_ranges()) {
        if (range.record.next != no_target) {
            continue;
        }
        const held_span span = span_of(range);
        const bool joins = !spans.empty() && spans.back().to + 1 == span.from &&
                           spans.back().token == span.token &&
                           spans.back().handover == span.handover;
        if (joins) {
            spans.back().to = span.to;
        } else {
            spans.push_back(span);
        }
    }
    return spans;
}

duration hold_manager::length(const lease_client &lease, instant counted_from, instant now) const {
    if (!lease.lease_valid(now)) {
        return {};
    }
    const auto left = static_cast<double>((lease.lease_until() - counted_from).count());
    const duration unshortened(static_cast<duration::rep>(left / (1 + m_options.clock_drift)));
    return std::min(unshortened - m_options.margin, m_options.max_hold);
}

duration hold_manager::max_real_length(duration length) const {
    const double on_slow_clock = static_cast<double>(length.count()) * (1 + m_options.clock_drift);
    return duration(static_cast<duration::rep>(on_slow_clock)) + m_options.margin;
}

void hold_manager::note_released(const lease_client::own_range &range,
                                 const std::string &handover) {
    const auto known = m_released.find(range.record.first);
    if (known == m_released.end() || known->second.token != range.record.token) {
        m_released[range.record.first] = {range.record.token, handover};
        m_unreported_release = true;
    }
}

void hold_manager::keep_released(const std::set<std::pair<std::uint64_t, fencing_token>> &moving) {
    std::erase_if(m_released, [&](const auto &entry) {
        return moving.count({entry.first, entry.second.token}) == 0;
    });
}

hold_grant hold_manager::grant(const lease_client &lease, instant received, instant now) {
    m_granted.clear();
    if (!lease.lease_valid(now)) {
        return {};
    }
    hold_grant result{.length = length(lease, received, now)};
    if (received + result.length <= now) {
        return {};
    }
    for (const lease_client::own_range &range : lease.own_ranges()) {
        if (range.record.next == no_target) {
            result.holds.push_back(span_of(range));
            m_released.erase(range.record.first); // held again from now on
        }
    }
    result.renews = true;
    m_granted = result.holds;
    m_held_until = received + result.length;
    assume_until(received + max_real_length(result.length));
    return result;
}

void hold_manager::reset() {
    begin_registration();
    m_held_until = {};
    m_may_hold_until = {};
}

void hold_manager::begin_registration() {
    m_granted.clear();
    m_released.clear();
    m_unreported_release = false;
}

hold_manager::key_state hold_manager::state_of(std::uint64_t hash, const lease_client &lease,
                                               instant now) const {
    const std::uint32_t key = ordered_key_at(hash);
    const bool given =
        std::any_of(m_granted.begin(), m_granted.end(),
                    [key](const held_span &span) { return span.from <= key && key <= span.to; });
    if (given && now < m_held_until - m_options.margin && lease.lease_valid(now)) {
        return key_state::held;
    }
    return awaited_state(hash, lease);
}

hold_manager::key_state hold_manager::awaited_state(std::uint64_t hash,
                                                    const lease_client &lease) const {
    if (!lease.announcement() || lease.number() == no_target) {
        return key_state::not_owned;
    }
    const range_record *range = lease.map().find_range(lease.announcement()->service, hash);
    if (range == nullptr || range->owner != lease.number()) {
        return key_state::not_owned;
    }
    return range->next == no_target ? key_state::expected : key_state::moving;
}

void hold_manager::fill_report(renew_request &request, const lease_client &lease) const {
    if (!lease.announcement()) {
        return;
    }
    for (const auto &[first, item] : m_released) {
        const range_record *range = lease.map().find_range(lease.announcement()->service, first);
        const bool open = range != nullptr && range->first == first && range->token == item.token &&
                          range->owner == lease.number() && range->next != no_target;
        if (open) {
            request.released.push_back(
                {lease.announcement()->service, first, item.token, range->next, item.handover});
        }
    }
}

} // namespace peppertack
