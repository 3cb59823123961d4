#pragma once

#include "peppertack/coordination/messages.hpp"

#include <chrono>
#include <memory>
#include <string>

namespace peppertack {

/// Latency of callers' requests by outcome, and counts by error kind. Thread safe.
class request_metrics {
public:
    request_metrics();
    ~request_metrics();

    void note(const caller_response &response, std::chrono::duration<double> took);
    /// Prometheus text (version 0.0.4).
    std::string text() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

/// One line of Prometheus text.
std::string metric_line(const std::string &name, double value);

} // namespace peppertack
