#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peppertack {

/// One decision as an auditor reads it. `hash` covers every other field and the previous hash, so
/// a record that was changed, removed or inserted later breaks the chain.
struct audit_record {
    std::uint64_t sequence = 0; ///< 1 for the first record; without gaps
    std::uint64_t log_index = 0;
    std::int64_t wall_ms = 0;
    std::string kind;
    std::string actor;
    std::string cause;
    std::string subject; ///< target, range or table the decision is about
    std::string before;
    std::string after;
    std::string previous_hash; ///< SHA-256 in hex; empty for the first record
    std::string hash;

    friend bool operator==(const audit_record &, const audit_record &) = default;
};

/// End of the chain so far.
struct audit_head {
    std::uint64_t sequence = 0;
    std::string hash;

    friend bool operator==(const audit_head &, const audit_head &) = default;
};

/// SHA-256 in hex over the fields of `record` but `hash`. Thread safe.
std::string audit_hash(const audit_record &record);

/// One JSON line without a line end.
std::string encode(const audit_record &record);
std::optional<audit_record> decode_audit(std::string_view line, std::string &reason);

/// Checks that `record` follows `head` and moves the head on. False, with the reason, if not.
bool extend_chain(audit_head &head, const audit_record &record, std::string &reason);

} // namespace peppertack
