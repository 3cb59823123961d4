#pragma once

#include "peppertack/state/time.hpp"

#include <map>
#include <string>

namespace peppertack {

/// Shares of the requests to a service that its targets accept, from 0 to 1.
struct admission_level {
    double fresh = 1;   ///< of requests that can still meet their latency objective
    double expired = 1; ///< of requests whose objective had passed on arrival

    friend bool operator==(const admission_level &, const admission_level &) = default;
};

/// Exponentially decaying sum with a time constant of one second.
class decaying_sum {
public:
    void add(double amount, instant now);
    double at_time(instant now) const;

private:
    double m_sum = 0;
    instant m_at{};
};

/// Requests of one route, grouped by whether they can still meet their latency objective.
struct admission_class {
    std::string route;
    bool expired = false; ///< the objective had passed on arrival

    auto operator<=>(const admission_class &) const = default;
};

/// Measures, at the node that receives callers' requests, the share that is finally accepted by
/// any of the targets tried. A single target can't measure this, since a rejection is final only at
/// the last target tried. Not thread safe.
class admission_meter {
public:
    void record_offered(const admission_class &request, instant now);
    /// Precondition: the request was recorded as offered.
    void record_rejected(const admission_class &request, instant now);
    /// Share of such requests that was accepted recently; 1 while too few were offered.
    double share(const admission_class &request, instant now) const;
    std::size_t size() const { return m_classes.size(); }

private:
    struct counts {
        decaying_sum offered;
        decaying_sum rejected;
    };
    std::map<admission_class, counts> m_classes;
};

/// Aggregates, at the node beside a target, the shares measured by the nodes that send requests to
/// it. Not thread safe.
class admission_level_aggregator {
public:
    /// Records a direct request whose sender measured `share` for such requests.
    void record(const admission_class &request, int priority, double share, instant now);
    /// Mean of the reported shares of requests that are at least as urgent as `priority`. A service
    /// whose requests of that priority make nested calls here has to shed the same share; less
    /// urgent requests are excluded, because they have been shed here already.
    admission_level level(int priority, instant now) const;
    std::size_t size() const { return m_classes.size(); }

private:
    struct class_stats {
        int priority = 0; ///< 0 is the most urgent
        decaying_sum requests;
        decaying_sum shares;
    };
    double mean_share(bool expired, int priority, instant now) const;

    std::map<admission_class, class_stats> m_classes;
};

} // namespace peppertack
