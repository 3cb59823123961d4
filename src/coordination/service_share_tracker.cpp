#include "peppertack/coordination/service_share_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace peppertack {

namespace {

/// Bursts last for seconds, and load before a burst does not predict it.
constexpr std::chrono::seconds decay_time(2);
/// Smaller differences in the served share are left to the earliest objective, which wastes less
/// work.
constexpr double fair_margin = 0.1;
/// The served share of fewer requests is not significant.
constexpr double min_offered = 8;
/// At this number of kinds the unused ones are evicted: each decision iterates over all of them.
constexpr std::size_t max_kinds = 64;
constexpr double eviction_threshold = 0.01;

bool same_rank(const service_share_tracker::request_kind &a,
               const service_share_tracker::request_kind &b) {
    return a.direct == b.direct && a.late == b.late && a.priority == b.priority;
}

bool ranks_before(const service_share_tracker::request_kind &a,
                  const service_share_tracker::request_kind &b) {
    return std::tie(a.direct, a.late, a.priority) < std::tie(b.direct, b.late, b.priority);
}

} // namespace

double service_share_tracker::decaying_sum::at_time(instant now) const {
    const double passed = std::chrono::duration<double>(now - at) / decay_time;
    return sum * std::exp(-std::max(passed, 0.0));
}

void service_share_tracker::decaying_sum::add(double amount, instant now) {
    sum = at_time(now) + amount;
    at = now;
}

double service_share_tracker::served_share(const record &kind, instant now) {
    const double offered = kind.offered.at_time(now);
    return offered < min_offered ? 1 : 1 - kind.refused.at_time(now) / offered;
}

void service_share_tracker::record_offered(const request_kind &kind, instant now) {
    if (m_kinds.size() >= max_kinds) {
        std::erase_if(m_kinds, [&](const auto &known) {
            return known.second.offered.at_time(now) < eviction_threshold;
        });
    }
    m_kinds[kind].offered.add(1, now);
}

void service_share_tracker::record_refused(const request_kind &kind, instant now) {
    m_kinds[kind].refused.add(1, now);
}

void service_share_tracker::record_accepted(const request_kind &kind, duration work, instant now) {
    m_kinds[kind].work.add(static_cast<double>(work.count()), now);
}

/// Lowest served share among the kinds of the same rank as `peer`.
double service_share_tracker::min_served_share(const request_kind &peer, instant now) const {
    double least = 1;
    for (const auto &[kind, known] : m_kinds) {
        least = same_rank(kind, peer) ? std::min(least, served_share(known, now)) : least;
    }
    return least;
}

bool service_share_tracker::over_served(const request_kind &kind, instant now) const {
    const auto own = m_kinds.find(kind);
    if (own == m_kinds.end()) {
        return false;
    }
    return served_share(own->second, now) > min_served_share(kind, now) + fair_margin;
}

double service_share_tracker::slots_before(const request_kind &kind, instant now) const {
    const double fair_part = min_served_share(kind, now) + fair_margin;
    const bool yields = over_served(kind, now);
    double work = 0;
    for (const auto &[other, known] : m_kinds) {
        const bool peer = same_rank(other, kind) && yields;
        const bool before =
            ranks_before(other, kind) || (peer && served_share(known, now) <= fair_part);
        work += before ? known.work.at_time(now) : 0;
    }
    return work / static_cast<double>(duration(decay_time).count());
}

} // namespace peppertack
