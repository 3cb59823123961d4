#include "peppertack/protocol/caller_mapping.hpp"

#include "percent_code.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace peppertack {

namespace {

constexpr std::string_view service_part = "/s/";
constexpr std::string_view key_part = "/k/";
constexpr std::array<std::string_view, 7> methods{"GET",     "HEAD", "PUT",  "DELETE",
                                                  "OPTIONS", "POST", "PATCH"};
constexpr std::array<std::string_view, 11> connection_headers{
    "connection", "keep-alive",     "proxy-connection",   "te",     "trailer", "transfer-encoding",
    "upgrade",    "content-length", "proxy-authenticate", "expect", "host"};
/// Added to requests by the HTTP library; a caller's own could otherwise be mistaken for them.
constexpr std::array<std::string_view, 4> library_headers{"remote_addr", "remote_port",
                                                          "local_addr", "local_port"};

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

template <std::size_t Size>
bool listed(const std::array<std::string_view, Size> &names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view item) { return same_header(item, name); });
}

const header_field *find_header(const std::vector<header_field> &headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const header_field &field) {
        return same_header(field.name, name);
    });
    return found == headers.end() ? nullptr : &*found;
}

bool read_deadline(const std::vector<header_field> &headers, const mapping_limits &limits,
                   duration &deadline, mapping_fault &fault) {
    deadline = limits.default_deadline;
    const header_field *field = find_header(headers, header::deadline_ms);
    if (field == nullptr) {
        return true;
    }
    std::int64_t value = 0;
    const char *end = field->value.data() + field->value.size();
    const auto [stop, error] = std::from_chars(field->value.data(), end, value);
    const std::int64_t most =
        std::chrono::duration_cast<std::chrono::milliseconds>(limits.longest_deadline).count();
    if (error != std::errc{} || stop != end || value < 1 || value > most) {
        fault = {error_kind::malformed_request, std::string(header::deadline_ms) + ": \"" +
                                                    field->value + "\"; allowed: 1 to " +
                                                    std::to_string(most)};
        return false;
    }
    deadline = std::chrono::milliseconds(value);
    return true;
}

bool read_repeatable(std::string_view method, const std::vector<header_field> &headers,
                     bool &repeatable, mapping_fault &fault) {
    repeatable = method_is_repeatable(method);
    const header_field *field = find_header(headers, header::repeatable);
    if (field == nullptr) {
        return true;
    }
    if (!same_header(field->value, "yes") && !same_header(field->value, "no")) {
        fault = {error_kind::malformed_request,
                 std::string(header::repeatable) + ": \"" + field->value + "\"; allowed: yes, no"};
        return false;
    }
    repeatable = same_header(field->value, "yes");
    return true;
}

bool split_path(std::string_view raw_path, caller_request &request, const mapping_limits &limits,
                mapping_fault &fault) {
    const std::string_view path = raw_path.substr(0, raw_path.find('?'));
    const std::string_view query = raw_path.substr(path.size());
    if (path.substr(0, service_part.size()) != service_part) {
        fault.detail = "path: allowed: /s/{service}/k/{key}[/rest][?query]";
        return false;
    }
    const std::string_view after = path.substr(service_part.size());
    const std::size_t key_at = after.find(key_part);
    if (key_at == std::string_view::npos || key_at == 0) {
        fault.detail = "path: allowed: /s/{service}/k/{key}[/rest][?query]";
        return false;
    }
    const std::string_view rest = after.substr(key_at + key_part.size());
    const std::string_view raw_key = rest.substr(0, rest.find('/'));
    const std::optional<std::string> service = percent_decoded(after.substr(0, key_at));
    const std::optional<std::string> key = percent_decoded(raw_key);
    if (!service || !key || service->find('/') != std::string::npos) {
        fault.detail = "path: the service or key has a broken percent encoding";
        return false;
    }
    if (key->empty() || key->size() > limits.key_bytes) {
        fault = {key->empty() ? error_kind::malformed_request : error_kind::too_large,
                 "key: " + std::to_string(key->size()) + " bytes; allowed: 1 to " +
                     std::to_string(limits.key_bytes)};
        return false;
    }
    request.service = *service;
    request.key = *key;
    request.path = std::string(path) + std::string(query);
    return true;
}

} // namespace

bool same_header(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(),
                                              [](char x, char y) { return lower(x) == lower(y); });
}

bool method_is_repeatable(std::string_view method) {
    return method != "POST" && method != "PATCH";
}

bool is_connection_header(std::string_view name) {
    return listed(connection_headers, name);
}

std::optional<caller_request> map_request(std::string_view method, std::string_view raw_path,
                                          std::vector<header_field> headers, body_bytes body,
                                          const mapping_limits &limits, mapping_fault &fault) {
    fault = {};
    caller_request request;
    if (std::find(methods.begin(), methods.end(), method) == methods.end()) {
        fault.detail = "method: \"" + std::string(method) + "\" is not supported";
        return std::nullopt;
    }
    if (!split_path(raw_path, request, limits, fault) ||
        !read_deadline(headers, limits, request.time_left, fault) ||
        !read_repeatable(method, headers, request.repeatable, fault)) {
        return std::nullopt;
    }
    if (const header_field *field = find_header(headers, header::idempotency_key)) {
        if (field->value.empty() || field->value.size() > limits.idempotency_key_bytes) {
            fault = {error_kind::malformed_request,
                     std::string(header::idempotency_key) + ": allowed: 1 to " +
                         std::to_string(limits.idempotency_key_bytes) + " bytes"};
            return std::nullopt;
        }
        request.idempotency_key = field->value;
    }
    std::erase_if(headers, [](const header_field &field) {
        return is_connection_header(field.name) || listed(library_headers, field.name) ||
               same_header(field.name, header::deadline_ms) ||
               same_header(field.name, header::token);
    });
    request.method = method;
    request.headers = std::move(headers);
    request.body = std::move(body);
    return request;
}

} // namespace peppertack
