#include "peppertack/coordination/retry_detector.hpp"

namespace peppertack {

namespace {

/// Tolerances when matching deadlines: an attempt on a new connection states its remaining time up
/// to a round trip before it is read here.
constexpr duration earliest_match = std::chrono::milliseconds(10);
constexpr duration latest_match = std::chrono::milliseconds(60);
/// About 10 s of refusals at 400 requests/s; retries beyond this are treated as new requests.
constexpr std::size_t max_records = 4096;

} // namespace

void retry_detector::remove_expired(by_deadline &callers, instant now) {
    const auto expired_end = callers.upper_bound(now);
    m_size -= static_cast<std::size_t>(std::distance(callers.begin(), expired_end));
    callers.erase(callers.begin(), expired_end);
}

void retry_detector::record_refusal(const std::string &route, instant deadline, instant first_sent,
                                    instant now) {
    if (m_size >= max_records) {
        // Includes routes that are no longer requested, whose records would fill the limit forever.
        for (auto &[name, recorded] : m_routes) {
            remove_expired(recorded, now);
        }
        std::erase_if(m_routes, [](const auto &item) { return item.second.empty(); });
    }
    by_deadline &callers = m_routes[route];
    remove_expired(callers, now);
    if (deadline > now && m_size < max_records) {
        callers.emplace(deadline, first_sent);
        ++m_size;
    }
}

std::optional<instant> retry_detector::take(const std::string &route, instant deadline,
                                            instant now) {
    const auto known = m_routes.find(route);
    if (known == m_routes.end()) {
        return std::nullopt;
    }
    by_deadline &callers = known->second;
    remove_expired(callers, now);
    // A caller whose first attempt is at most 60 ms old can't be distinguished from a new caller.
    auto match = callers.lower_bound(deadline - latest_match);
    const auto end = callers.upper_bound(deadline + earliest_match);
    while (match != end && match->second + latest_match >= now) {
        ++match;
    }
    std::optional<instant> first_sent;
    if (match != end) {
        first_sent = match->second;
        callers.erase(match);
        --m_size;
    }
    if (callers.empty()) {
        m_routes.erase(known);
    }
    return first_sent;
}

} // namespace peppertack
