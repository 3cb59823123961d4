#include "peppertack/coordination/returning_callers.hpp"

namespace peppertack {

namespace {

/// An attempt on a new connection states its patience up to a round trip before it is read here.
constexpr duration earliest_match = std::chrono::milliseconds(10);
constexpr duration latest_match = std::chrono::milliseconds(60);
/// About ten seconds of refusals at 400 a second; what is beyond is taken for new.
constexpr std::size_t most_remembered = 4096;

} // namespace

void returning_callers::forget_gone(by_deadline &callers, instant now) {
    const auto gone = callers.upper_bound(now);
    m_size -= static_cast<std::size_t>(std::distance(callers.begin(), gone));
    callers.erase(callers.begin(), gone);
}

void returning_callers::note(const std::string &route, instant deadline, instant asked,
                             instant now) {
    if (m_size >= most_remembered) {
        // Also of routes that nobody asks for any more, or no new one would ever be remembered.
        for (auto &[name, gone] : m_routes) {
            forget_gone(gone, now);
        }
        std::erase_if(m_routes, [](const auto &item) { return item.second.empty(); });
    }
    by_deadline &callers = m_routes[route];
    forget_gone(callers, now);
    if (deadline > now && m_size < most_remembered) {
        callers.emplace(deadline, asked);
        ++m_size;
    }
}

std::optional<instant> returning_callers::take(const std::string &route, instant deadline,
                                               instant now) {
    const auto known = m_routes.find(route);
    if (known == m_routes.end()) {
        return std::nullopt;
    }
    by_deadline &callers = known->second;
    forget_gone(callers, now);
    // One that asked for the first time a moment ago can't be told from a new caller.
    auto match = callers.lower_bound(deadline - latest_match);
    const auto end = callers.upper_bound(deadline + earliest_match);
    while (match != end && match->second + latest_match >= now) {
        ++match;
    }
    std::optional<instant> asked;
    if (match != end) {
        asked = match->second;
        callers.erase(match);
        --m_size;
    }
    if (callers.empty()) {
        m_routes.erase(known);
    }
    return asked;
}

} // namespace peppertack
