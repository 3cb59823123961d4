#include "peppertack/state/key_hash.hpp"

#include <charconv>
#include <xxhash.h>

namespace peppertack {

namespace {

constexpr std::size_t fingerprint_digits = 16;

} // namespace

std::uint64_t key_hash(std::string_view key) {
    return XXH3_64bits(key.data(), key.size());
}

std::uint64_t request_fingerprint(std::string_view method, std::string_view path,
                                  std::string_view body) {
    const XXH64_hash_t method_hash = XXH3_64bits(method.data(), method.size());
    const XXH64_hash_t path_hash = XXH3_64bits_withSeed(path.data(), path.size(), method_hash);
    return XXH3_64bits_withSeed(body.data(), body.size(), path_hash);
}

std::string fingerprint_text(std::uint64_t fingerprint) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(fingerprint_digits, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place) {
        *place = digits[fingerprint % digits.size()];
        fingerprint /= digits.size();
    }
    return text;
}

std::optional<std::uint64_t> parse_fingerprint(std::string_view text) {
    constexpr int base = 16;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole && text.size() == fingerprint_digits ? std::optional(value) : std::nullopt;
}

} // namespace peppertack
