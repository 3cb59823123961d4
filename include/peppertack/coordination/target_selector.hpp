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

/// What a node says of its target with each answer.
struct target_load {
    std::uint32_t in_flight = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 0; ///< requests that the target runs at a time; 0: not known
    duration service_time{}; ///< usual time of a request
    duration body_wait{};    ///< until the node could take in a large body that is offered now
    duration backlog{};      ///< until the slots have done the work that waits now
    duration route_time{};   ///< usual time of a request on the route that the answer is for

    friend bool operator==(const target_load &, const target_load &) = default;
};

/// How a call to a target ended, as far as that says something of the target.
enum class call_end : std::uint8_t {
    served,      ///< the target or its node did its part
    failed,      ///< it did not
    unreachable, ///< no connection could be made, so no other call would fare better
};

/// Chooses among the targets of a service without keys: of two drawn at random, in proportion to
/// what they can do, one drawn in this failure domain, and the one beside this node, the one that
/// will be done first, by the load that answers of its node last told and what this node has sent
/// since. Two draws keep many nodes with the same news from all choosing the same target. Targets
/// that fail again and again are left out for a while, but never all of them. Not thread safe.
class target_selector {
public:
    struct options {
        /// A report older than this says little: requests take about as long.
        duration report_lifetime = std::chrono::seconds(1);
        unsigned int failures_until_ejected = 3;               ///< in a row
        duration ejected_for = std::chrono::milliseconds(700); ///< doubles with each time in a row
        duration longest_ejection = std::chrono::seconds(6);
        duration prior_service_time = std::chrono::milliseconds(100);
        std::uint32_t prior_limit = 8;
        std::string failure_domain; ///< of this node
        node_address self;          ///< of this node
        /// A target elsewhere counts as so much slower: what goes there crosses a link that is
        /// shared, and paid for. Small against a queue, so that load still evens out.
        double distance_factor = 1.15;
        bool two_choices = true;    ///< off: the first target drawn is taken
        bool times_by_route = true; ///< off: by the mean time of all requests
        bool near_choice = true;    ///< a target in this failure domain is always among the choices
        bool ejection = true;       ///< off: targets that fail are chosen like others
    };

    target_selector(options settings, std::uint64_t seed)
        : m_options(std::move(settings)), m_random(seed) {}

    /// What a request needs of a target.
    struct request_shape {
        bool large_body = false; ///< it has to wait for its turn to be taken in
        std::string route;       ///< requests of one route take alike long
    };

    /// One of `candidates` that is not in `tried`; `no_target` if there is none.
    target_number choose(const std::vector<const target_route *> &candidates,
                         const request_shape &shape, const std::set<target_number> &tried,
                         instant now);
    void sent(target_number number);
    /// A call has ended. A target that can't be reached is left out at once: of a third of the
    /// targets that fell silent together, each node lost three requests a target until it knew.
    void ended(target_number number, call_end how, instant now);
    /// `route` is that of the request that was answered.
    void note(target_number number, const target_load &load, instant now,
              const std::string &route = {});
    /// Time until an answer to a request on `route`, as far as can be told.
    duration estimate(target_number number, const std::string &route, instant now) const;
    bool ejected(target_number number, instant now) const;
    /// Forgets targets that are not in the map any more.
    void keep_only(const std::unordered_map<target_number, target_route> &known);

private:
    struct state {
        target_load load;
        std::unordered_map<std::string, duration> by_route; ///< usual times, as last told
        instant reported{};
        std::uint32_t outstanding = 0;
        std::uint32_t at_report = 0; ///< outstanding when the report came
        unsigned int failures = 0;
        unsigned int ejections = 0;
        instant ejected_until{};
    };
    struct candidate {
        target_number number = no_target;
        bool near = false;
        bool own = false; ///< beside this very node
    };
    std::optional<std::size_t> draw_near(const std::vector<candidate> &from,
                                         const std::string &route);
    double cost(const candidate &item, const request_shape &shape, instant now) const;

    duration usual_time(const state *known, const std::string &route) const;
    double capacity(const state *known, const std::string &route) const;

    options m_options;
    std::mt19937_64 m_random;
    std::unordered_map<target_number, state> m_targets;
};

} // namespace peppertack
