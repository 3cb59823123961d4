#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace peppertack {

/// Percent encoding of RFC 3986. What is encoded holds no separator, space or control character,
/// whatever the text was. Thread safe, as both functions here.
std::string percent_encoded(std::string_view text);
/// Yields nothing for a broken encoding.
std::optional<std::string> percent_decoded(std::string_view text);

} // namespace peppertack
