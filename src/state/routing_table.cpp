#include "peppertack/state/routing_table.hpp"

#include <algorithm>
#include <cctype>

namespace peppertack {

namespace {

/// A latency objective above its route's timeout by this much is taken as a mistake.
constexpr duration max_objective_excess = std::chrono::minutes(1);

std::string lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string_view without_port(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    const bool address_in_brackets = !host.empty() && host.back() == ']';
    return colon == std::string_view::npos || address_in_brackets ? host : host.substr(0, colon);
}

std::optional<std::string> find_fault(const route &item, const routing_table &routing) {
    const std::string &prefix = item.path_prefix;
    if (item.host.empty()) {
        return "has no host";
    }
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
        return "path prefix \"" + prefix + "\" does not begin and end with a slash";
    }
    if (item.timeout <= duration{}) {
        return "timeout is not above 0";
    }
    if (item.latency_objective >= item.timeout + max_objective_excess) {
        return "latency objective is a minute or more above the timeout";
    }
    double weight = 0;
    for (const weighted_service &part : item.split) {
        if (routing.services.count(part.service) == 0) {
            return "names the unknown service \"" + part.service + "\"";
        }
        if (part.weight < 0) {
            return "weight of " + part.service + " is below 0";
        }
        weight += part.weight;
    }
    if (weight <= 0) {
        return "weights add up to 0";
    }
    return std::nullopt;
}

} // namespace

std::optional<routing_problem> check_routing_table(const routing_table &routing) {
    for (const auto &[name, item] : routing.routes) {
        if (const auto fault = find_fault(item, routing)) {
            return routing_problem{"route " + name, *fault};
        }
    }
    return std::nullopt;
}

route_index::route_index(const routing_table &routing) {
    for (const auto &[name, item] : routing.routes) {
        m_by_host[lower(item.host)].push_back(item);
    }
    for (auto &[host, routes] : m_by_host) {
        std::stable_sort(routes.begin(), routes.end(), [](const route &a, const route &b) {
            return a.path_prefix.size() > b.path_prefix.size();
        });
    }
}

const route *route_index::find(std::string_view host, std::string_view path) const {
    const auto found = m_by_host.find(lower(without_port(host)));
    if (found == m_by_host.end()) {
        return nullptr;
    }
    const std::vector<route> &routes = found->second;
    const auto place = std::find_if(routes.begin(), routes.end(), [path](const route &item) {
        return path.substr(0, item.path_prefix.size()) == item.path_prefix;
    });
    return place == routes.end() ? nullptr : &*place;
}

} // namespace peppertack
