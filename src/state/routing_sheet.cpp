#include "peppertack/state/routing_sheet.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr int sheet_version = 1;
/// A latency objective this far above its route's timeout can't be meant.
constexpr duration objective_slack = std::chrono::minutes(1);

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

std::optional<std::string> fault_of(const route &item, const routing_sheet &sheet) {
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
    if (item.latency_objective >= item.timeout + objective_slack) {
        return "latency objective is a minute or more above the timeout";
    }
    double weight = 0;
    for (const weighted_service &part : item.split) {
        if (sheet.services.count(part.service) == 0) {
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

std::optional<sheet_problem> check_sheet(const routing_sheet &sheet) {
    for (const auto &[name, item] : sheet.routes) {
        if (const auto fault = fault_of(item, sheet)) {
            return sheet_problem{"route " + name, *fault};
        }
    }
    return std::nullopt;
}

NLOHMANN_JSON_SERIALIZE_ENUM(repeat_rule, {{repeat_rule::idempotent, "idempotent"},
                                           {repeat_rule::once, "once"},
                                           {repeat_rule::once_large, "once_large"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(weighted_service, service, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(routed_service, name, keyed, max_connections, health_path,
                                   source)

static void to_json(nlohmann::json &json, const route &item) {
    json = {{"name", item.name},
            {"host", item.host},
            {"path_prefix", item.path_prefix},
            {"repeat", item.repeat},
            {"timeout_us", item.timeout.count()},
            {"latency_objective_us", item.latency_objective.count()},
            {"priority", item.priority},
            {"most_attempts", item.most_attempts},
            {"split", item.split},
            {"source", item.source}};
}

static void from_json(const nlohmann::json &json, route &item) {
    json.at("name").get_to(item.name);
    json.at("host").get_to(item.host);
    json.at("path_prefix").get_to(item.path_prefix);
    json.at("repeat").get_to(item.repeat);
    item.timeout = duration(json.at("timeout_us").get<std::int64_t>());
    item.latency_objective = duration(json.at("latency_objective_us").get<std::int64_t>());
    json.at("priority").get_to(item.priority);
    json.at("most_attempts").get_to(item.most_attempts);
    json.at("split").get_to(item.split);
    json.at("source").get_to(item.source);
}

static void to_json(nlohmann::json &json, const caller_limits &limits) {
    json = {{"header_bytes", limits.header_bytes},
            {"body_bytes", limits.body_bytes},
            {"header_timeout_us", limits.header_timeout.count()},
            {"idle_timeout_us", limits.idle_timeout.count()},
            {"source", limits.source}};
}

static void from_json(const nlohmann::json &json, caller_limits &limits) {
    json.at("header_bytes").get_to(limits.header_bytes);
    json.at("body_bytes").get_to(limits.body_bytes);
    limits.header_timeout = duration(json.at("header_timeout_us").get<std::int64_t>());
    limits.idle_timeout = duration(json.at("idle_timeout_us").get<std::int64_t>());
    json.at("source").get_to(limits.source);
}

std::string encode(const routing_sheet &sheet) {
    nlohmann::json routes = nlohmann::json::array();
    for (const auto &[name, item] : sheet.routes) {
        routes.push_back(item);
    }
    nlohmann::json services = nlohmann::json::array();
    for (const auto &[name, item] : sheet.services) {
        services.push_back(item);
    }
    const nlohmann::json json{{"v", sheet_version},
                              {"version", sheet.version},
                              {"routes", std::move(routes)},
                              {"services", std::move(services)},
                              {"limits", sheet.limits}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<routing_sheet> decode_sheet(std::string_view text, std::string &reason) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        if (json.at("v").get<int>() != sheet_version) {
            reason = "sheet version " + json.at("v").dump() + " is not supported";
            return std::nullopt;
        }
        routing_sheet sheet;
        json.at("version").get_to(sheet.version);
        for (const nlohmann::json &item : json.at("routes")) {
            auto value = item.get<route>();
            sheet.routes[value.name] = std::move(value);
        }
        for (const nlohmann::json &item : json.at("services")) {
            auto value = item.get<routed_service>();
            sheet.services[value.name] = std::move(value);
        }
        json.at("limits").get_to(sheet.limits);
        return sheet;
    } catch (const nlohmann::json::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}

route_index::route_index(const routing_sheet &sheet) {
    for (const auto &[name, item] : sheet.routes) {
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
