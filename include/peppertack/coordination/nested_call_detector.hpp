#pragma once

#include "peppertack/state/routing_table.hpp"
#include "peppertack/state/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Distinguishes nested calls, which running requests make, from direct requests of callers.
///
/// Rejecting a nested call fails its parent request after the parent's target has worked on it,
/// whereas the caller of a direct request can retry. Calls carry no marker, so a route is
/// classified as one of nested calls when a single service requests it while other services request
/// other routes of this target. Not thread safe.
class nested_call_detector {
public:
    /// Records a request on `route` that was sent by a target of the service `caller`, or by a
    /// caller beside such a target.
    void record(const std::string &route, const std::string &caller, instant now);
    /// The service whose running requests use the route; none if callers use it too, or too few
    /// requests were recorded.
    std::optional<std::string> calling_service(const std::string &route) const;
    /// Priority of the least urgent requests that make calls on the route, 0 being the most urgent;
    /// none if it is not a route of nested calls.
    std::optional<int> parent_priority(const std::string &route, const routing_table &routing);

private:
    using counts = std::map<std::string, double>; ///< by service of the caller
    void decay(instant now);
    int least_urgent_at(const std::string &service, const routing_table &routing);

    std::map<std::string, counts> m_routes;
    instant m_decayed{};
    std::map<std::string, int>
        m_least_urgent; ///< priority by service, in routing table version `m_routing`
    std::uint64_t m_routing = 0;
};

} // namespace peppertack
