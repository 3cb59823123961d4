#include "peppertack/coordination/returning_callers.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);
constexpr duration patience = 2500ms;

} // namespace

TEST_CASE("a caller that comes back is known by the moment up to which it waits") {
    returning_callers callers;
    callers.note("bookings", start + patience, start, start + 5ms);
    // It states its patience before its new connection is there.
    const instant stated = start + patience + 17ms;
    CHECK_FALSE(callers.take("lookups", stated, start + 300ms));
    CHECK(callers.take("bookings", stated, start + 300ms) == start);
    CHECK(callers.size() == 0);
    CHECK_FALSE(callers.take("bookings", stated, start + 300ms));
}

TEST_CASE("a new caller is not taken for one that was refused before") {
    returning_callers callers;
    for (int i = 0; i < 100; ++i) {
        const instant asked = start + i * 10ms;
        callers.note("bookings", asked + patience, asked, asked);
    }
    // The same patience, from later on; and one whose patience ends before that of any other.
    CHECK_FALSE(callers.take("bookings", start + 1100ms + patience, start + 1100ms));
    CHECK_FALSE(callers.take("bookings", start + 1200ms, start + 1100ms));
}

TEST_CASE("a new caller right behind a refused one does not take its place") {
    // A caller of the same patience that asks 20 ms later waits until 20 ms later, as if it were
    // the first one on a new connection; the first one then came back as a new caller.
    returning_callers callers;
    callers.note("bookings", start + patience, start, start);
    CHECK_FALSE(callers.take("bookings", start + 20ms + patience, start + 20ms));
    CHECK(callers.take("bookings", start + 5ms + patience, start + 300ms) == start);
}

TEST_CASE("a caller that is refused again keeps the time at which it first asked") {
    returning_callers callers;
    callers.note("bookings", start + patience, start, start);
    const auto first = callers.take("bookings", start + patience, start + 400ms);
    REQUIRE(first);
    callers.note("bookings", start + patience, *first, start + 400ms);
    CHECK(callers.take("bookings", start + patience, start + 800ms) == start);
}

TEST_CASE("callers that gave up are forgotten, and no more are remembered than a bound") {
    returning_callers callers;
    for (int i = 0; i < 10'000; ++i) {
        callers.note("bookings", start + patience + i * 1us, start, start);
    }
    CHECK(callers.size() == 4096);
    CHECK_FALSE(callers.take("bookings", start + 9s, start + 4s));
    CHECK(callers.size() == 0);
    callers.note("bookings", start + 3s, start, start + 4s);
    CHECK(callers.size() == 0);
}

TEST_CASE("callers of a route that is asked for no more don't keep others from being remembered") {
    returning_callers callers;
    for (int i = 0; i < 5'000; ++i) {
        callers.note("dropped", start + patience, start, start);
    }
    callers.note("bookings", start + 10s, start + 5s, start + 5s);
    CHECK(callers.take("bookings", start + 10s, start + 6s) == start + 5s);
    CHECK(callers.size() == 0);
}
