#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/protocol/hop_header.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

TEST_CASE("what two nodes tell each other is read back as it was written") {
    const hop_request request{.target = 9,
                              .service = "s-1",
                              .route = "r-1",
                              .priority = 2,
                              .repeat = true,
                              .first_choice = false,
                              .expendable = true,
                              .admitted = 0.125,
                              .key = 65535,
                              .fingerprint = 0xfedcba9876543210,
                              .objective_left = -3ms,
                              .time_left = 1200ms};
    CHECK(decode_hop_request(encode(request)) == request);
    hop_request plain = request;
    plain.key.reset();
    CHECK(decode_hop_request(encode(plain)) == plain);
    const hop_reply reply{.load = {3, 4, 18, 160ms, 70ms, 40ms, 22ms},
                          .refused = error_kind::overloaded,
                          .retry_after = 250ms,
                          .may_have_run = true};
    CHECK(decode_hop_reply(encode(reply)) == reply);
    for (int kind = 0; kind < error_kind_count; ++kind) {
        hop_reply unfinished = reply;
        unfinished.failure = static_cast<error_kind>(kind);
        CHECK(decode_hop_reply(encode(unfinished)) == unfinished);
    }
    hop_reply nested = reply;
    nested.level = admission_level{.fresh = 0.5, .expired = 0};
    CHECK(decode_hop_reply(encode(nested)) == nested);
}

TEST_CASE("a share beyond the whole is no share") {
    const std::string text = encode(hop_reply{.level = admission_level{.fresh = 1, .expired = 1}});
    const std::size_t place = text.rfind("1000");
    REQUIRE(place != std::string::npos);
    CHECK(decode_hop_reply(text));
    for (const char *wrong : {"1001", "-1", "x", ""}) {
        CHECK_FALSE(decode_hop_reply(std::string(text).replace(place, 4, wrong)));
    }
}

TEST_CASE("a name can't change how the rest is read") {
    const hop_request request{.target = 1, .service = "s;2%", .route = "a;b;9\r\nHost: x"};
    const std::string text = encode(request);
    CHECK(text.find_first_of("\r\n ") == std::string::npos);
    CHECK(decode_hop_request(text) == request);
}

TEST_CASE("anything else is no hop header") {
    for (const char *text : {"", ";", "x;s;r;0;0;-;1;1;", "1;s;r;0;0;q;1;1;", "1;s;r;0;0;-;1;",
                             "1;s;r;0;0;-;1;1;1;", "1;r;0;0;-;1;1;"}) {
        CHECK_FALSE(decode_hop_request(text));
    }
    for (const char *text : {"", "1;2;3;4;0;5;6;", "1;2;3;4;0;999;6;0;", "1;2;3;4;0;-1;6;0;"}) {
        CHECK_FALSE(decode_hop_reply(text));
    }
}

TEST_CASE("no refusal that another node told is read as the caller's fault") {
    // A node judges a forwarded request by its own routes and its present target. Where these are
    // not the sender's it may find fault with a request that is proper.
    for (int kind = 1; kind < error_kind_count; ++kind) {
        const hop_reply told{.refused = static_cast<error_kind>(kind)};
        const auto read = decode_hop_reply(encode(told));
        REQUIRE(read);
        CHECK(answer_for(read->refused).by == blame::system);
        CHECK(answer_for(read->refused).status >= 500);
    }
}
