#include "peppertack/coordination/graceful_stop.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1000s};
using phase = graceful_stop::phase;

graceful_stop begun_stop() {
    graceful_stop stop({.acceptance = 1800ms,
                        .refusal = 2800ms,
                        .limit = 5600ms,
                        .answers = 200ms,
                        .closing_time = 150ms});
    stop.begin(start);
    return stop;
}

} // namespace

// Guards against giving up a request at work: it was taken with more time left than its node had.
TEST_CASE("a node that stops takes only what ends before it does") {
    graceful_stop stop = begun_stop();
    CHECK(stop.takes_forwarded(start + 5400ms));
    CHECK_FALSE(stop.takes_forwarded(start + 5401ms));
    CHECK(stop.may_start(start + 5400ms));
    CHECK_FALSE(stop.may_start(start + 5401ms));
    CHECK_FALSE(stop.take_give_up(start + 5400ms));
    CHECK(stop.take_give_up(start + 5401ms));
    CHECK_FALSE(stop.take_give_up(start + 5402ms));
}

TEST_CASE("a node that does not stop takes all") {
    graceful_stop stop({.limit = 5600ms});
    CHECK(stop.takes_forwarded(start + 1h));
    CHECK(stop.takes_from_caller(false, start + 1h, start));
    CHECK(stop.elapsed(start) == duration{});
}

TEST_CASE("a second signal to stop changes nothing") {
    graceful_stop stop = begun_stop();
    stop.begin(start + 3s);
    CHECK(stop.elapsed(start + 4s) == 4s);
}

// Guards against runs that fail at the node that took them: their calls were refused.
TEST_CASE("nested calls of what still runs are taken when callers are refused") {
    graceful_stop stop = begun_stop();
    CHECK(stop.takes_from_caller(false, start + 10s, start + 2800ms));
    CHECK_FALSE(stop.takes_from_caller(false, start + 3s, start + 2801ms));
    CHECK(stop.takes_from_caller(true, start + 5400ms, start + 2801ms));
    CHECK_FALSE(stop.takes_from_caller(true, start + 5401ms, start + 2801ms));
}

TEST_CASE("other nodes are refused once callers are gone, or after twice as long") {
    graceful_stop stop = begun_stop();
    CHECK(stop.advance({.requests = 5, .connections = 3}, start + 1800ms) == phase::serving);
    SUBCASE("callers are gone") {
        CHECK(stop.advance({.requests = 5, .connections = 3}, start + 1801ms) == phase::finishing);
    }
    SUBCASE("callers never cease") {
        CHECK(stop.advance({.callers = 1, .requests = 5, .connections = 3}, start + 3600ms) ==
              phase::serving);
        CHECK(stop.advance({.callers = 1, .requests = 5, .connections = 3}, start + 3601ms) ==
              phase::finishing);
    }
    CHECK_FALSE(stop.takes_forwarded(start + 4s));
    CHECK(stop.may_start(start + 4s));
}

TEST_CASE("a process ends when its work is done and other nodes know that it ends") {
    graceful_stop stop = begun_stop();
    CHECK(stop.advance({.requests = 1, .connections = 2}, start + 2s) == phase::finishing);
    CHECK(stop.advance({.connections = 2}, start + 2100ms) == phase::closing);
    SUBCASE("they have closed their connections") {
        CHECK(stop.advance({.connections = 0}, start + 2101ms) == phase::ended);
    }
    SUBCASE("one does not") {
        CHECK(stop.advance({.connections = 1}, start + 2250ms) == phase::closing);
        CHECK(stop.advance({.connections = 1}, start + 2251ms) == phase::ended);
    }
    SUBCASE("a request came meanwhile") {
        CHECK_FALSE(stop.takes_from_caller(false, start + 3s, start + 2101ms));
        CHECK_FALSE(stop.takes_from_caller(true, start + 3s, start + 2101ms));
        CHECK_FALSE(stop.takes_forwarded(start + 3s));
        CHECK(stop.advance({.requests = 1}, start + 2300ms) == phase::closing);
    }
    SUBCASE("an answer is still being written") {
        CHECK(stop.advance({.unsent = 1}, start + 5600ms) == phase::closing);
        CHECK(stop.advance({}, start + 5600ms) == phase::ended);
    }
}

TEST_CASE("the time that a stop still takes lies within its limit") {
    graceful_stop stop = begun_stop();
    CHECK(stop.remaining(500ms, start) == 2300ms);
    CHECK(stop.remaining(500ms, start + 1s) == 1300ms);
    CHECK(stop.remaining(500ms, start + 2s) == 500ms);
    CHECK(stop.remaining(500ms, start + 5500ms) == 100ms);
    CHECK(stop.remaining(500ms, start + 6s) == duration{});
    stop.advance({}, start + 1801ms);
    stop.advance({}, start + 1802ms);
    CHECK(stop.remaining(500ms, start + 1803ms) == duration{});
}

TEST_CASE("a stop takes no longer than its limit") {
    graceful_stop stop = begun_stop();
    const graceful_stop::open_work open{.callers = 1, .requests = 9, .unsent = 1, .connections = 3};
    CHECK(stop.advance(open, start + 5600ms) == phase::finishing);
    CHECK(stop.advance(open, start + 5601ms) == phase::ended);
}
