#pragma once

#include "peppertack/state/crash_history.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Requests suspected of crashing targets, as last received from the leader. Not thread safe.
class suspect_list {
public:
    /// Version of the list; zero before the first.
    std::uint64_t version() const { return m_version; }
    void replace(std::uint64_t version, const std::vector<suspect_request> &all);
    /// Whether targets have ended while running the request.
    bool suspects(std::uint64_t fingerprint) const { return m_all.count(fingerprint) != 0; }
    /// Whether the request must not reach a target.
    bool is_quarantined(std::uint64_t fingerprint) const;
    std::size_t size() const { return m_all.size(); }
    std::size_t quarantined() const;

private:
    std::uint64_t m_version = 0;
    std::unordered_map<std::uint64_t, bool> m_all; ///< by fingerprint: quarantined
};

} // namespace peppertack
