#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peppertack {

/// Position of `key` in the 64-bit key space of a service. Must stay stable across versions and
/// machines, because range bounds in the durable log refer to it. Thread safe.
std::uint64_t key_hash(std::string_view key);

/// Ordered keys are the integers from 0 to `max_ordered_key`. Each occupies an equal part of the
/// 64-bit key space, so that adjacent keys stay adjacent and ranges work as on hashes.
inline constexpr std::uint32_t max_ordered_key = 65535;
inline constexpr std::uint64_t ordered_key_stride = 1ULL << 48U;
static_assert((max_ordered_key + 1ULL) * (ordered_key_stride >> 32U) == 1ULL << 32U,
              "ordered keys fill the key space");

/// Position of the ordered key `number` in the key space. Precondition: at most `max_ordered_key`.
constexpr std::uint64_t ordered_key_hash(std::uint32_t number) {
    return number * ordered_key_stride;
}
/// The ordered key at or before a position in the key space.
constexpr std::uint32_t ordered_key_at(std::uint64_t hash) {
    return static_cast<std::uint32_t>(hash / ordered_key_stride);
}

/// Fingerprint of a request's method, path and body. Equal for identical requests; distinguishes a
/// resend from a different request that reuses an idempotency key. Thread safe.
std::uint64_t request_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body);
/// Formats a fingerprint as 16 hexadecimal digits, as used in logs and operator calls. Thread safe.
std::string fingerprint_text(std::uint64_t fingerprint);
/// Parses the output of `fingerprint_text`; nullopt for any other input. Thread safe.
std::optional<std::uint64_t> parse_fingerprint(std::string_view text);

} // namespace peppertack
