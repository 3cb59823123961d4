#include "percent_code.hpp"

namespace peppertack {

namespace {

constexpr std::string_view hex_digits = "0123456789ABCDEF";
constexpr std::string_view unreserved_marks = "-._~";

int hex_value(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

bool unreserved(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           unreserved_marks.find(c) != std::string_view::npos;
}

} // namespace

std::string percent_encoded(std::string_view text) {
    std::string result;
    result.reserve(text.size());
    for (const char c : text) {
        if (unreserved(c)) {
            result += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        result += '%';
        result += hex_digits[byte >> 4U];
        result += hex_digits[byte & 0xFU];
    }
    return result;
}

std::optional<std::string> percent_decoded(std::string_view text) {
    std::string result;
    result.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        if (i + 2 >= text.size()) {
            return std::nullopt;
        }
        const int high = hex_value(text[i + 1]);
        const int low = hex_value(text[i + 2]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        result += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return result;
}

} // namespace peppertack
