#pragma once

#include "peppertack/state/time.hpp"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace peppertack {

/// Log lines about requests, in bounded number: under overload there are as many refusals as
/// requests, and writing each would take the time that serving needs. Lines above the budget are
/// counted, and their number is told once a second. Not thread safe.
class request_log {
public:
    struct options {
        double lines_a_second =
            40; ///< a few hundred bytes each: under a part in a hundred of a core
        double burst = 200;
    };

    explicit request_log(options settings) : m_options(settings), m_budget(settings.burst) {}
    request_log() : request_log(options{}) {}

    /// One decision about a request.
    void note(const char *event, const nlohmann::json &fields, instant now);
    /// Decisions so far, told or left out.
    std::uint64_t noted() const { return m_noted; }
    std::uint64_t left_out() const { return m_left_out_total; }
    /// Lines written so far, those that tell what was left out included.
    std::uint64_t lines() const { return m_lines; }

private:
    options m_options;
    double m_budget;
    instant m_at{};
    instant m_told_at{}; ///< when the number of those left out was last told
    std::uint64_t m_noted = 0;
    std::uint64_t m_lines = 0;
    std::uint64_t m_left_out = 0; ///< since the last line
    std::uint64_t m_left_out_total = 0;
};

} // namespace peppertack
