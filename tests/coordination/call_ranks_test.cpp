#include "peppertack/coordination/call_ranks.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

/// Lookups (2) at the portal call the desk, bookings (1) at the desk call the payout, which also
/// does disbursements (0).
routing_sheet sheet() {
    routing_sheet result{.version = 7};
    const auto add = [&](const std::string &name, int priority, const std::string &service) {
        result.routes[name] = {.name = name, .priority = priority, .split = {{service, 1}}};
    };
    add("lookup", 2, "portal");
    add("booking", 1, "desk");
    add("disbursement", 0, "payout");
    add("borrower-check", 1, "desk");
    add("logbook-check", 1, "payout");
    return result;
}

/// What a node beside a target of the payout sees in a second.
void second_of_payout(call_ranks &ranks, instant now) {
    for (int i = 0; i < 30; ++i) {
        ranks.note("disbursement", i % 3 == 0 ? "portal" : i % 3 == 1 ? "desk" : "payout", now);
        ranks.note("logbook-check", "desk", now);
    }
}

} // namespace

TEST_CASE("calls rank one step above the requests that make them") {
    // Symptom: a service lost two of three targets, and a third of the bookings failed after their
    // targets had worked on them. Sequence: each makes up to two calls of that service; its own
    // requests are more urgent than bookings, and all refusals fell on the calls. Cause: what a
    // refused call throws away counted for nothing.
    call_ranks ranks;
    CHECK(ranks.rank("logbook-check", 1, sheet()) == 1);
    second_of_payout(ranks, start);
    CHECK(ranks.calling_service("logbook-check") == "desk");
    CHECK(ranks.rank("logbook-check", 1, sheet()) == 0);
    CHECK(ranks.rank("disbursement", 0, sheet()) == 0);
}

TEST_CASE("calls of less urgent requests don't go before more urgent callers") {
    call_ranks ranks;
    for (int i = 0; i < 30; ++i) {
        ranks.note("booking", i % 2 == 0 ? "portal" : "desk", start);
        ranks.note("borrower-check", "portal", start);
    }
    CHECK(ranks.rank("borrower-check", 1, sheet()) == 1);
    CHECK(ranks.rank("booking", 1, sheet()) == 1);
}

TEST_CASE("a route that callers ask for is none of calls") {
    call_ranks ranks;
    for (int i = 0; i < 30; ++i) {
        ranks.note("disbursement", i % 2 == 0 ? "portal" : "desk", start);
        ranks.note("logbook-check", i % 10 == 0 ? "payout" : "desk", start);
    }
    CHECK_FALSE(ranks.calling_service("logbook-check"));
    CHECK(ranks.rank("logbook-check", 1, sheet()) == 1);
}

TEST_CASE("where only one service sends requests, calls can't be told from others") {
    call_ranks ranks;
    for (int i = 0; i < 300; ++i) {
        ranks.note("disbursement", "desk", start);
        ranks.note("logbook-check", "desk", start);
    }
    CHECK_FALSE(ranks.calling_service("logbook-check"));
    CHECK_FALSE(ranks.calling_service("disbursement"));
}

TEST_CASE("a route that callers begin to ask for loses its rank") {
    call_ranks ranks;
    instant now = start;
    for (int i = 0; i < 20; ++i, now += 1s) {
        second_of_payout(ranks, now);
    }
    REQUIRE(ranks.calling_service("logbook-check"));
    for (int i = 0; i < 3; ++i, now += 1s) {
        second_of_payout(ranks, now);
        ranks.note("logbook-check", "portal", now);
        ranks.note("logbook-check", "payout", now);
    }
    CHECK_FALSE(ranks.calling_service("logbook-check"));
    for (int i = 0; i < 60; ++i, now += 1s) {
        second_of_payout(ranks, now);
    }
    CHECK(ranks.calling_service("logbook-check") == "desk");
}
