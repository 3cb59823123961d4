#pragma once

#include "peppertack/state/time.hpp"

#include <boost/histogram.hpp>
#include <string>

namespace peppertack {

/// Histogram of one kind of delay, which also tells the log of each that is beyond a bound. Not
/// thread safe.
class delay_meter {
public:
    struct options {
        std::string metric; ///< name in the Prometheus text; the unit is milliseconds
        const char *event = "";
        duration log_above{};
        /// At most one line in this time; the next one tells how many were left out.
        duration log_interval = std::chrono::seconds(1);
    };

    explicit delay_meter(options settings) : m_options(std::move(settings)) {}

    void note(duration delay, instant now);
    duration longest() const { return m_longest; }
    /// Text in the Prometheus exposition format.
    std::string text() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis(1, 1.0, 2.0)));
    static histogram make_histogram();

    options m_options;
    histogram m_delays = make_histogram();
    duration m_longest{};
    instant m_logged_at{};
    unsigned int m_left_out = 0;
};

} // namespace peppertack
