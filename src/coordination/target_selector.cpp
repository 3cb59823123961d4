#include "peppertack/coordination/target_selector.hpp"

#include <algorithm>
#include <cassert>

namespace peppertack {

namespace {

/// Maximum number of service times by route kept for each target.
constexpr std::size_t max_routes = 256;

} // namespace

/// Uses the time of the route if known: by its mean time a target with mostly short requests would
/// look fast and receive more requests of all kinds than one whose requests are long.
duration target_selector::expected_service_time(const state *known,
                                                const std::string &route) const {
    if (known == nullptr) {
        return m_options.prior_service_time;
    }
    const auto entry =
        m_options.times_by_route ? known->by_route.find(route) : known->by_route.end();
    if (entry != known->by_route.end()) {
        return entry->second;
    }
    const duration mean = known->load.service_time;
    return mean > duration{} ? mean : m_options.prior_service_time;
}

double target_selector::capacity(const state *known, const std::string &route) const {
    const bool has_limit = known != nullptr && known->load.limit > 0;
    const double limit = has_limit ? known->load.limit : m_options.prior_limit;
    return limit / static_cast<double>(expected_service_time(known, route).count());
}

duration target_selector::estimate(target_number number, const std::string &route,
                                   instant now) const {
    const auto found = m_targets.find(number);
    const state none;
    const state &known = found == m_targets.end() ? none : found->second;
    const bool fresh = known.load.limit > 0 && known.reported + m_options.report_lifetime > now;
    const std::uint32_t limit = known.load.limit > 0 ? known.load.limit : m_options.prior_limit;
    const duration time = expected_service_time(&known, route);
    const duration mean = known.load.service_time > duration{} ? known.load.service_time : time;
    std::uint32_t busy = known.outstanding;
    duration backlog{};
    if (fresh) {
        const std::uint32_t since =
            known.outstanding - std::min(known.outstanding, known.at_report);
        busy = known.load.in_flight + since;
        const bool has_route_time = m_options.times_by_route && known.load.route_time > duration{};
        backlog = has_route_time ? known.load.backlog : mean * known.load.waiting / limit;
    }
    const double fill = static_cast<double>(busy + 1) / limit;
    // Below its limit a target's service time does not depend on its load, but a fuller one reaches
    // its limit sooner through the requests of other nodes.
    const double own = static_cast<double>(time.count()) * (1 + 0.2 * std::min(fill, 1.0));
    const double wait = static_cast<double>(mean.count()) * std::max(fill - 1, 0.0);
    return backlog + duration(static_cast<duration::rep>(own + wait));
}

bool target_selector::ejected(target_number number, instant now) const {
    const auto found = m_targets.find(number);
    return m_options.ejection && found != m_targets.end() && now < found->second.ejected_until;
}

target_number target_selector::choose(const std::vector<const target_route *> &candidates,
                                      const request_shape &shape,
                                      const std::set<target_number> &tried, instant now) {
    std::vector<candidate> open;
    std::vector<candidate> last_resort;
    for (const target_route *target : candidates) {
        if (tried.count(target->number) == 0) {
            const candidate item{.number = target->number,
                                 .near = target->failure_domain == m_options.failure_domain,
                                 .own = target->address == m_options.self};
            (ejected(target->number, now) ? last_resort : open).push_back(item);
        }
    }
    std::vector<candidate> &from = open.empty() ? last_resort : open;
    if (from.size() < 2) {
        return from.empty() ? no_target : from.front().number;
    }
    std::vector<double> weights;
    for (const candidate &item : from) {
        const auto found = m_targets.find(item.number);
        weights.push_back(
            capacity(found == m_targets.end() ? nullptr : &found->second, shape.route));
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    const std::size_t first = draw(m_random);
    if (!m_options.two_choices) {
        return from[first].number;
    }
    weights[first] = 0;
    std::discrete_distribution<std::size_t> draw_other(weights.begin(), weights.end());
    const std::size_t second = draw_other(m_random);
    const auto cheaper = [&](const candidate &a, const candidate &b) {
        return cost(a, shape, now) < cost(b, shape, now);
    };
    std::size_t best = cheaper(from[second], from[first]) ? second : first;
    // With many targets the two drawn are mostly in other failure domains, so a target in this one
    // is always considered.
    const std::optional<std::size_t> near =
        m_options.near_choice ? draw_same_domain(from, shape.route) : std::nullopt;
    best = near && cheaper(from[*near], from[best]) ? *near : best;
    const auto own =
        std::find_if(from.begin(), from.end(), [](const candidate &item) { return item.own; });
    return own != from.end() && cheaper(*own, from[best]) ? own->number : from[best].number;
}

/// Draws one of the targets in this failure domain, weighted by capacity.
std::optional<std::size_t> target_selector::draw_same_domain(const std::vector<candidate> &from,
                                                             const std::string &route) {
    std::vector<double> weights;
    bool any = false;
    for (const candidate &item : from) {
        const auto found = m_targets.find(item.number);
        weights.push_back(
            item.near ? capacity(found == m_targets.end() ? nullptr : &found->second, route) : 0);
        any = any || item.near;
    }
    if (!any) {
        return std::nullopt;
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
}

double target_selector::cost(const candidate &item, const request_shape &shape, instant now) const {
    duration time = estimate(item.number, shape.route, now);
    const auto found = m_targets.find(item.number);
    if (shape.large_body && !item.own && found != m_targets.end()) {
        time += found->second.load.body_wait;
    }
    const auto count = static_cast<double>(time.count());
    return item.near ? count : count * m_options.remote_cost_factor;
}

void target_selector::record_sent(target_number number) {
    ++m_targets[number].outstanding;
}

void target_selector::record_outcome(target_number number, call_outcome result, instant now) {
    const auto found = m_targets.find(number);
    if (found == m_targets.end()) {
        return;
    }
    state &known = found->second;
    known.outstanding -= known.outstanding > 0 ? 1 : 0;
    known.at_report -= known.at_report > 0 ? 1 : 0;
    if (result == call_outcome::served) {
        known.failures = 0;
        known.ejections = 0;
        known.ejected_until = {};
        return;
    }
    if (++known.failures < m_options.ejection_threshold && result != call_outcome::unreachable) {
        return;
    }
    const duration pause = m_options.base_ejection_time * (1U << std::min(known.ejections, 4U));
    known.ejected_until = now + std::min(pause, m_options.max_ejection_time);
    ++known.ejections;
    known.failures = m_options.ejection_threshold - 1; // the next failure ejects it again
}

void target_selector::record_load(target_number number, const target_load &load, instant now,
                                  const std::string &route) {
    state &known = m_targets[number];
    known.load = load;
    if (load.route_time > duration{}) {
        if (known.by_route.size() >= max_routes) {
            known.by_route.clear(); // includes routes that a newer routing table has removed
        }
        known.by_route[route] = load.route_time;
    }
    known.reported = now;
    known.at_report = known.outstanding;
}

void target_selector::retain(const std::unordered_map<target_number, target_route> &known) {
    std::erase_if(m_targets, [&](const auto &item) {
        return known.count(item.first) == 0 && item.second.outstanding == 0;
    });
}

} // namespace peppertack
