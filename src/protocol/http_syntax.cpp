#include "peppertack/protocol/http_syntax.hpp"

#include <algorithm>

namespace peppertack {

namespace {

constexpr int first_status = 100;
constexpr int switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";

bool in_token(char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || token_marks.find(c) != std::string_view::npos;
}

} // namespace

bool is_response_status(int status) {
    return status >= first_status && status <= last_status && status != switching_protocols;
}

bool is_final_status(int status) {
    return status >= first_final_status && status <= last_status;
}

bool is_field_name(std::string_view name) {
    return !name.empty() && std::all_of(name.begin(), name.end(), in_token);
}

} // namespace peppertack
