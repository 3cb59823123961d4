#include "peppertack/transport/http/http_head.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace peppertack {

namespace {

constexpr std::array<std::string_view, 9> connection_headers{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE", "Trailer", "Upgrade",
    "Expect",     "Transfer-Encoding", "Content-Length"};

struct phrase {
    int status;
    std::string_view text;
};

constexpr std::array<phrase, 20> phrases{{{200, "OK"},
                                          {204, "No Content"},
                                          {307, "Temporary Redirect"},
                                          {400, "Bad Request"},
                                          {401, "Unauthorized"},
                                          {404, "Not Found"},
                                          {405, "Method Not Allowed"},
                                          {408, "Request Timeout"},
                                          {409, "Conflict"},
                                          {412, "Precondition Failed"},
                                          {413, "Content Too Large"},
                                          {421, "Misdirected Request"},
                                          {422, "Unprocessable Content"},
                                          {429, "Too Many Requests"},
                                          {431, "Request Header Fields Too Large"},
                                          {499, "Client Closed Request"},
                                          {500, "Internal Server Error"},
                                          {502, "Bad Gateway"},
                                          {503, "Service Unavailable"},
                                          {504, "Gateway Timeout"}}};

char lower(char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Whether a comma separated list holds `name`.
bool lists(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (same_header_name(trimmed(list.substr(0, comma)), name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

void write_headers(std::string &out, const http_head &head) {
    for (const header_field &field : head.headers) {
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (head.framing == body_framing::length) {
        out.append("Content-Length: ").append(std::to_string(head.content_length)).append("\r\n");
    } else if (head.framing == body_framing::chunked) {
        out.append("Transfer-Encoding: chunked\r\n");
    }
    if (!head.keep_alive) {
        out.append("Connection: close\r\n");
    }
    out.append("\r\n");
}

} // namespace

bool same_header_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return lower(x) == lower(y); });
}

const std::string *http_head::find(std::string_view name) const {
    const auto place = std::find_if(headers.begin(), headers.end(), [&](const header_field &field) {
        return same_header_name(field.name, name);
    });
    return place == headers.end() ? nullptr : &place->value;
}

std::string_view http_head::path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

bool is_connection_header(std::string_view name, const std::vector<header_field> &headers) {
    const bool always =
        std::any_of(connection_headers.begin(), connection_headers.end(),
                    [&](std::string_view known) { return same_header_name(known, name); });
    return always || std::any_of(headers.begin(), headers.end(), [&](const header_field &field) {
               return same_header_name(field.name, "Connection") && lists(field.value, name);
           });
}

std::vector<header_field> forwarded_headers(const http_head &head) {
    std::vector<header_field> result;
    result.reserve(head.headers.size());
    for (const header_field &field : head.headers) {
        if (!is_connection_header(field.name, head.headers)) {
            result.push_back(field);
        }
    }
    return result;
}

void set_header(std::vector<header_field> &headers, std::string_view name, std::string value) {
    remove_header(headers, name);
    headers.push_back({std::string(name), std::move(value)});
}

void remove_header(std::vector<header_field> &headers, std::string_view name) {
    std::erase_if(headers,
                  [&](const header_field &field) { return same_header_name(field.name, name); });
}

std::string request_bytes(const http_head &head) {
    std::string out;
    out.reserve(512);
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    write_headers(out, head);
    return out;
}

std::string response_bytes(const http_head &head) {
    std::string out;
    out.reserve(512);
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    out.append(reason_phrase(head.status)).append("\r\n");
    write_headers(out, head);
    return out;
}

std::string chunk_bytes(std::string_view piece) {
    std::array<char, 20> size{};
    const auto [end, error] =
        std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16);
    std::string out(size.data(), end);
    out.append("\r\n").append(piece).append("\r\n");
    return out;
}

std::string_view reason_phrase(int status) {
    const auto place = std::find_if(phrases.begin(), phrases.end(),
                                    [&](const phrase &item) { return item.status == status; });
    return place == phrases.end() ? std::string_view("Status") : place->text;
}

std::optional<int> keep_alive_seconds(const http_head &head) {
    constexpr std::string_view mark = "timeout=";
    const std::string *value = head.find("Keep-Alive");
    const std::size_t at = value == nullptr ? std::string::npos : value->find(mark);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const std::string_view rest = std::string_view(*value).substr(at + mark.size());
    const auto seconds = parse_decimal(rest.substr(0, rest.find_first_not_of("0123456789")));
    return seconds && *seconds < 86'400 ? std::optional(static_cast<int>(*seconds)) : std::nullopt;
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole && !text.empty() ? std::optional(value) : std::nullopt;
}

std::optional<double> parse_number(std::string_view text) {
    constexpr double most = 1e9;
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool whole = error == std::errc{} && stop == end;
    return whole && value >= 0 && value <= most ? std::optional(value) : std::nullopt;
}

std::optional<double> parse_positive_number(std::string_view text) {
    const std::optional<double> value = parse_number(text);
    return value && *value > 0 ? value : std::nullopt;
}

} // namespace peppertack
