#pragma once

#include <string_view>

namespace peppertack {

/// Whether a response may have this status: those of RFC 9110, 15, but for 101, which ends HTTP on
/// a connection and which no request of this system asks for. Thread safe.
bool is_response_status(int status);
/// Whether it is also the status of a final response, not of an interim one. Thread safe.
bool is_final_status(int status);
/// Whether a field may have this name, a token by RFC 9110, 5.6.2. Thread safe.
bool is_field_name(std::string_view name);

} // namespace peppertack
