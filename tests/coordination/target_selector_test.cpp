#include "peppertack/coordination/target_selector.hpp"

#include <doctest/doctest.h>
#include <map>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

struct three_targets {
    std::vector<target_route> routes{{.number = 1}, {.number = 2}, {.number = 3}};
    std::vector<const target_route *> list{&routes[0], &routes[1], &routes[2]};
    target_selector selector{{.self = "own"}, 5};
    target_selector::request_shape shape;

    std::map<target_number, int> choose(int times, instant now,
                                        std::set<target_number> tried = {}) {
        std::map<target_number, int> counts;
        for (int i = 0; i < times; ++i) {
            ++counts[selector.choose(list, shape, tried, now)];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("the target with the earliest completion is chosen more often, the fullest never") {
    three_targets fixture;
    fixture.selector.record_load(1, {.in_flight = 2, .limit = 18, .service_time = 100ms}, start);
    fixture.selector.record_load(2, {.in_flight = 9, .limit = 18, .service_time = 100ms}, start);
    fixture.selector.record_load(
        3, {.in_flight = 18, .waiting = 20, .limit = 18, .service_time = 100ms}, start);
    const auto counts = fixture.choose(900, start);
    CHECK(counts.at(1) > counts.at(2));
    CHECK(counts.count(3) == 0);
}

TEST_CASE("a target that is three times as fast gets most of the requests") {
    three_targets fixture;
    fixture.selector.record_load(1, {.limit = 18, .service_time = 100ms}, start);
    fixture.selector.record_load(2, {.limit = 18, .service_time = 300ms}, start);
    fixture.selector.record_load(3, {.limit = 18, .service_time = 300ms}, start);
    const auto counts = fixture.choose(900, start);
    CHECK(counts.at(1) > 450);
}

TEST_CASE("a target that fails repeatedly is ejected for a while, but never all of them") {
    three_targets fixture;
    const auto fail = [&](target_number number) {
        for (int i = 0; i < 3; ++i) {
            fixture.selector.record_sent(number);
            fixture.selector.record_outcome(number, call_outcome::failed, start);
        }
    };
    fail(2);
    CHECK(fixture.selector.ejected(2, start));
    CHECK(fixture.choose(300, start).count(2) == 0);
    CHECK_FALSE(fixture.selector.ejected(2, start + 1s));
    fail(1);
    fail(3);
    const auto counts = fixture.choose(300, start);
    CHECK(counts.count(no_target) == 0);
    fixture.selector.record_sent(2);
    fixture.selector.record_outcome(2, call_outcome::served, start);
    CHECK_FALSE(fixture.selector.ejected(2, start));
}

TEST_CASE("a target that was tried for a request is not chosen again for it") {
    three_targets fixture;
    const auto counts = fixture.choose(100, start, {1, 3});
    CHECK(counts.size() == 1);
    CHECK(counts.count(2) == 1);
    CHECK(fixture.choose(1, start, {1, 2, 3}).count(no_target) == 1);
}

TEST_CASE("the wait for receiving large bodies affects large requests only") {
    // Guards against uploads, and small calls behind them, taking seconds to reach two targets
    // while the links of others are idle, if only the requests waiting for the targets are
    // considered.
    three_targets fixture;
    fixture.selector.record_load(1, {.limit = 18, .service_time = 100ms, .body_wait = 900ms},
                                 start);
    fixture.selector.record_load(2, {.limit = 18, .service_time = 100ms, .body_wait = 50ms}, start);
    fixture.selector.record_load(3, {.limit = 18, .service_time = 100ms, .body_wait = 900ms},
                                 start);
    CHECK(fixture.choose(900, start).at(2) < 450);
    fixture.shape.large_body = true;
    CHECK(fixture.choose(900, start).at(2) > 550); // whenever it is drawn
}

// Guards against treating a target as fast because it receives short requests.
TEST_CASE("a target's cost is estimated from its service time on the requested route") {
    three_targets fixture;
    const auto report_load = [&](target_number number, duration mean, duration backlog) {
        target_load load{.in_flight = 18, .limit = 18, .service_time = mean, .backlog = backlog};
        load.route_time = 150ms;
        fixture.selector.record_load(number, load, start, "booking");
        load.route_time = 22ms;
        fixture.selector.record_load(number, load, start, "call");
    };
    report_load(1, 40ms, 90ms); // many calls, and a queue of bookings
    report_load(2, 150ms, 0ms);
    report_load(3, 150ms, 0ms);
    for (const char *route : {"booking", "call"}) {
        fixture.shape.route = route;
        CHECK(fixture.choose(300, start)[1] == 0);
    }
}

TEST_CASE("a target in the same failure domain is always considered") {
    target_selector selector({.failure_domain = "a"}, 5);
    std::vector<target_route> routes(20);
    std::vector<const target_route *> list;
    for (target_number number = 1; number <= routes.size(); ++number) {
        target_route &route = routes[number - 1];
        route.number = number;
        route.failure_domain = number <= 4 ? "a" : "b";
        selector.record_load(number, {.in_flight = 9, .limit = 18, .service_time = 100ms}, start);
        list.push_back(&route);
    }
    int same_domain = 0;
    for (int i = 0; i < 300; ++i) {
        same_domain += selector.choose(list, {}, {}, start) <= 4 ? 1 : 0;
    }
    CHECK(same_domain == 300);
    for (target_number number = 1; number <= 4; ++number) {
        selector.record_load(
            number, {.in_flight = 18, .waiting = 9, .limit = 18, .service_time = 100ms}, start);
    }
    CHECK(selector.choose(list, {}, {}, start) > 4);
}

TEST_CASE("the target beside the node is always considered, without the wait for large bodies") {
    three_targets fixture;
    fixture.routes[2].address = "own";
    for (const target_number number : {1U, 2U, 3U}) {
        fixture.selector.record_load(
            number, {.in_flight = 9, .limit = 18, .service_time = 100ms, .body_wait = 500ms},
            start);
    }
    fixture.shape.large_body = true;
    CHECK(fixture.choose(300, start).at(3) == 300);
    fixture.selector.record_load(
        3, {.in_flight = 18, .waiting = 90, .limit = 18, .service_time = 100ms}, start);
    CHECK(fixture.choose(300, start).count(3) == 0);
}

TEST_CASE("an unreachable target is ejected immediately") {
    // Guards against counting a failed connection like any other failure: when a third of a
    // service's targets went down with their nodes, every node tried each of them three times, each
    // attempt took a full call time-out, and an eighth of the calls failed for four seconds.
    three_targets fixture;
    fixture.selector.record_sent(2);
    fixture.selector.record_outcome(2, call_outcome::unreachable, start);
    CHECK(fixture.selector.ejected(2, start));
    CHECK(fixture.choose(300, start).count(2) == 0);
    fixture.selector.record_sent(1);
    fixture.selector.record_outcome(1, call_outcome::failed, start);
    CHECK_FALSE(fixture.selector.ejected(1, start));
}
