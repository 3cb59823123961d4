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

admission_level dependency_admission::level(instant now) const {
    admission_level least;
    for (const auto &[route, known] : m_routes) {
        const double age = std::chrono::duration<double>(now - known.heard) / forgotten_after;
        const double fresh = std::max(std::min(known.told.fresh, known.share), least_share);
        const double expired = std::min(known.told.expired, known.share);
        least.fresh = std::min(least.fresh, fresh + age);
        least.expired = std::min(least.expired, expired + age);
    }
    return least;
}

bool dependency_admission::admits(bool expired, double draw, instant now) const {
    const admission_level known = level(now);
    return draw < (expired ? known.expired : known.fresh);
}

} // namespace peppertack
