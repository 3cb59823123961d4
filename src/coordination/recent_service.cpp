#include "peppertack/coordination/recent_service.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace peppertack {

namespace {

/// A burst lasts for seconds; what was done before it says nothing of it.
constexpr std::chrono::seconds memory(2);
/// Parts served that differ by less are left to the earliest objective, which wastes less work.
constexpr double fair_margin = 0.1;
/// Of fewer requests the part that was served is chance.
constexpr double least_asked = 8;
/// Beyond so many kinds, those that nobody asks for any more are forgotten: each decision looks at
/// all of them.
constexpr std::size_t most_kinds = 64;
constexpr double forgotten_below = 0.01;

bool same_rank(const recent_service::request_kind &a, const recent_service::request_kind &b) {
    return a.direct == b.direct && a.late == b.late && a.priority == b.priority;
}

bool ranks_before(const recent_service::request_kind &a, const recent_service::request_kind &b) {
    return std::tie(a.direct, a.late, a.priority) < std::tie(b.direct, b.late, b.priority);
}

} // namespace

double recent_service::fading::at_time(instant now) const {
    const double passed = std::chrono::duration<double>(now - at) / memory;
    return sum * std::exp(-std::max(passed, 0.0));
}

void recent_service::fading::add(double amount, instant now) {
    sum = at_time(now) + amount;
    at = now;
}

double recent_service::part_served(const record &kind, instant now) {
    const double asked = kind.asked.at_time(now);
    return asked < least_asked ? 1 : 1 - kind.refused.at_time(now) / asked;
}

void recent_service::note_asked(const request_kind &kind, instant now) {
    if (m_kinds.size() >= most_kinds) {
        std::erase_if(m_kinds, [&](const auto &known) {
            return known.second.asked.at_time(now) < forgotten_below;
        });
    }
    m_kinds[kind].asked.add(1, now);
}

void recent_service::note_refused(const request_kind &kind, instant now) {
    m_kinds[kind].refused.add(1, now);
}

void recent_service::note_taken(const request_kind &kind, duration work, instant now) {
    m_kinds[kind].work.add(static_cast<double>(work.count()), now);
}

/// Of the kinds that rank like `peer`, the part of the one that was refused most often.
double recent_service::least_part_served(const request_kind &peer, instant now) const {
    double least = 1;
    for (const auto &[kind, known] : m_kinds) {
        least = same_rank(kind, peer) ? std::min(least, part_served(known, now)) : least;
    }
    return least;
}

bool recent_service::over_served(const request_kind &kind, instant now) const {
    const auto own = m_kinds.find(kind);
    if (own == m_kinds.end()) {
        return false;
    }
    return part_served(own->second, now) > least_part_served(kind, now) + fair_margin;
}

double recent_service::slots_before(const request_kind &kind, instant now) const {
    const double fair_part = least_part_served(kind, now) + fair_margin;
    const bool yields = over_served(kind, now);
    double work = 0;
    for (const auto &[other, known] : m_kinds) {
        const bool peer = same_rank(other, kind) && yields;
        const bool before =
            ranks_before(other, kind) || (peer && part_served(known, now) <= fair_part);
        work += before ? known.work.at_time(now) : 0;
    }
    return work / static_cast<double>(duration(memory).count());
}

} // namespace peppertack
