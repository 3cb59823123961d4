#pragma once

#include "peppertack/state/routing_table.hpp"
#include "peppertack/state/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Tells nested calls, which running requests make, from requests of callers.
///
/// A rejected call fails the request that made it after its target has worked on it, so it has to
/// be told from a direct request, whose caller can come back. Calls bear no mark: a route is one of
/// nested calls when a single service asks for it, while others ask for other routes here. Not
/// thread safe.
class nested_call_detector {
public:
    /// A request on `route` came, which the target or a caller beside a target of `caller` sent.
    void note(const std::string &route, const std::string &caller, instant now);
    /// The service whose running requests ask for the route; nothing if callers ask for it too, or
    /// too little is known.
    std::optional<std::string> calling_service(const std::string &route) const;
    /// Priority of the least urgent requests that make calls on the route, 0 for the most urgent;
    /// nothing if it is not one of nested calls.
    std::optional<int> parent_priority(const std::string &route, const routing_table &routing);

private:
    using counts = std::map<std::string, double>; ///< by service of the caller
    void fade(instant now);
    int least_urgent_at(const std::string &service, const routing_table &routing);

    std::map<std::string, counts> m_routes;
    instant m_faded{};
    std::map<std::string, int>
        m_least_urgent; ///< of a service's routes, in the routing table below
    std::uint64_t m_routing = 0;
};

} // namespace peppertack
