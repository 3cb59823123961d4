#include "peppertack/transport/delay_meter.hpp"

#include "peppertack/transport/json_log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace peppertack {

namespace {

constexpr unsigned int bins = 20;
constexpr double least_ms = 0.0625;
constexpr double most_ms = 65'536; // a factor of two from bin to bin

} // namespace

delay_meter::histogram delay_meter::make_histogram() {
    return boost::histogram::make_histogram(axis(bins, least_ms, most_ms));
}

void delay_meter::note(duration delay, instant now) {
    m_delays(std::chrono::duration<double, std::milli>(delay).count());
    m_longest = std::max(m_longest, delay);
    if (delay < m_options.log_above) {
        return;
    }
    if (m_logged_at != instant{} && now < m_logged_at + m_options.log_interval) {
        ++m_left_out;
        return;
    }
    m_logged_at = now;
    log_event(log_level::warning, m_options.event,
              {{"took_ms", delay / std::chrono::milliseconds(1)},
               {"left_out", std::exchange(m_left_out, 0)}});
}

std::string delay_meter::text() const {
    std::ostringstream out;
    double total = m_delays.at(-1);
    for (int bin = 0; bin < m_delays.axis(0).size(); ++bin) {
        total += m_delays.at(bin);
        out << m_options.metric << "_bucket{le=\"" << m_delays.axis(0).bin(bin).upper() << "\"} "
            << total << "\n";
    }
    total += m_delays.at(m_delays.axis(0).size());
    out << m_options.metric << "_bucket{le=\"+Inf\"} " << total << "\n";
    return out.str();
}

} // namespace peppertack
