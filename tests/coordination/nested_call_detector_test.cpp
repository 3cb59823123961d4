#include "peppertack/coordination/nested_call_detector.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

/// Lookups (2) at the portal call the desk, bookings (1) at the desk call the payout, which also
/// does disbursements (0).
routing_table routing() {
    routing_table result{.version = 7};
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
void second_of_payout(nested_call_detector &detector, instant now) {
    for (int i = 0; i < 30; ++i) {
        detector.note("disbursement", i % 3 == 0 ? "portal" : i % 3 == 1 ? "desk" : "payout", now);
        detector.note("logbook-check", "desk", now);
    }
}

/// Thirty requests on a direct route, by two services, and thirty on another, by `caller`, or
/// with `strays` every tenth by a third.
void ask(nested_call_detector &detector, const std::string &direct, const std::string &other,
         const std::string &caller, bool strays) {
    for (int i = 0; i < 30; ++i) {
        detector.note(direct, i % 2 == 0 ? "portal" : "desk", start);
        detector.note(other, strays && i % 10 == 0 ? "payout" : caller, start);
    }
}

} // namespace

// Guards against nested calls being rejected like requests of callers, after their runs have
// worked.
TEST_CASE("nested calls are known by the one service that makes them") {
    nested_call_detector detector;
    CHECK_FALSE(detector.parent_priority("logbook-check", routing()));
    second_of_payout(detector, start);
    CHECK(detector.calling_service("logbook-check") == "desk");
    CHECK(detector.parent_priority("logbook-check", routing()) == 1);
    CHECK_FALSE(detector.parent_priority("disbursement", routing()));
}

// Guards against more urgent direct requests giving way to calls of less urgent ones.
TEST_CASE("nested calls have the priority of what makes them, not of their route") {
    nested_call_detector detector;
    ask(detector, "booking", "borrower-check", "portal", false);
    CHECK(detector.parent_priority("borrower-check", routing()) == 2);
    CHECK_FALSE(detector.parent_priority("booking", routing()));
}

TEST_CASE("a route that callers ask for is none of calls") {
    nested_call_detector detector;
    ask(detector, "disbursement", "logbook-check", "desk", true);
    CHECK_FALSE(detector.calling_service("logbook-check"));
    CHECK_FALSE(detector.parent_priority("logbook-check", routing()));
}

TEST_CASE("where only one service sends requests, calls can't be told from others") {
    nested_call_detector detector;
    for (int i = 0; i < 300; ++i) {
        detector.note("disbursement", "desk", start);
        detector.note("logbook-check", "desk", start);
    }
    CHECK_FALSE(detector.calling_service("logbook-check"));
    CHECK_FALSE(detector.calling_service("disbursement"));
}

TEST_CASE("a route that callers begin to ask for loses its rank") {
    nested_call_detector detector;
    instant now = start;
    for (int i = 0; i < 20; ++i, now += 1s) {
        second_of_payout(detector, now);
    }
    REQUIRE(detector.calling_service("logbook-check"));
    for (int i = 0; i < 3; ++i, now += 1s) {
        second_of_payout(detector, now);
        detector.note("logbook-check", "portal", now);
        detector.note("logbook-check", "payout", now);
    }
    CHECK_FALSE(detector.calling_service("logbook-check"));
    for (int i = 0; i < 60; ++i, now += 1s) {
        second_of_payout(detector, now);
    }
    CHECK(detector.calling_service("logbook-check") == "desk");
}
