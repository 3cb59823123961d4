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
    node_address to; ///< whom the speaker takes the other side for

    friend bool operator==(const hello &, const hello &) = default;
};

inline constexpr std::uint16_t protocol_version = 1;
/// Frames on a connection are a 4-byte little-endian header (size and a mark for packing) and that
/// many bytes of one message.
inline constexpr std::size_t frame_header_size = 4;
inline constexpr std::size_t max_frame_size = 96U << 20U;

using decoded = std::variant<hello, message>;

/// Message bytes without the frame header. Thread safe.
std::string encode(const message &value);
std::string encode(const hello &value);

/// Reads one message. Yields nothing, with the reason, for bytes that are not one, whatever they
/// are: lengths, pointers and enums are all checked. Thread safe.
std::optional<decoded> decode_message(std::string_view bytes, std::string &reason);

/// A frame's header, read. Small messages are packed, which leaves out the zeros that make up half
/// of them; large ones are mostly body and stay as they are.
struct frame_header {
    std::size_t size = 0;
    bool packed = false;
    enum class kind : std::uint8_t { message, ping, pong } what = kind::message;
};

/// Precondition: `bytes` holds `frame_header_size` bytes.
frame_header read_frame_header(const char *bytes);
std::string ping_frame();
std::string pong_frame();

/// A map in the form in which many nodes are sent the same one: deflated, half the size of a packed
/// message. Thread safe.
std::string encode_map(const map_update &value);

/// Header and message as they go onto a connection. Thread safe.
std::string frame_of(const message &value);
std::string frame_of(const hello &value);

/// Reads a packed message; as `decode_message` otherwise.
std::optional<decoded> decode_packed(std::string_view bytes, std::string &reason);

} // namespace peppertack
