#pragma once

#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace peppertack {

/// First message on a connection between two processes: who speaks, and proof that it belongs here.
struct hello {
    std::uint16_t version = 1;
    node_address address;
    std::string secret;

    friend bool operator==(const hello &, const hello &) = default;
};

inline constexpr std::uint16_t protocol_version = 1;
/// Frames on a connection are a 4-byte little-endian size and that many bytes of one message.
inline constexpr std::size_t frame_header_size = 4;
inline constexpr std::size_t max_frame_size = 96U << 20U;

using decoded = std::variant<hello, message>;

/// Message bytes without the frame header. Thread safe.
std::string encode(const message &value);
std::string encode(const hello &value);

/// Reads one message. Yields nothing, with the reason, for bytes that are not one, whatever they
/// are: lengths, pointers and enums are all checked. Thread safe.
std::optional<decoded> decode_message(std::string_view bytes, std::string &reason);

/// Header and bytes as they go onto a connection.
std::string frame_of(std::string_view bytes);

} // namespace peppertack
