#pragma once

#include "peppertack/coordination/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// How the end of a message's body is told.
enum class body_framing : std::uint8_t { none, length, chunked, until_close };

/// What stands before the body of an HTTP/1.1 message.
struct http_head {
    std::string method; ///< requests only
    std::string target; ///< requests only: path with query
    int status = 0;     ///< responses only
    std::vector<header_field> headers;
    body_framing framing = body_framing::none;
    std::uint64_t content_length = 0; ///< for `body_framing::length`
    bool keep_alive = true;           ///< the sender lets the connection be used again

    /// Value of the first header of that name, without regard to case; null if there is none.
    const std::string *find(std::string_view name) const;
    /// Target without the query.
    std::string_view path() const;
};

/// Names of headers are compared without regard to case. Thread safe.
bool same_header_name(std::string_view a, std::string_view b);
/// Whether a header concerns a single connection and is not passed on: those of the protocol, and
/// those that `Connection` names in `headers`. Thread safe.
bool is_connection_header(std::string_view name, const std::vector<header_field> &headers);
/// The headers of `head` that are passed on. Thread safe.
std::vector<header_field> forwarded_headers(const http_head &head);
void set_header(std::vector<header_field> &headers, std::string_view name, std::string value);
void remove_header(std::vector<header_field> &headers, std::string_view name);

/// Bytes of a head up to and with the blank line. Framing headers are written from `framing` and
/// `content_length`, so `headers` must not hold any. Thread safe.
std::string request_bytes(const http_head &head);
std::string response_bytes(const http_head &head);
/// One piece of a body in chunks; an empty one would end the body. Thread safe.
std::string chunk_bytes(std::string_view piece);
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Standard reason phrase of a status.
std::string_view reason_phrase(int status);
/// Seconds in `Keep-Alive: timeout=N`, if given.
std::optional<int> keep_alive_seconds(const http_head &head);
/// A decimal number without sign or spaces; nothing for anything else. Thread safe.
std::optional<std::uint64_t> parse_decimal(std::string_view text);
/// A decimal number of at least zero, with or without a fraction, and small enough to count with;
/// nothing for anything else. Thread safe.
std::optional<double> parse_number(std::string_view text);
/// A decimal number above zero, with or without a fraction, and small enough to count with; nothing
/// for anything else. Thread safe.
std::optional<double> parse_positive_number(std::string_view text);

} // namespace peppertack
