#include "peppertack/state/routing_delta.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr int routing_version = 1;

/// Rows of `to` that are missing from `from` or differ.
template <class Row>
std::map<std::string, Row> changed_rows(const std::map<std::string, Row> &from,
                                        const std::map<std::string, Row> &to) {
    std::map<std::string, Row> result;
    std::copy_if(to.begin(), to.end(), std::inserter(result, result.end()), [&](const auto &item) {
        const auto known = from.find(item.first);
        return known == from.end() || known->second != item.second;
    });
    return result;
}

template <class Row>
std::set<std::string> removed_rows(const std::map<std::string, Row> &from,
                                   const std::map<std::string, Row> &to) {
    std::set<std::string> result;
    for (const auto &[name, row] : from) {
        if (to.count(name) == 0) {
            result.insert(name);
        }
    }
    return result;
}

template <class Row>
void replace_rows(std::map<std::string, Row> &rows, const std::set<std::string> &removed,
                  const std::map<std::string, Row> &changed) {
    for (const std::string &name : removed) {
        rows.erase(name);
    }
    for (const auto &[name, row] : changed) {
        rows.insert_or_assign(name, row);
    }
}

template <class Row> nlohmann::json list_of(const std::map<std::string, Row> &rows) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, row] : rows) {
        list.push_back(row);
    }
    return list;
}

template <class Row> std::map<std::string, Row> rows_of(const nlohmann::json &list) {
    std::map<std::string, Row> rows;
    for (const nlohmann::json &item : list) {
        auto row = item.get<Row>();
        std::string name = row.name;
        rows.insert_or_assign(std::move(name), std::move(row));
    }
    return rows;
}

} // namespace

NLOHMANN_JSON_SERIALIZE_ENUM(retry_policy, {{retry_policy::idempotent, "idempotent"},
                                            {retry_policy::idempotent_large, "idempotent_large"},
                                            {retry_policy::once, "once"},
                                            {retry_policy::once_large, "once_large"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(weighted_service, service, weight)
NLOHMANN_JSON_SERIALIZE_ENUM(hold_delivery, {{hold_delivery::unknown, "unknown"},
                                             {hold_delivery::by_heartbeat, "by_heartbeat"},
                                             {hold_delivery::by_call, "by_call"}})

static void to_json(nlohmann::json &json, const routed_service &item) {
    json = {{"name", item.name},
            {"keyed", item.keyed},
            {"delivery", item.delivery},
            {"max_connections", item.max_connections},
            {"health_path", item.health_path},
            {"cold_start_us", item.cold_start.count()},
            {"cold_rate", item.cold_rate},
            {"source", item.source}};
}

static void from_json(const nlohmann::json &json, routed_service &item) {
    json.at("name").get_to(item.name);
    json.at("keyed").get_to(item.keyed);
    // Logs of earlier versions lack the field; those versions supported only heartbeats.
    item.delivery = json.value("delivery", hold_delivery::by_heartbeat);
    json.at("max_connections").get_to(item.max_connections);
    json.at("health_path").get_to(item.health_path);
    // Logs of earlier versions lack these fields: those versions set no limit.
    item.cold_start = duration(json.value("cold_start_us", std::int64_t{0}));
    item.cold_rate = json.value("cold_rate", 0.0);
    json.at("source").get_to(item.source);
}

static void to_json(nlohmann::json &json, const route &item) {
    json = {{"name", item.name},
            {"host", item.host},
            {"path_prefix", item.path_prefix},
            {"repeat", item.repeat},
            {"timeout_us", item.timeout.count()},
            {"latency_objective_us", item.latency_objective.count()},
            {"priority", item.priority},
            {"most_attempts", item.max_attempts},
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
    json.at("most_attempts").get_to(item.max_attempts);
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

routing_delta difference(const routing_table &from, const routing_table &to) {
    routing_delta delta{.base_version = from.version, .version = to.version};
    delta.routes = changed_rows(from.routes, to.routes);
    delta.services = changed_rows(from.services, to.services);
    delta.removed_routes = removed_rows(from.routes, to.routes);
    delta.removed_services = removed_rows(from.services, to.services);
    if (from.limits != to.limits || from.version == 0) {
        delta.limits = to.limits;
    }
    return delta;
}

std::optional<routing_table> apply(const routing_table &routing, const routing_delta &delta) {
    if (delta.base_version != 0 && delta.base_version != routing.version) {
        return std::nullopt;
    }
    routing_table next = delta.base_version == 0 ? routing_table{} : routing;
    next.version = delta.version;
    replace_rows(next.routes, delta.removed_routes, delta.routes);
    replace_rows(next.services, delta.removed_services, delta.services);
    next.limits = delta.limits.value_or(next.limits);
    return next;
}

routing_delta join(const routing_delta &first, const routing_delta &second) {
    routing_delta both = first;
    both.version = second.version;
    replace_rows(both.routes, second.removed_routes, second.routes);
    replace_rows(both.services, second.removed_services, second.services);
    // A row that is removed and added again is in both sets; removals are applied first.
    both.removed_routes.insert(second.removed_routes.begin(), second.removed_routes.end());
    both.removed_services.insert(second.removed_services.begin(), second.removed_services.end());
    both.limits = second.limits ? second.limits : both.limits;
    return both;
}

routing_delta without_sources(routing_delta delta) {
    for (auto &[name, row] : delta.routes) {
        row.source.clear();
    }
    for (auto &[name, row] : delta.services) {
        row.source.clear();
    }
    if (delta.limits) {
        delta.limits->source.clear();
    }
    return delta;
}

std::string encode(const routing_delta &delta) {
    nlohmann::json json{{"v", routing_version},
                        {"base", delta.base_version},
                        {"version", delta.version},
                        {"routes", list_of(delta.routes)},
                        {"services", list_of(delta.services)},
                        {"removed_routes", delta.removed_routes},
                        {"removed_services", delta.removed_services}};
    if (delta.limits) {
        json["limits"] = *delta.limits;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<routing_delta> decode_delta(std::string_view text, std::string &reason) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        if (json.at("v").get<int>() != routing_version) {
            reason = "routing table version " + json.at("v").dump() + " is not supported";
            return std::nullopt;
        }
        // Complete routing tables written by earlier versions have no base version.
        routing_delta delta{.base_version = json.value("base", std::uint64_t{0})};
        json.at("version").get_to(delta.version);
        delta.routes = rows_of<route>(json.at("routes"));
        delta.services = rows_of<routed_service>(json.at("services"));
        delta.removed_routes = json.value("removed_routes", delta.removed_routes);
        delta.removed_services = json.value("removed_services", delta.removed_services);
        if (json.contains("limits")) {
            delta.limits = json.at("limits").get<caller_limits>();
        }
        return delta;
    } catch (const nlohmann::json::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}

std::string encode(const routing_table &routing) {
    return encode(difference({}, routing));
}

std::optional<routing_table> decode_routing_table(std::string_view text, std::string &reason) {
    const std::optional<routing_delta> delta = decode_delta(text, reason);
    return delta ? apply({}, *delta) : std::nullopt;
}

} // namespace peppertack
