#include "peppertack/coordination/returning_callers.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);
constexpr duration caller_timeout = 2500ms;

} // namespace

TEST_CASE("a retry is recognised by the deadline of its caller") {
    returning_callers callers;
    callers.note("bookings", start + caller_timeout, start, start + 5ms);
    // The retry states its remaining time before its new connection is established.
    const instant stated = start + caller_timeout + 17ms;
    CHECK_FALSE(callers.take("lookups", stated, start + 300ms));
    CHECK(callers.take("bookings", stated, start + 300ms) == start);
    CHECK(callers.size() == 0);
    CHECK_FALSE(callers.take("bookings", stated, start + 300ms));
}

TEST_CASE("a new caller is not taken for one that was refused before") {
    returning_callers callers;
    for (int i = 0; i < 100; ++i) {
        const instant asked = start + i * 10ms;
        callers.note("bookings", asked + caller_timeout, asked, asked);
    }
    // A later caller with the same time-out, and one with an earlier deadline than any other.
    CHECK_FALSE(callers.take("bookings", start + 1100ms + caller_timeout, start + 1100ms));
    CHECK_FALSE(callers.take("bookings", start + 1200ms, start + 1100ms));
}

TEST_CASE("a new caller shortly after a refused one is not matched to its record") {
    // A new caller with the same time-out 20 ms later has a deadline 20 ms later, like a retry of
    // the first caller on a new connection. If it matched, the retry would pass for a new caller.
    returning_callers callers;
    callers.note("bookings", start + caller_timeout, start, start);
    CHECK_FALSE(callers.take("bookings", start + 20ms + caller_timeout, start + 20ms));
    CHECK(callers.take("bookings", start + 5ms + caller_timeout, start + 300ms) == start);
}

TEST_CASE("a caller that is refused again keeps the time of its first attempt") {
    returning_callers callers;
    callers.note("bookings", start + caller_timeout, start, start);
    const auto first = callers.take("bookings", start + caller_timeout, start + 400ms);
    REQUIRE(first);
    callers.note("bookings", start + caller_timeout, *first, start + 400ms);
    CHECK(callers.take("bookings", start + caller_timeout, start + 800ms) == start);
}

TEST_CASE("records expire with the deadline of the caller, and their number is bounded") {
    returning_callers callers;
    for (int i = 0; i < 10'000; ++i) {
        callers.note("bookings", start + caller_timeout + i * 1us, start, start);
    }
    CHECK(callers.size() == 4096);
    CHECK_FALSE(callers.take("bookings", start + 9s, start + 4s));
    CHECK(callers.size() == 0);
    callers.note("bookings", start + 3s, start, start + 4s);
    CHECK(callers.size() == 0);
}

TEST_CASE("records of a route that is no longer requested don't block those of other routes") {
    returning_callers callers;
    for (int i = 0; i < 5'000; ++i) {
        callers.note("dropped", start + caller_timeout, start, start);
    }
    callers.note("bookings", start + 10s, start + 5s, start + 5s);
    CHECK(callers.take("bookings", start + 10s, start + 6s) == start + 5s);
    CHECK(callers.size() == 0);
}
