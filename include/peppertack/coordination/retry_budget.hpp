#pragma once

#include <algorithm>
#include <cstddef>

namespace peppertack {

/// Retries that each of `nodes` may accumulate: an equal part of the fleet's `slack`, clamped to
/// the range from 1 to `max_tokens`, so that the fleet's burst of retries does not grow with the
/// number of nodes.
inline double retry_burst_per_node(double slack, std::size_t nodes, double max_tokens) {
    const double part = slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return std::clamp(part, 1.0, max_tokens);
}

/// Token bucket that bounds retries to a share of the requests, so that retries don't add to the
/// overload of a failing fleet. Not thread safe.
class retry_budget {
public:
    struct options {
        double share = 0.1; ///< tokens added per request
        double max_tokens = 20;
    };

    explicit retry_budget(options settings) : m_options(settings), m_tokens(settings.max_tokens) {}
    retry_budget() : retry_budget(options{}) {}

    void note_request() { m_tokens = std::min(m_options.max_tokens, m_tokens + m_options.share); }
    /// Takes a token for one retry. Returns false if none is left.
    bool take() {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }
    double tokens() const { return m_tokens; }
    /// Sets the maximum number of tokens and discards those above it.
    void set_max_tokens(double max_tokens) {
        m_options.max_tokens = max_tokens;
        m_tokens = std::min(m_tokens, max_tokens);
    }

private:
    options m_options;
    double m_tokens;
};

} // namespace peppertack
