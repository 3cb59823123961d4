#include "peppertack/coordination/rate_limit.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Depth of an announced limit's bucket, in seconds at the limit. Arrivals are uneven, and a bucket
/// without depth would lose a part of the rate with each gap.
constexpr double burst_seconds = 0.25;

} // namespace

rate_limit::bucket rate_limit::announced(double per_second) {
    return {.per_second = per_second, .depth = std::max(1.0, per_second * burst_seconds)};
}

double rate_limit::tokens(instant now) const {
    const double passed = std::chrono::duration<double>(now - m_at).count();
    return std::min(m_bucket->depth, m_tokens + std::max(0.0, passed) * m_bucket->per_second);
}

void rate_limit::set(const std::optional<bucket> &limit, instant now) {
    const double left = m_bucket ? tokens(now) : 0;
    m_bucket = limit;
    m_tokens = limit ? std::min(left, limit->depth) : 0;
    m_at = now;
}

void rate_limit::take(instant now) {
    if (m_bucket) {
        m_tokens = tokens(now) - 1;
        m_at = now;
    }
}

duration rate_limit::wait(std::size_t place, instant now) const {
    if (!m_bucket) {
        return {};
    }
    const double missing = static_cast<double>(place) - tokens(now);
    return missing <= 0 ? duration{}
                        : std::chrono::duration_cast<duration>(
                              std::chrono::duration<double>(missing / m_bucket->per_second));
}

} // namespace peppertack
