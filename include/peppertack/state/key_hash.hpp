#pragma once

#include <cstdint>
#include <string_view>

namespace peppertack {

/// Position of `key` in the 64-bit key space of a service. Stable across versions and machines:
/// range bounds in the durable log refer to it. Thread safe.
std::uint64_t key_hash(std::string_view key);

/// Fingerprint of a request's method, path and body; tells a resend from a different request that
/// reuses an idempotency key. Thread safe.
std::uint64_t request_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body);

} // namespace peppertack
