#include "peppertack/coordination/admission_level.hpp"

#include <algorithm>
#include <cmath>

namespace peppertack {

namespace {

constexpr std::chrono::seconds decay_time(1);
/// The accepted share of fewer requests is not significant.
constexpr double min_requests = 2;
/// At this number of classes the unused ones are evicted: each routing table may add routes.
constexpr std::size_t max_classes = 64;
constexpr double eviction_threshold = 0.01;

} // namespace

void decaying_sum::add(double amount, instant now) {
    m_sum = at_time(now) + amount;
    m_at = now;
}

double decaying_sum::at_time(instant now) const {
    const double passed = std::chrono::duration<double>(now - m_at) / decay_time;
    return m_sum * std::exp(-std::max(passed, 0.0));
}

void admission_meter::record_offered(const admission_class &request, instant now) {
    if (m_classes.size() >= max_classes) {
        std::erase_if(m_classes, [now](const auto &known) {
            return known.second.offered.at_time(now) < eviction_threshold;
        });
    }
    m_classes[request].offered.add(1, now);
}

void admission_meter::record_rejected(const admission_class &request, instant now) {
    const auto known = m_classes.find(request);
    if (known != m_classes.end()) {
        known->second.rejected.add(1, now);
    }
}

double admission_meter::share(const admission_class &request, instant now) const {
    const auto known = m_classes.find(request);
    if (known == m_classes.end()) {
        return 1;
    }
    const double offered = known->second.offered.at_time(now);
    if (offered < min_requests) {
        return 1;
    }
    return std::clamp(1 - known->second.rejected.at_time(now) / offered, 0.0, 1.0);
}

void admission_level_aggregator::record(const admission_class &request, int priority, double share,
                                        instant now) {
    if (m_classes.size() >= max_classes) {
        std::erase_if(m_classes, [now](const auto &known) {
            return known.second.requests.at_time(now) < eviction_threshold;
        });
    }
    class_stats &known = m_classes[request];
    known.priority = priority;
    known.requests.add(1, now);
    known.shares.add(share, now);
}

double admission_level_aggregator::mean_share(bool expired, int priority, instant now) const {
    double requests = 0;
    double shares = 0;
    for (const auto &[request, known] : m_classes) {
        if (request.expired == expired && known.priority <= priority) {
            requests += known.requests.at_time(now);
            shares += known.shares.at_time(now);
        }
    }
    return requests < min_requests ? 1 : shares / requests;
}

admission_level admission_level_aggregator::level(int priority, instant now) const {
    return {.fresh = mean_share(false, priority, now), .expired = mean_share(true, priority, now)};
}

} // namespace peppertack
