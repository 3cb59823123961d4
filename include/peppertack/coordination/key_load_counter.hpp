#pragma once

#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace peppertack {

/// Counts what the target beside a node is asked for, by ordered key, and puts it into the node's
/// reports: load of each range, where a heavy one is to be cut, busiest keys. Not thread safe.
class key_load_counter {
public:
    void count(std::uint32_t key) { ++m_requests[key]; }
    void clear() { m_requests.clear(); }
    /// Adds what was counted in the last `seconds` to a renewal and begins anew. `capacity`:
    /// requests a second that the target usually does.
    void report(renew_request &request, const std::vector<lease_client::own_range> &ranges,
                double capacity, double seconds);

private:
    range_load load_of(const lease_client::own_range &range, double capacity, double seconds) const;
    std::vector<hot_key> busiest(double seconds) const;

    std::map<std::uint32_t, std::uint32_t> m_requests; ///< by key, since the last report
};

} // namespace peppertack
