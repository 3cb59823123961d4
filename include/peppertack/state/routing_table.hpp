#pragma once

#include "peppertack/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// What may be done with a request whose outcome is unknown.
enum class retry_policy : std::uint8_t {
    idempotent, ///< may run more than once
    once,       ///< may run at most once for each request of a caller
    once_large, ///< as `once`; bodies are large
};

/// One of the services over which a route is split.
struct weighted_service {
    std::string service;
    double weight = 1;

    friend bool operator==(const weighted_service &, const weighted_service &) = default;
};

/// Which requests go to which service, and under which limits.
struct route {
    std::string name;
    std::string host;        ///< compared without regard to case
    std::string path_prefix; ///< begins and ends with a slash
    retry_policy repeat = retry_policy::once;
    duration timeout{};             ///< longest time that a request is kept waiting
    duration latency_objective{};   ///< an answer within it earns its full worth
    int priority = 0;               ///< 0 is the most urgent
    std::uint32_t max_attempts = 1; ///< most targets to which one request is sent
    std::vector<weighted_service> split;
    /// The operator's own text of this row, returned as it was given when the routing table is read
    /// back.
    std::string source;

    friend bool operator==(const route &, const route &) = default;
};

/// How the targets of a keyed service are told which keys they hold.
enum class hold_delivery : std::uint8_t {
    by_heartbeat, ///< in the answer to each of their heartbeats
    by_call,      ///< by calls that the node beside the target makes
    unknown,      ///< in a way that this program does not know: they are given none
};

/// A service that routes name.
struct routed_service {
    std::string name;
    bool keyed = false; ///< each target owns a part of the keys, which are ordered numbers
    hold_delivery delivery = hold_delivery::by_heartbeat; ///< where `keyed`
    std::uint32_t max_connections = 0; ///< to one target, from all callers; 0: not bounded
    std::string health_path;
    std::string source; ///< as in `route`

    friend bool operator==(const routed_service &, const routed_service &) = default;
};

/// Bounds on what a caller may send.
struct caller_limits {
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 64U << 20U;
    duration header_timeout = std::chrono::seconds(3); ///< for a request head to be complete
    duration idle_timeout = std::chrono::seconds(15);  ///< of a connection between requests
    std::string source;                                ///< as in `route`

    friend bool operator==(const caller_limits &, const caller_limits &) = default;
};

/// What operators say of routes, the services they name and limits of requests. An immutable value
/// once made.
struct routing_table {
    std::uint64_t version = 0; ///< chosen by operators; grows in uneven steps; 0: none yet
    std::map<std::string, route> routes;            ///< by name
    std::map<std::string, routed_service> services; ///< by name
    caller_limits limits;

    friend bool operator==(const routing_table &, const routing_table &) = default;
};

/// Why a routing table can't be taken: the place in it and what is wrong there.
struct routing_problem {
    std::string place;
    std::string reason;

    friend bool operator==(const routing_problem &, const routing_problem &) = default;
};

/// First fault of a routing table; nothing if it may be put in force. Thread safe.
std::optional<routing_problem> check_routing_table(const routing_table &routing);

/// Answers which route takes a request; made once for each routing table. Immutable, thread safe.
class route_index {
public:
    route_index() = default;
    explicit route_index(const routing_table &routing);

    /// The route of `host` (a port is ignored) with the longest prefix that begins `path`; null if
    /// there is none. Valid as long as this index.
    const route *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<route>, std::less<>> m_by_host; ///< longest prefix first
};

} // namespace peppertack
