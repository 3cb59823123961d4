#include "peppertack/coordination/rate_limit.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Depth of the bucket, in seconds at the limit. Arrivals are uneven, and a bucket without depth
/// would lose a part of the rate with each gap.
constexpr double burst_seconds = 0.25;

} // namespace

double rate_limit::depth() const {
    return std::max(1.0, *m_per_second * burst_seconds);
}

double rate_limit::tokens(instant now) const {
    const double passed = std::chrono::duration<double>(now - m_at).count();
    return std::min(depth(), m_tokens + std::max(0.0, passed) * *m_per_second);
}

void rate_limit::set(std::optional<double> per_second, instant now) {
    const double left = m_per_second ? tokens(now) : 0;
    m_per_second = per_second;
    m_tokens = per_second ? std::min(left, depth()) : 0;
    m_at = now;
}

void rate_limit::take(instant now) {
    if (m_per_second) {
        m_tokens = tokens(now) - 1;
        m_at = now;
    }
}

duration rate_limit::wait(std::size_t place, instant now) const {
    if (!m_per_second) {
        return {};
    }
    const double missing = static_cast<double>(place) - tokens(now);
    return missing <= 0 ? duration{}
                        : std::chrono::duration_cast<duration>(
                              std::chrono::duration<double>(missing / *m_per_second));
}

} // namespace peppertack
