#pragma once

#include "peppertack/state/sheet_delta.hpp"

#include <deque>
#include <map>
#include <string>

namespace peppertack {

/// The latest changes of the routing sheet, from which each node is told what it lacks. Not thread
/// safe.
class sheet_history {
public:
    /// A change was accepted: `delta` as `encode` wrote it.
    void note(const std::string &delta);
    /// What leads a node from the sheet of `version` to `current`, packed; the whole of it if the
    /// node's is older than what is remembered. Many nodes ask for the same right after a change.
    const std::string &packed_since(std::uint64_t version, const routing_sheet &current);

private:
    sheet_delta delta_since(std::uint64_t version, const routing_sheet &current) const;

    std::deque<sheet_delta> m_deltas;              ///< each changes what the one before results in
    std::map<std::uint64_t, std::string> m_packed; ///< by the version that it leads from
    std::uint64_t m_packed_to = 0;
};

} // namespace peppertack
