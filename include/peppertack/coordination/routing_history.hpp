#pragma once

#include "peppertack/state/routing_delta.hpp"

#include <deque>
#include <map>
#include <string>

namespace peppertack {

/// The latest deltas of the routing table, from which nodes are brought up to date incrementally.
/// Not thread safe.
class routing_history {
public:
    /// Records an accepted change; `delta` is in the format of `encode`.
    void record(const std::string &delta);
    /// Returns the compressed delta from the routing table of `version` to `current`, or the full
    /// table if `version` is older than the history. Results are cached, since many nodes request
    /// the same delta right after a change. The reference is valid until the next call.
    const std::string &compressed_since(std::uint64_t version, const routing_table &current);

private:
    routing_delta delta_since(std::uint64_t version, const routing_table &current) const;

    std::deque<routing_delta> m_deltas;                ///< consecutive versions, oldest first
    std::map<std::uint64_t, std::string> m_compressed; ///< by base version
    std::uint64_t m_compressed_version = 0;            ///< version that the cached deltas result in
};

} // namespace peppertack
