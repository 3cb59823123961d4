#pragma once

#include "peppertack/coordination/route_map.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peppertack {

/// Load of a target, which its node reports with each answer.
struct target_load {
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0; ///< maximum number of concurrent requests; 0: unknown
    duration service_time{}; ///< average service time of all requests
    duration body_wait{};    ///< time until the node can receive a large body that is offered now
    duration backlog{};      ///< time to drain the requests that wait now
    duration route_time{};   ///< average service time on the route of the answered request

    friend bool operator==(const target_load &, const target_load &) = default;
};

/// Outcome of a call to a target, as far as it concerns the target's health.
enum class call_outcome : std::uint8_t {
    served,      ///< the target or its node worked as expected
    failed,      ///< the target or its node failed
    unreachable, ///< no connection could be established, so other calls would fail too
};

/// Load balancer for the targets of a service without keys: power of two choices with outlier
/// ejection. The candidates are two targets drawn at random, weighted by capacity, one drawn in
/// this failure domain, and the target beside this node. The one with the earliest estimated
/// completion is chosen, by the load that its node last reported and the requests that this node
/// has sent since. Random candidates keep nodes with the same reports from all choosing the same
/// target. Targets that fail repeatedly are ejected for a while, but never all of them. Not thread
/// safe.
class target_selector {
public:
    struct options {
        /// Older reports are ignored: the requests they counted have mostly completed.
        duration report_lifetime = std::chrono::seconds(1);
        unsigned int ejection_threshold = 3; ///< consecutive failures
        duration base_ejection_time =
            std::chrono::milliseconds(700); ///< doubles with each consecutive ejection
        duration max_ejection_time = std::chrono::seconds(6);
        /// Assumed for targets without reports.
        duration prior_service_time = std::chrono::milliseconds(100);
        std::uint32_t prior_limit = 8;
        std::string failure_domain; ///< of this node
        node_address self;          ///< of this node
        /// Cost factor of targets in other failure domains, since traffic to them crosses a shared
        /// and paid link. Small compared to queueing delay, so that load still balances.
        double remote_cost_factor = 1.15;
        bool two_choices = true;    ///< off: the first target drawn is chosen
        bool times_by_route = true; ///< off: estimates use the mean time of all requests
        bool near_choice = true;    ///< always consider a target in this failure domain
        bool ejection = true;       ///< off: failing targets are chosen like others
    };

    target_selector(options settings, std::uint64_t seed)
        : m_options(std::move(settings)), m_random(seed) {}

    /// Properties of a request that affect the choice.
    struct request_shape {
        bool large_body = false; ///< has to wait until the node can receive it
        std::string route;       ///< requests of one route have similar service times
    };

    /// Returns one of `candidates` that is not in `tried`; `no_target` if there is none.
    target_number choose(const std::vector<const target_route *> &candidates,
                         const request_shape &shape, const std::set<target_number> &tried,
                         instant now);
    /// Records a call sent to a target.
    void record_sent(target_number number);
    /// Records the end of a call. An unreachable target is ejected immediately: when a third of the
    /// targets went down together, each node otherwise lost three requests per target.
    void record_outcome(target_number number, call_outcome result, instant now);
    /// Records the load reported with an answer; `route` is that of the answered request.
    void record_load(target_number number, const target_load &load, instant now,
                     const std::string &route = {});
    /// Estimated time until an answer to a request on `route`.
    duration estimate(target_number number, const std::string &route, instant now) const;
    bool ejected(target_number number, instant now) const;
    /// Removes targets that are not in `known`, once no calls to them are outstanding.
    void retain(const std::unordered_map<target_number, target_route> &known);

private:
    struct state {
        target_load load;
        std::unordered_map<std::string, duration> by_route; ///< service times, as last reported
        instant reported{};
        std::uint32_t outstanding = 0;
        std::uint32_t at_report = 0; ///< calls outstanding when the last report arrived
        unsigned int failures = 0;
        unsigned int ejections = 0;
        instant ejected_until{};
    };
    struct candidate {
        target_number number = no_target;
        bool near = false;
        bool own = false; ///< beside this node
    };
    std::optional<std::size_t> draw_same_domain(const std::vector<candidate> &from,
                                                const std::string &route);
    double cost(const candidate &item, const request_shape &shape, instant now) const;

    duration expected_service_time(const state *known, const std::string &route) const;
    double capacity(const state *known, const std::string &route) const;

    options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<target_number, state> m_targets;
};

} // namespace peppertack
