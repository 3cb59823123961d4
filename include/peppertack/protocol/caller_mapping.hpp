#pragma once

#include "peppertack/coordination/messages.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

namespace header {
inline constexpr const char *repeatable = "Peppertack-Repeatable";
inline constexpr const char *deadline_ms = "Peppertack-Deadline-Ms";
inline constexpr const char *outcome = "Peppertack-Outcome";
inline constexpr const char *owner = "Peppertack-Owner";
inline constexpr const char *owner_address = "Peppertack-Owner-Address";
inline constexpr const char *token = "Peppertack-Token";
inline constexpr const char *idempotency_key = "Idempotency-Key";
inline constexpr const char *retry_after = "Retry-After";
} // namespace header

struct mapping_limits {
    std::size_t key_bytes = 1024;
    std::size_t idempotency_key_bytes = 256;
    duration default_deadline = std::chrono::seconds(5);
    duration longest_deadline = std::chrono::seconds(60);
};

/// Why a caller's request was not taken.
struct mapping_fault {
    error_kind kind = error_kind::malformed_request;
    std::string detail;
};

/// Reads `/s/{service}/k/{key}[/rest][?query]`. `raw_path` is the request target as received, still
/// percent-encoded, with its query. Headers that belong to one connection are left out. Yields
/// nothing, with the fault, for a request that can't be taken. Thread safe.
std::optional<caller_request> map_request(std::string_view method, std::string_view raw_path,
                                          std::vector<header_field> headers, body_bytes body,
                                          const mapping_limits &limits, mapping_fault &fault);

/// GET, HEAD, PUT, DELETE and OPTIONS may be run again without harm (RFC 9110, 9.2.2).
bool method_is_repeatable(std::string_view method);

/// Headers that belong to one connection and are never passed on (RFC 9110, 7.6.1).
bool is_connection_header(std::string_view name);

/// Equal but for the case of ASCII letters.
bool same_header(std::string_view a, std::string_view b);

} // namespace peppertack
