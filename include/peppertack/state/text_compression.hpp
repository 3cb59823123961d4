#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace peppertack {

/// Deflates text. A routing table of 1,400 rows shrinks to a tenth, which decides whether a leader
/// behind a link of 170 Mbit/s can tell a hundred nodes of it within a second. Thread safe.
std::string compress_text(std::string_view text);
/// Inflates what `compress_text` made. Yields nothing for anything else, and for text of more than
/// `most` bytes. Thread safe.
std::optional<std::string> decompress_text(std::string_view packed, std::size_t most);

} // namespace peppertack
