#pragma once

#include "peppertack/state/time.hpp"

#include <cstddef>
#include <optional>

namespace peppertack {

/// Token bucket that limits the requests sent to a target while the target announces a rate limit.
/// Not thread safe.
class rate_limit {
public:
    /// Sets the limit in requests per second; none: unlimited. Precondition: above zero.
    void set(std::optional<double> per_second, instant now);
    std::optional<double> per_second() const { return m_per_second; }
    /// Whether a request may be sent now.
    bool ready(instant now) const { return !m_per_second || tokens(now) >= 1; }
    /// Takes a token for a request that is sent, whether or not one is available.
    void take(instant now);
    /// Time until the request at `place` in the queue, counted from 1, may be sent.
    duration wait(std::size_t place, instant now) const;

private:
    double depth() const;
    double tokens(instant now) const;

    std::optional<double> m_per_second;
    double m_tokens = 0; ///< at `m_at`; negative after requests beyond the limit
    instant m_at{};
};

} // namespace peppertack
