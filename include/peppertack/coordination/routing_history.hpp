#pragma once

#include "peppertack/state/routing_delta.hpp"

#include <deque>
#include <map>
#include <string>

namespace peppertack {

/// The latest changes of the routing table, from which each node is told what it lacks. Not thread
/// safe.
class routing_history {
public:
    /// A change was accepted: `delta` as `encode` wrote it.
    void record(const std::string &delta);
    /// What leads a node from the routing table of `version` to `current`, packed; the whole of it
    /// if the node's is older than what is remembered. Many nodes ask for the same right after a
    /// change.
    const std::string &packed_since(std::uint64_t version, const routing_table &current);

private:
    routing_delta delta_since(std::uint64_t version, const routing_table &current) const;

    std::deque<routing_delta> m_deltas;            ///< each changes what the one before results in
    std::map<std::uint64_t, std::string> m_packed; ///< by the version that it leads from
    std::uint64_t m_packed_to = 0;
};

} // namespace peppertack
