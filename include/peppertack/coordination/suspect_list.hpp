#pragma once

#include "peppertack/state/crash_history.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// The requests under which targets have ended, as the leader told a node last. Not thread safe.
class suspect_list {
public:
    /// Version of what is known here; zero before the first.
    std::uint64_t version() const { return m_version; }
    void replace(std::uint64_t version, const std::vector<suspect_request> &all);
    /// Whether targets have ended under the request before.
    bool suspects(std::uint64_t fingerprint) const { return m_all.count(fingerprint) != 0; }
    /// Whether the request must not reach a target.
    bool quarantines(std::uint64_t fingerprint) const;
    std::size_t size() const { return m_all.size(); }
    std::size_t quarantined() const;

private:
    std::uint64_t m_version = 0;
    std::unordered_map<std::uint64_t, bool> m_all; ///< by fingerprint: quarantined
};

} // namespace peppertack
