#include "peppertack/coordination/cold_start.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Part of the slack that may be sent at once. The rest is left for health checks and for requests
/// whose connections took long to open.
constexpr double burst_share = 0.5;
/// Requests that wait for a connection arrive together with later ones; longer attempts fail.
constexpr double max_connect_seconds = 0.15;
/// Health checks that may reach the target in the same second.
constexpr double reserved_checks = 1;
constexpr double min_rate = 0.5;
/// The target's clock and the way of its statement.
constexpr duration cold_margin = std::chrono::milliseconds(50);

} // namespace

std::optional<rate_limit::bucket> cold_start_bucket(const cold_start_bounds &bounds) {
    if (bounds.per_second <= 0) {
        return std::nullopt;
    }
    const double sustained = bounds.per_second * bounds.overrun;
    const double depth = std::max(1.0, bounds.slack * burst_share);
    const double left = sustained + bounds.slack - reserved_checks - depth;
    const double rate = std::min(sustained, left / (1 + max_connect_seconds));
    return rate_limit::bucket{.per_second = std::max(rate, min_rate), .depth = depth};
}

void cold_start_tracker::record_stated(duration remaining, instant now) {
    m_stated_at = now;
    m_cold_until = remaining > duration{} ? now + remaining + cold_margin : instant{};
}

} // namespace peppertack
