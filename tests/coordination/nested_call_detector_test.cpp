#include "peppertack/coordination/nested_call_detector.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

/// Lookups (priority 2) at the portal call the desk; bookings (1) at the desk call the payout
/// service, which also serves disbursements (0).
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

/// Records the requests that a node beside a target of the payout service receives in a second.
void record_second_at_payout(nested_call_detector &detector, instant now) {
    for (int i = 0; i < 30; ++i) {
        detector.record("disbursement",
                        i % 3 == 0   ? "portal"
                        : i % 3 == 1 ? "desk"
                                     : "payout",
                        now);
        detector.record("logbook-check", "desk", now);
    }
}

/// Records 30 requests on a direct route from two services, and 30 on another route from `caller`;
/// with `strays`, every tenth of these comes from a third service.
void record_requests(nested_call_detector &detector, const std::string &direct,
                     const std::string &other, const std::string &caller, bool strays) {
    for (int i = 0; i < 30; ++i) {
        detector.record(direct, i % 2 == 0 ? "portal" : "desk", start);
        detector.record(other, strays && i % 10 == 0 ? "payout" : caller, start);
    }
}

} // namespace

// Guards against nested calls being rejected like direct requests, which wastes the work of the
// parent request.
TEST_CASE("nested calls are recognised by the single service that makes them") {
    nested_call_detector detector;
    CHECK_FALSE(detector.parent_priority("logbook-check", routing()));
    record_second_at_payout(detector, start);
    CHECK(detector.calling_service("logbook-check") == "desk");
    CHECK(detector.parent_priority("logbook-check", routing()) == 1);
    CHECK_FALSE(detector.parent_priority("disbursement", routing()));
}

// Guards against direct requests being overtaken by nested calls of less urgent requests.
TEST_CASE("nested calls have the priority of their parent requests, not of their route") {
    nested_call_detector detector;
    record_requests(detector, "booking", "borrower-check", "portal", false);
    CHECK(detector.parent_priority("borrower-check", routing()) == 2);
    CHECK_FALSE(detector.parent_priority("booking", routing()));
}

TEST_CASE("a route that callers request is not classified as one of nested calls") {
    nested_call_detector detector;
    record_requests(detector, "disbursement", "logbook-check", "desk", true);
    CHECK_FALSE(detector.calling_service("logbook-check"));
    CHECK_FALSE(detector.parent_priority("logbook-check", routing()));
}

TEST_CASE("nested calls can't be distinguished where only one service sends requests") {
    nested_call_detector detector;
    for (int i = 0; i < 300; ++i) {
        detector.record("disbursement", "desk", start);
        detector.record("logbook-check", "desk", start);
    }
    CHECK_FALSE(detector.calling_service("logbook-check"));
    CHECK_FALSE(detector.calling_service("disbursement"));
}

TEST_CASE("a route that callers begin to request is no longer one of nested calls") {
    nested_call_detector detector;
    instant now = start;
    for (int i = 0; i < 20; ++i, now += 1s) {
        record_second_at_payout(detector, now);
    }
    REQUIRE(detector.calling_service("logbook-check"));
    for (int i = 0; i < 3; ++i, now += 1s) {
        record_second_at_payout(detector, now);
        detector.record("logbook-check", "portal", now);
        detector.record("logbook-check", "payout", now);
    }
    CHECK_FALSE(detector.calling_service("logbook-check"));
    for (int i = 0; i < 60; ++i, now += 1s) {
        record_second_at_payout(detector, now);
    }
    CHECK(detector.calling_service("logbook-check") == "desk");
}
