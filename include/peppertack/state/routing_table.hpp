#pragma once

#include "peppertack/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// Whether a request may be sent again when its outcome is unknown.
enum class retry_policy : std::uint8_t {
    idempotent,       ///< may run more than once
    idempotent_large, ///< as `idempotent`, for large answers
    once,             ///< may run at most once per request of a caller
    once_large,       ///< as `once`, for large request bodies
};

/// Whether a request may run more than once. Thread safe.
constexpr bool may_repeat(retry_policy policy) {
    return policy == retry_policy::idempotent || policy == retry_policy::idempotent_large;
}

/// Service that receives a share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1;

    friend bool operator==(const weighted_service &, const weighted_service &) = default;
};

/// Maps requests to services and sets their limits.
struct route {
    std::string name;
    std::string host;        ///< case-insensitive
    std::string path_prefix; ///< begins and ends with a slash
    retry_policy repeat = retry_policy::once;
    duration timeout{};             ///< maximum time until a request is answered
    duration latency_objective{};   ///< a response within it has its full value
    int priority = 0;               ///< 0 is the highest
    std::uint32_t max_attempts = 1; ///< targets to which one request is sent, including the first
    std::vector<weighted_service> split;
    /// Source text of this row as the operator submitted it, returned unchanged when the routing
    /// table is read.
    std::string source;

    friend bool operator==(const route &, const route &) = default;
};

/// How the targets of a keyed service are notified of the keys that they hold.
enum class hold_delivery : std::uint8_t {
    by_heartbeat, ///< in the response to each heartbeat
    by_call,      ///< by calls from the target's node
    unknown,      ///< unsupported method; the targets get no keys
};

/// Service to which routes refer.
struct routed_service {
    std::string name;
    bool keyed = false; ///< each target owns a part of the keys, which are ordered numbers
    hold_delivery delivery = hold_delivery::by_heartbeat; ///< where `keyed`
    std::uint32_t max_connections = 0; ///< per target, over all callers; 0: unlimited
    std::string health_path;
    duration cold_start{}; ///< how long a target is cold after its start
    /// Requests per second that a cold target tolerates, over all callers; 0: unlimited.
    double cold_rate = 0;
    std::string source; ///< as in `route`

    friend bool operator==(const routed_service &, const routed_service &) = default;
};

/// Limits on requests from callers.
struct caller_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 64U << 20U;
    duration header_timeout = std::chrono::seconds(3); ///< until a request head is complete
    duration idle_timeout = std::chrono::seconds(15);  ///< of a connection between requests
    std::string source;                                ///< as in `route`

    friend bool operator==(const caller_limits &, const caller_limits &) = default;
};

/// Routes, the services to which they refer, and request limits, as set by operators. Immutable
/// once constructed.
struct routing_table {
    std::uint64_t version = 0;           ///< set by operators; increasing, with gaps; 0: none
    std::map<std::string, route> routes; ///< by name
    std::map<std::string, routed_service> services; ///< by name
    caller_limits limits;

    friend bool operator==(const routing_table &, const routing_table &) = default;
};

/// Validation error of a routing table, with its location.
struct routing_problem {
    std::string place;
    std::string reason;

    friend bool operator==(const routing_problem &, const routing_problem &) = default;
};

/// Returns the first validation error; nullopt if the routing table is valid. Thread safe.
std::optional<routing_problem> check_routing_table(const routing_table &routing);

/// Finds the route of a request; built once per routing table. Immutable, thread safe.
class route_index {
public:
    route_index() = default;
    explicit route_index(const routing_table &routing);

    /// Route of `host` (a port is ignored) with the longest path prefix that matches `path`; null
    /// if there is none. Valid for the lifetime of this index.
    const route *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<route>, std::less<>> m_by_host; ///< longest prefix first
};

} // namespace peppertack
