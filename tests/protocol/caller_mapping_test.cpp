#include "peppertack/protocol/caller_mapping.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peppertack;

namespace {

std::optional<caller_request> mapped(std::string_view method, std::string_view path,
                                     std::vector<header_field> headers, mapping_fault &fault) {
    return map_request(method, path, std::move(headers), nullptr, {}, fault);
}

error_kind kind_of(std::string_view method, std::string_view path,
                   std::vector<header_field> headers = {}) {
    mapping_fault fault;
    return mapped(method, path, std::move(headers), fault) ? error_kind::none : fault.kind;
}

} // namespace

TEST_CASE("a request is taken apart and its path kept whole") {
    mapping_fault fault;
    const auto request = mapped("POST", "/s/emision/k/San%20Isidro/a/b?x=%2F&y",
                                {{"Idempotency-Key", "k1"},
                                 {"Peppertack-Deadline-Ms", "250"},
                                 {"Connection", "close"},
                                 {"X-Own", "kept"}},
                                fault);
    REQUIRE(request);
    CHECK(request->service == "emision");
    CHECK(request->key == "San Isidro");
    CHECK(request->path == "/s/emision/k/San%20Isidro/a/b?x=%2F&y");
    CHECK(request->idempotency_key == "k1");
    CHECK(request->time_left == std::chrono::milliseconds(250));
    CHECK_FALSE(request->repeatable);
    REQUIRE(request->headers.size() == 2);
    CHECK(request->headers[1] == header_field{"X-Own", "kept"});
}

TEST_CASE("what may be run again") {
    mapping_fault fault;
    CHECK(mapped("GET", "/s/a/k/b", {}, fault)->repeatable);
    CHECK(mapped("DELETE", "/s/a/k/b", {}, fault)->repeatable);
    CHECK_FALSE(mapped("PATCH", "/s/a/k/b", {}, fault)->repeatable);
    CHECK(mapped("POST", "/s/a/k/b", {{"peppertack-repeatable", "Yes"}}, fault)->repeatable);
    CHECK_FALSE(mapped("PUT", "/s/a/k/b", {{"Peppertack-Repeatable", "no"}}, fault)->repeatable);
}

TEST_CASE("requests that are refused") {
    CHECK(kind_of("TRACE", "/s/a/k/b") == error_kind::malformed_request);
    CHECK(kind_of("GET", "/s/a") == error_kind::malformed_request);
    CHECK(kind_of("GET", "/s//k/b") == error_kind::malformed_request);
    CHECK(kind_of("GET", "/s/a/k/") == error_kind::malformed_request);
    CHECK(kind_of("GET", "/s/a/k/%zz") == error_kind::malformed_request);
    CHECK(kind_of("GET", "/s/a/k/%4") == error_kind::malformed_request);
    CHECK(kind_of("GET", "/s/a%2Fb/k/c") == error_kind::malformed_request);
    CHECK(kind_of("GET", "/s/a/k/" + std::string(2000, 'x')) == error_kind::too_large);
    CHECK(kind_of("GET", "/s/a/k/b", {{"Peppertack-Deadline-Ms", "0"}}) ==
          error_kind::malformed_request);
    CHECK(kind_of("GET", "/s/a/k/b", {{"Peppertack-Deadline-Ms", "1e3"}}) ==
          error_kind::malformed_request);
    CHECK(kind_of("POST", "/s/a/k/b", {{"Peppertack-Repeatable", "maybe"}}) ==
          error_kind::malformed_request);
    CHECK(kind_of("POST", "/s/a/k/b", {{"Idempotency-Key", std::string(300, 'x')}}) ==
          error_kind::malformed_request);
}

TEST_CASE("no path or header crashes the mapping") {
    CHECK(rc::check("arbitrary text", [](const std::string &path, const std::string &value) {
        mapping_fault fault;
        mapped("GET", "/s/" + path, {{"Peppertack-Deadline-Ms", value}}, fault);
        mapped("POST", path, {{"Idempotency-Key", value}}, fault);
        mapped("GET", "/s/a/k/" + path, {{value, path}}, fault);
    }));
}
