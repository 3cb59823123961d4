#include "peppertack/coordination/dependency_admission.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// The latest answer has a weight of 1 / smoothing, since the targets of a service differ in load.
constexpr double smoothing = 16;
constexpr duration window_length = std::chrono::milliseconds(200);
/// Rejections up to this share of the nested calls of a window don't lower the admitted share.
constexpr double tolerated_rejections = 0.04;
constexpr double share_increase = 0.05; ///< of the share, per window with tolerated rejections
/// After this many such windows in a row the increase doubles with each further one: a service
/// whose capacity comes back at once, as after a mass restart, is in full use again after a second.
/// Under a lasting overload rejections come sooner.
constexpr unsigned int windows_before_doubling = 3;
constexpr double max_share_increase = 0.4;
/// Some requests are always admitted: only their calls show when capacity is available again.
constexpr double min_share = 0.05;
/// Without calls a level loses weight linearly and expires after this time.
constexpr std::chrono::seconds level_lifetime(2);

/// At higher levels hardly any workload gains from admitting all requests.
constexpr double open_admission_threshold = 0.4;
/// All requests are admitted for this long before their outcome is compared.
constexpr duration open_trial = std::chrono::milliseconds(500);
constexpr unsigned int min_runs = 10;
constexpr std::chrono::seconds review_interval(4);
/// After a period of open admission, requests are shed for this long to measure the level again:
/// expendable calls leave more capacity to direct requests, which raises the reported level.
constexpr duration shedding_trial = std::chrono::milliseconds(1500);

void update_average(double &average, double sample) {
    average += (sample - average) / smoothing;
}

} // namespace

void dependency_admission::record_accepted(const std::string &route,
                                           const admission_level &reported, instant now) {
    record(route, reported, false, now);
}

void dependency_admission::record_rejected(const std::string &route,
                                           const std::optional<admission_level> &reported,
                                           instant now) {
    if (reported || m_routes.count(route) != 0) {
        record(route, reported, true, now);
    }
}

bool dependency_admission::calls(const std::string &route, instant now) const {
    const auto found = m_routes.find(route);
    return found != m_routes.end() && now < found->second.last_report + level_lifetime;
}

void dependency_admission::record(const std::string &route,
                                  const std::optional<admission_level> &reported, bool rejected,
                                  instant now) {
    dependency &known = m_routes[route];
    if (now >= known.last_report + level_lifetime) {
        known = {.increase = share_increase};
        known.window_end = now + window_length;
    }
    known.last_report = now;
    if (reported) {
        update_average(known.reported.fresh, reported->fresh);
        update_average(known.reported.expired, reported->expired);
    }
    ++known.calls;
    known.rejected += rejected ? 1 : 0;
    if (now < known.window_end) {
        return;
    }
    const double part = static_cast<double>(known.rejected) / known.calls;
    if (part > tolerated_rejections) {
        known.share *= 1 - part;
        known.increase = share_increase;
        known.windows_without_rejections = 0;
    } else {
        known.share += known.increase;
        if (++known.windows_without_rejections >= windows_before_doubling) {
            known.increase = std::min(known.increase * 2, max_share_increase);
        }
    }
    known.share = std::clamp(known.share, min_share, 1.0);
    known.calls = 0;
    known.rejected = 0;
    known.window_end = now + window_length;
}

double dependency_admission::fresh_share(const dependency &known, instant now) {
    const double age = std::chrono::duration<double>(now - known.last_report) / level_lifetime;
    return std::max(std::min(known.reported.fresh, known.share), min_share) + age;
}

admission_level dependency_admission::level(instant now) const {
    admission_level least;
    for (const auto &[route, known] : m_routes) {
        const double age = std::chrono::duration<double>(now - known.last_report) / level_lifetime;
        const double expired = std::min(known.reported.expired, known.share);
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

void dependency_admission::set_mode(mode next, duration length, instant now) {
    m_mode = next;
    m_mode_since = now;
    m_review_at = now + length;
    m_runs = 0;
    m_succeeded = 0;
}

void dependency_admission::update_mode(instant now) {
    if (now < m_review_at) {
        return;
    }
    if (m_mode == mode::shedding) {
        m_level = level(now).fresh;
        if (m_level < open_admission_threshold) {
            set_mode(mode::open, open_trial, now);
        }
        return;
    }
    if (m_runs < min_runs && now < m_mode_since + review_interval) {
        return;
    }
    const bool better = m_runs >= min_runs && m_succeeded > m_level * m_runs;
    if (better && now < m_mode_since + review_interval) {
        m_review_at = m_mode_since + review_interval;
    } else {
        set_mode(mode::shedding, better ? shedding_trial : duration(review_interval), now);
    }
}

void dependency_admission::record_run(instant started, bool succeeded, instant now) {
    update_mode(now);
    if (m_mode == mode::open && started >= m_mode_since) {
        ++m_runs;
        m_succeeded += succeeded ? 1 : 0;
    }
}

bool dependency_admission::admits(bool expired, double draw, instant now) {
    update_mode(now);
    if (m_mode == mode::open) {
        return true;
    }
    const admission_level known = level(now);
    return draw < (expired ? known.expired : known.fresh);
}

} // namespace peppertack
