#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peppertack {

/// Audit record of one committed command. `hash` covers all other fields including the previous
/// hash, so modifying, removing or inserting a record later breaks the chain.
struct audit_record {
    std::uint64_t sequence = 0; ///< starts at 1, without gaps
    std::uint64_t log_index = 0;
    std::int64_t wall_ms = 0;
    std::string kind;
    std::string actor;
    std::string cause;
    std::string subject; ///< target, range or table that the command changed
    std::string before;
    std::string after;
    std::string previous_hash; ///< SHA-256 in hex; empty for the first record
    std::string hash;

    friend bool operator==(const audit_record &, const audit_record &) = default;
};

/// Sequence number and hash of the last record of the chain.
struct audit_head {
    std::uint64_t sequence = 0;
    std::string hash;

    friend bool operator==(const audit_head &, const audit_head &) = default;
};

/// SHA-256 in hex over all fields of `record` except `hash`. Thread safe.
std::string audit_hash(const audit_record &record);

/// Encodes the record as one JSON line, without a line terminator.
std::string encode(const audit_record &record);
std::optional<audit_record> decode_audit(std::string_view line, std::string &reason);

/// Verifies that `record` follows `head` and advances `head` to it. Returns false and sets `reason`
/// otherwise.
bool extend_chain(audit_head &head, const audit_record &record, std::string &reason);

} // namespace peppertack
