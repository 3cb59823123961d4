#pragma once

#include "peppertack/state/time.hpp"

#include <cstddef>
#include <optional>

namespace peppertack {

/// Token bucket that limits the requests sent to a target. Not thread safe.
class rate_limit {
public:
    /// Any second sees at most `per_second + depth` requests.
    struct bucket {
        double per_second = 0; ///< precondition: above zero
        double depth = 1;      ///< requests that may be sent at once; precondition: at least 1

        friend bool operator==(const bucket &, const bucket &) = default;
    };
    /// Bucket of a limit in requests per second that a target announces. Precondition: above zero.
    static bucket announced(double per_second);

    /// Sets the limit; none: unlimited. A limit that follows none starts with an empty bucket.
    void set(const std::optional<bucket> &limit, instant now);
    std::optional<double> per_second() const {
        return m_bucket ? std::optional(m_bucket->per_second) : std::nullopt;
    }
    /// Whether a request may be sent now.
    bool ready(instant now) const { return !m_bucket || tokens(now) >= 1; }
    /// Takes a token for a request that is sent, whether or not one is available.
    void take(instant now);
    /// Time until the request at `place` in the queue, counted from 1, may be sent.
    duration wait(std::size_t place, instant now) const;

private:
    double tokens(instant now) const;

    std::optional<bucket> m_bucket;
    double m_tokens = 0; ///< at `m_at`; negative after requests beyond the limit
    instant m_at{};
};

} // namespace peppertack
