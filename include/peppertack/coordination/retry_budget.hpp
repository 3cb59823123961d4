#pragma once

#include <algorithm>
#include <cstddef>

namespace peppertack {

/// Part of a fleet's saved-up retries that each of `nodes` may have, at least one and at most
/// `most`: together they stay below `slack`, however many nodes there are.
inline double saved_retries(double slack, std::size_t nodes, double most) {
    const double part = slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return std::clamp(part, 1.0, most);
}

/// Bounds retries to a share of the requests, so that a failing fleet is not loaded further by its
/// own retries. Not thread safe.
class retry_budget {
public:
    struct options {
        double share = 0.1; ///< retries earned by each request
        double most = 20;   ///< retries that can be saved up
    };

    explicit retry_budget(options settings) : m_options(settings), m_tokens(settings.most) {}
    retry_budget() : retry_budget(options{}) {}

    void note_request() { m_tokens = std::min(m_options.most, m_tokens + m_options.share); }
    /// Takes one retry. False if none is left.
    bool take() {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }
    double tokens() const { return m_tokens; }
    /// From now on no more than `most` are saved up.
    void set_most(double most) {
        m_options.most = most;
        m_tokens = std::min(m_tokens, most);
    }

private:
    options m_options;
    double m_tokens;
};

} // namespace peppertack
