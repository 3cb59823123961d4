#include "node_under_test.hpp"

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

TEST_CASE("a caller that comes back is sent on with what is left of its objective") {
    // Symptom: under load half of the answers came after the objective. Sequence: a caller is
    // refused, comes back, and is sent on as if it had just begun to wait. Cause: each attempt was
    // new.
    node_under_test node;
    node.know_neighbour();
    const std::string &patience = node.host().options().headers.deadline_ms;
    const auto start = std::chrono::steady_clock::now();
    const auto waited = [&] { return std::chrono::steady_clock::now() - start; };
    constexpr auto whole_patience = 60s;
    constexpr auto pause = 300ms;
    const auto ask = [&] {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(whole_patience - waited());
        const http_head head = node.ask(plain, {{patience, std::to_string(left.count())}});
        CHECK(head.status == 503);
        CHECK(head.find("Retry-After") != nullptr);
    };
    ask();
    REQUIRE(node.neighbour_hop);
    const duration first_left = node.neighbour_hop->objective_left;
    node.run_until([&] { return waited() > pause; });
    // On a busy machine the patience that is stated may be too old once it is read.
    CHECK(node.run_until([&] {
        ask();
        return node.neighbour_hop->objective_left <= first_left - pause / 2;
    }));
    // Another caller, with the same patience.
    node.ask(plain,
             {{patience, std::to_string(std::chrono::milliseconds(whole_patience).count())}});
    CHECK(node.neighbour_hop->objective_left > first_left - pause / 2);
}

TEST_CASE("the node beside a target learns which routes are asked for by one service alone") {
    node_under_test node;
    node.beat("old", plain);
    node.answer(node.registering("old"), old_number, {});
    const auto forward = [&](const std::string &route, const std::string &caller) {
        node.forward({{std::string(hop_header), encode(hop_request{.target = old_number,
                                                                   .service = plain,
                                                                   .route = route,
                                                                   .objective_left = 1s,
                                                                   .time_left = 5s})},
                      {node.host().options().headers.caller_service, caller}});
    };
    for (int i = 0; i < 25; ++i) {
        forward("asked-by-callers", i % 2 == 0 ? keyed : plain);
        forward("asked-by-keyed", keyed);
    }
    CHECK(node.host().nested_calls().calling_service("asked-by-keyed") == keyed);
    CHECK_FALSE(node.host().nested_calls().calling_service("asked-by-callers"));
    CHECK(node.runs == 50);
}
