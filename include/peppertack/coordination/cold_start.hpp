#pragma once

#include "peppertack/coordination/rate_limit.hpp"
#include "peppertack/state/time.hpp"

#include <optional>

namespace peppertack {

/// Requests that a cold target tolerates, as its service and the deployment state them. Immutable.
struct cold_start_bounds {
    double per_second = 0; ///< sustained rate that a cold target tolerates; 0: unlimited
    double overrun = 1;    ///< factor on that rate which bounds the arrivals of any second
    double slack = 0;      ///< requests on top of that

    friend bool operator==(const cold_start_bounds &, const cold_start_bounds &) = default;
};

/// Bucket that keeps the arrivals at a cold target within `bounds` in any second, including those
/// that were delayed by a new connection; nullopt if the bounds set no limit. Thread safe.
std::optional<rate_limit::bucket> cold_start_bucket(const cold_start_bounds &bounds);

/// Tracks whether the local target is cold: just started, or cold again under the same incarnation.
/// A cold target that receives much more than it tolerates crashes and starts cold again, so a
/// target whose state is unknown counts as cold.
///
/// Load pattern: all targets of a service restart at once while their callers want ten times what
/// cold targets tolerate. Not thread safe.
class cold_start_tracker {
public:
    /// What the target said is valid for `lifetime`.
    explicit cold_start_tracker(duration lifetime) : m_lifetime(lifetime) {}

    /// The target said that it stays cold for `remaining`; zero: it is warm.
    void record_stated(duration remaining, instant now);
    /// The target may have become cold since it last said so.
    void record_unknown() { m_stated_at.reset(); }
    bool unknown(instant now) const { return !m_stated_at || now >= *m_stated_at + m_lifetime; }
    bool cold(instant now) const { return unknown(now) || now < m_cold_until; }

private:
    duration m_lifetime;
    std::optional<instant> m_stated_at;
    instant m_cold_until{};
};

} // namespace peppertack
