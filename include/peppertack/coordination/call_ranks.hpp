#pragma once

#include "peppertack/state/routing_sheet.hpp"
#include "peppertack/state/time.hpp"

#include <map>
#include <optional>
#include <string>

namespace peppertack {

/// Ranks calls that running requests make of other targets.
///
/// A refused call fails the request that made it after its target has worked on it, and one that
/// must not run twice is lost for good; a caller that is refused at the door comes back. So a call
/// ranks one step above the requests that make it. By the priority of the call's own route alone
/// 5,300 of 14,800 bookings failed in a minute in which the service that they call had lost two of
/// three targets. Calls bear no mark: a route is one of calls when a single service asks for it,
/// while others ask for other routes here. Not thread safe.
class call_ranks {
public:
    /// A request on `route` came, which the target or a caller beside a target of `caller` sent.
    void note(const std::string &route, const std::string &caller, instant now);
    /// The service whose running requests ask for the route; nothing if callers ask for it too, or
    /// too little is known.
    std::optional<std::string> calling_service(const std::string &route) const;
    /// Priority of the requests that make calls on the route; nothing if it is not one of calls.
    std::optional<int> parent_priority(const std::string &route, const routing_sheet &sheet);
    /// 0 is the most urgent.
    int rank(const std::string &route, int priority, const routing_sheet &sheet);

private:
    using counts = std::map<std::string, double>; ///< by service of the caller
    void fade(instant now);
    int least_urgent_at(const std::string &service, const routing_sheet &sheet);

    std::map<std::string, counts> m_routes;
    instant m_faded{};
    std::map<std::string, int> m_least_urgent; ///< of a service's routes, in the sheet below
    std::uint64_t m_sheet = 0;
};

} // namespace peppertack
