#pragma once

#include "peppertack/state/audit_record.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace peppertack {

/// One decision that concerned the range of a key.
struct key_event {
    std::uint64_t sequence = 0;
    std::int64_t wall_ms = 0;
    std::string kind;
    std::string actor;
    std::string cause;
    std::string owner; ///< name of the owner after it; empty: none
    std::uint64_t token = 0;
};

struct key_history {
    std::string owner; ///< owner at the moment asked for; empty: none
    std::uint64_t token = 0;
    std::uint64_t table_version = 0;
    bool complete = true; ///< the records held begin with the first and have no gap
    std::vector<key_event> events;
};

/// What the audit records say of the key with `hash` up to `until_ms` of wall time, by replaying
/// them in order. Thread safe.
key_history history_of_key(const std::vector<audit_record> &records, const std::string &service,
                           std::uint64_t hash, std::int64_t until_ms);

} // namespace peppertack
