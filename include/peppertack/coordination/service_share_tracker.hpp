#pragma once

#include "peppertack/state/time.hpp"

#include <compare>
#include <map>
#include <string>

namespace peppertack {

/// Tracks the share of requests served for each kind, with exponential decay over two seconds.
///
/// Keeps kinds of the same priority from starving each other while a target is overloaded. By
/// earliest objective alone the kind with the shortest objective is served in full and the other
/// starves: in virtual time, at three times the capacity, 99% of the short requests and 1% of the
/// long ones were served; with fair shares 43% and 33%. Not thread safe.
class service_share_tracker {
public:
    struct request_kind {
        /// Sent by a caller; false for a nested call, which goes before all other requests.
        bool direct = true;
        /// The objective had passed on arrival, because the caller was refused before. Requests
        /// that can still meet their objective go first, whatever their priority.
        bool late = false;
        int priority = 0; ///< 0 is the most urgent
        std::string name; ///< its priority may change with the routing table while requests wait

        auto operator<=>(const request_kind &) const = default;
    };

    /// Records an incoming request of `kind`.
    void record_offered(const request_kind &kind, instant now);
    /// Records that an incoming request of `kind` was refused, immediately or after a wait.
    void record_refused(const request_kind &kind, instant now);
    /// Records an accepted request of `kind` that is expected to occupy a slot for `work`.
    void record_accepted(const request_kind &kind, duration work, instant now);

    /// Whether a clearly larger share of `kind` was served than of another kind of the same
    /// priority.
    bool over_served(const request_kind &kind, instant now) const;
    /// Average number of slots occupied by kinds that go before `kind`: nested calls, requests in
    /// time if it is late, more urgent ones, and, if it is over-served, those of its rank that are
    /// not.
    double slots_before(const request_kind &kind, instant now) const;

private:
    /// Exponentially decaying sum.
    struct decaying_sum {
        double sum = 0;
        instant at{};
        double at_time(instant now) const;
        void add(double amount, instant now);
    };
    struct record {
        decaying_sum offered;
        decaying_sum refused;
        decaying_sum work; ///< microseconds
    };

    static double served_share(const record &kind, instant now);
    double min_served_share(const request_kind &peer, instant now) const;

    std::map<request_kind, record> m_kinds;
};

} // namespace peppertack
