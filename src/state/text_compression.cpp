#include "peppertack/state/text_compression.hpp"

#include <array>
#include <zlib.h>

namespace peppertack {

namespace {

/// Gives most of the size reduction in a fifth of the time of zlib's default level.
constexpr int level = 1;
constexpr std::size_t step = 16U << 10U;

} // namespace

std::string compress_text(std::string_view text) {
    uLongf size = compressBound(text.size());
    std::string compressed(size, '\0');
    const int result = compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                                 reinterpret_cast<const Bytef *>(text.data()), text.size(), level);
    compressed.resize(result == Z_OK ? size : 0);
    return compressed;
}

std::optional<std::string> decompress_text(std::string_view compressed, std::size_t max_bytes) {
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(compressed.data()));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string text;
    std::array<char, step> piece{};
    int result = Z_OK;
    while (result == Z_OK && text.size() <= max_bytes) {
        stream.next_out = reinterpret_cast<Bytef *>(piece.data());
        stream.avail_out = static_cast<uInt>(piece.size());
        result = inflate(&stream, Z_NO_FLUSH);
        text.append(piece.data(), piece.size() - stream.avail_out);
    }
    const bool whole = result == Z_STREAM_END && stream.avail_in == 0;
    inflateEnd(&stream);
    return whole && text.size() <= max_bytes ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace peppertack
