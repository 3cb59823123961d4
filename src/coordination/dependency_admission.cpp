#include "peppertack/coordination/dependency_admission.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Weight of the latest answer is one part in so many: targets of one service differ in load.
constexpr double smoothing = 16;
constexpr duration window = std::chrono::milliseconds(200);
/// Rejections up to this share of the nested calls of a window are chance.
constexpr double tolerated = 0.04;
constexpr double increase = 0.05; ///< of the share, with each window without rejections
/// Some requests always pass: only their calls tell that there is room again.
constexpr double least_share = 0.05;
/// Without calls the level says less and less, and is forgotten after so long.
constexpr std::chrono::seconds forgotten_after(2);

/// With a higher level than this hardly any workload gains by admitting all.
constexpr double open_below = 0.4;
/// All requests are admitted for so long before their outcome is compared.
constexpr duration trial = std::chrono::milliseconds(500);
constexpr unsigned int least_runs = 10;
constexpr std::chrono::seconds review_interval(4);
/// After a stretch of open admission shedding goes on for so long, to tell the level anew: calls
/// that are expendable leave more to direct requests.
constexpr duration shedding_trial = std::chrono::milliseconds(1500);

void follow(double &known, double told) {
    known += (told - known) / smoothing;
}

} // namespace

void dependency_admission::note_taken(const std::string &route, const admission_level &told,
                                      instant now) {
    note(route, told, false, now);
}

void dependency_admission::note_rejected(const std::string &route,
                                         const std::optional<admission_level> &told, instant now) {
    if (told || m_routes.count(route) != 0) {
        note(route, told, true, now);
    }
}

void dependency_admission::note(const std::string &route,
                                const std::optional<admission_level> &told, bool rejected,
                                instant now) {
    dependency &known = m_routes[route];
    if (now >= known.heard + forgotten_after) {
        known = {};
        known.window_end = now + window;
    }
    known.heard = now;
    if (told) {
        follow(known.told.fresh, told->fresh);
        follow(known.told.expired, told->expired);
    }
    ++known.calls;
    known.rejected += rejected ? 1 : 0;
    if (now < known.window_end) {
        return;
    }
    const double part = static_cast<double>(known.rejected) / known.calls;
    known.share = part > tolerated ? known.share * (1 - part) : known.share + increase;
    known.share = std::clamp(known.share, least_share, 1.0);
    known.calls = 0;
    known.rejected = 0;
    known.window_end = now + window;
}

double dependency_admission::fresh_share(const dependency &known, instant now) {
    const double age = std::chrono::duration<double>(now - known.heard) / forgotten_after;
    return std::max(std::min(known.told.fresh, known.share), least_share) + age;
}

admission_level dependency_admission::level(instant now) const {
    admission_level least;
    for (const auto &[route, known] : m_routes) {
        const double age = std::chrono::duration<double>(now - known.heard) / forgotten_after;
        const double expired = std::min(known.told.expired, known.share);
        least.fresh = std::min(least.fresh, fresh_share(known, now));
        least.expired = std::min(least.expired, expired + age);
    }
    return least;
}

std::string dependency_admission::limiting_route(instant now) const {
    std::string limiting;
    double least = 1;
    for (const auto &[route, known] : m_routes) {
        const double share = fresh_share(known, now);
        if (share < least) {
            least = share;
            limiting = route;
        }
    }
    return limiting;
}

void dependency_admission::enter(mode next, duration length, instant now) {
    m_mode = next;
    m_entered = now;
    m_review_at = now + length;
    m_runs = 0;
    m_succeeded = 0;
}

void dependency_admission::choose_mode(instant now) {
    if (now < m_review_at) {
        return;
    }
    if (m_mode == mode::shedding) {
        m_level = level(now).fresh;
        if (m_level < open_below) {
            enter(mode::open, trial, now);
        }
        return;
    }
    if (m_runs < least_runs && now < m_entered + review_interval) {
        return;
    }
    const bool better = m_runs >= least_runs && m_succeeded > m_level * m_runs;
    if (better && now < m_entered + review_interval) {
        m_review_at = m_entered + review_interval;
    } else {
        enter(mode::shedding, better ? shedding_trial : duration(review_interval), now);
    }
}

void dependency_admission::note_run(instant started, bool succeeded, instant now) {
    choose_mode(now);
    if (m_mode == mode::open && started >= m_entered) {
        ++m_runs;
        m_succeeded += succeeded ? 1 : 0;
    }
}

bool dependency_admission::admits(bool expired, double draw, instant now) {
    choose_mode(now);
    if (m_mode == mode::open) {
        return true;
    }
    const admission_level known = level(now);
    return draw < (expired ? known.expired : known.fresh);
}

} // namespace peppertack
