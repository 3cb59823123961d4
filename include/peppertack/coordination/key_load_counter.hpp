#pragma once

#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace peppertack {

/// Counts the requests to the target beside a node by ordered key, and adds to the node's reports
/// the load of each range, split points of heavily loaded ranges and the busiest keys. Not thread
/// safe.
class key_load_counter {
public:
    void count(std::uint32_t key) { ++m_requests[key]; }
    void clear() { m_requests.clear(); }
    /// Adds the counts of the last `seconds` to a renewal and resets them. `capacity` is the usual
    /// throughput of the target in requests per second.
    void report(renew_request &request, const std::vector<lease_client::own_range> &ranges,
                double capacity, double seconds);

private:
    range_load load_of(const lease_client::own_range &range, double capacity, double seconds) const;
    std::vector<hot_key> busiest(double seconds) const;

    std::map<std::uint32_t, std::uint32_t> m_requests; ///< by key, since the last report
};

} // namespace peppertack
