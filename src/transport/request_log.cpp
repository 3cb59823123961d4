#include "peppertack/transport/request_log.hpp"

#include "peppertack/transport/json_log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

/// Told with each line, what was left out would take as many lines again.
constexpr std::chrono::seconds told_interval(1);

} // namespace

void request_log::note(const char *event, const nlohmann::json &fields, instant now) {
    ++m_noted;
    const double passed = std::chrono::duration<double>(now - m_at).count();
    m_budget =
        std::min(m_options.burst, m_budget + std::max(0.0, passed) * m_options.lines_a_second);
    m_at = now;
    if (m_budget < 1) {
        ++m_left_out;
        ++m_left_out_total;
        return;
    }
    m_budget -= 1;
    if (m_left_out > 0 && now >= m_told_at + told_interval) {
        m_told_at = now;
        ++m_lines;
        log_event(log_level::warning, "request_lines_left_out", {{"count", m_left_out}});
        m_left_out = 0;
    }
    ++m_lines;
    log_event(log_level::info, event, fields);
}

} // namespace peppertack
