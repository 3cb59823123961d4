#pragma once

#include "peppertack/state/time.hpp"

#include <map>
#include <string>

namespace peppertack {

/// Shares of what callers ask of a service that its targets take, from 0 to 1.
struct admission_level {
    double fresh = 1;   ///< of requests that can still meet their latency objective
    double expired = 1; ///< of requests whose objective had passed when they came

    friend bool operator==(const admission_level &, const admission_level &) = default;
};

/// A sum that fades over about a second.
class fading_sum {
public:
    void add(double amount, instant now);
    double at_time(instant now) const;

private:
    double m_sum = 0;
    instant m_at{};
};

/// Requests of one route, told apart by whether they can still be in time.
struct admission_class {
    std::string route;
    bool expired = false; ///< its objective had passed when it came

    auto operator<=>(const admission_class &) const = default;
};

/// Measures at the node that takes callers' requests which share of them is taken in the end,
/// whichever targets were tried. One target can't tell: all rejections fall on the last that is
/// tried. Not thread safe.
class admission_meter {
public:
    void note_offered(const admission_class &request, instant now);
    /// Precondition: the request was noted as offered.
    void note_rejected(const admission_class &request, instant now);
    /// Share of such requests that was taken over the last seconds.
    double share(const admission_class &request, instant now) const;
    std::size_t size() const { return m_classes.size(); }

private:
    struct counts {
        fading_sum offered;
        fading_sum rejected;
    };
    std::map<admission_class, counts> m_classes;
};

/// Collects at the node beside a target what the nodes that send requests here have measured. Not
/// thread safe.
class admission_board {
public:
    /// A direct request came, whose sender measured `share` for such requests.
    void note(const admission_class &request, int priority, double share, instant now);
    /// Mean of what was told for requests that are at least as urgent as `priority`. Requests of
    /// that priority at another service whose nested calls come here are to be shed alike: less
    /// urgent ones here have given way already.
    admission_level level(int priority, instant now) const;
    std::size_t size() const { return m_classes.size(); }

private:
    struct record {
        int priority = 0; ///< 0 is the most urgent
        fading_sum requests;
        fading_sum shares;
    };
    double mean_share(bool expired, int priority, instant now) const;

    std::map<admission_class, record> m_classes;
};

} // namespace peppertack
