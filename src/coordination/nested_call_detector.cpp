#include "peppertack/coordination/nested_call_detector.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Counts are halved at this interval, since a new routing table may change who uses a route.
constexpr std::chrono::seconds decay_interval(5);
/// With fewer requests a single sender may be coincidence.
constexpr double min_requests = 20;
/// Minimum share of other services among the requests for other routes: where only one service
/// sends requests, nested calls can't be distinguished.
constexpr double min_share_of_others = 0.2;
/// Tolerated share of other senders: a route of calls may be requested occasionally to see which
/// routing table is in force.
constexpr double max_stray_share = 0.02;

double total(const std::map<std::string, double> &counts) {
    double sum = 0;
    for (const auto &[service, count] : counts) {
        sum += count;
    }
    return sum;
}

double count_of(const std::map<std::string, double> &counts, const std::string &service) {
    const auto found = counts.find(service);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

void nested_call_detector::decay(instant now) {
    if (now < m_decayed + decay_interval) {
        return;
    }
    m_decayed = now;
    for (auto &[route, callers] : m_routes) {
        for (auto &[service, count] : callers) {
            count /= 2;
        }
        std::erase_if(callers, [](const auto &item) { return item.second < 0.5; });
    }
    std::erase_if(m_routes, [](const auto &item) { return item.second.empty(); });
}

void nested_call_detector::record(const std::string &route, const std::string &caller,
                                  instant now) {
    decay(now);
    m_routes[route][caller] += 1;
}

std::optional<std::string> nested_call_detector::calling_service(const std::string &route) const {
    const auto own = m_routes.find(route);
    if (own == m_routes.end()) {
        return std::nullopt;
    }
    const auto most =
        std::max_element(own->second.begin(), own->second.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    const double all = total(own->second);
    if (all < min_requests || all - most->second > max_stray_share * all) {
        return std::nullopt;
    }
    double elsewhere = 0;
    double same_caller = 0;
    for (const auto &[name, callers] : m_routes) {
        elsewhere += name == route ? 0 : total(callers);
        same_caller += name == route ? 0 : count_of(callers, most->first);
    }
    const bool others_ask =
        elsewhere >= min_requests && elsewhere - same_caller >= min_share_of_others * elsewhere;
    return others_ask ? std::optional(most->first) : std::nullopt;
}

int nested_call_detector::least_urgent_at(const std::string &service,
                                          const routing_table &routing) {
    if (m_routing != routing.version) {
        m_routing = routing.version;
        m_least_urgent.clear();
        for (const auto &[name, route] : routing.routes) {
            for (const weighted_service &part : route.split) {
                int &known = m_least_urgent.try_emplace(part.service, 0).first->second;
                known = std::max(known, route.priority);
            }
        }
    }
    const auto found = m_least_urgent.find(service);
    return found == m_least_urgent.end() ? 0 : found->second;
}

std::optional<int> nested_call_detector::parent_priority(const std::string &route,
                                                         const routing_table &routing) {
    const std::optional<std::string> caller = calling_service(route);
    return caller ? std::optional(least_urgent_at(*caller, routing)) : std::nullopt;
}

} // namespace peppertack
