#pragma once

#include <algorithm>

namespace peppertack {

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

private:
    options m_options;
    double m_tokens;
};

} // namespace peppertack
