#include "peppertack/coordination/retry_detector.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);
constexpr duration caller_timeout = 2500ms;

} // namespace

TEST_CASE("a retry is recognised by the deadline of its caller") {
    retry_detector detector;
    detector.record_refusal("bookings", start + caller_timeout, start, start + 5ms);
    // The retry states its remaining time before its new connection is established.
    const instant stated = start + caller_timeout + 17ms;
    CHECK_FALSE(detector.take("lookups", stated, start + 300ms));
    CHECK(detector.take("bookings", stated, start + 300ms) == start);
    CHECK(detector.size() == 0);
    CHECK_FALSE(detector.take("bookings", stated, start + 300ms));
}

TEST_CASE("a new caller is not taken for one that was refused before") {
    retry_detector detector;
    for (int i = 0; i < 100; ++i) {
        const instant first_sent = start + i * 10ms;
        detector.record_refusal("bookings", first_sent + caller_timeout, first_sent, first_sent);
    }
    // A later caller with the same time-out, and one with an earlier deadline than any other.
    CHECK_FALSE(detector.take("bookings", start + 1100ms + caller_timeout, start + 1100ms));
    CHECK_FALSE(detector.take("bookings", start + 1200ms, start + 1100ms));
}

TEST_CASE("a new caller shortly after a refused one is not matched to its record") {
    // A new caller with the same time-out 20 ms later has a deadline 20 ms later, like a retry of
    // the first caller on a new connection. If it matched, the retry would pass for a new caller.
    retry_detector detector;
    detector.record_refusal("bookings", start + caller_timeout, start, start);
    CHECK_FALSE(detector.take("bookings", start + 20ms + caller_timeout, start + 20ms));
    CHECK(detector.take("bookings", start + 5ms + caller_timeout, start + 300ms) == start);
}

TEST_CASE("a caller that is refused again keeps the time of its first attempt") {
    retry_detector detector;
    detector.record_refusal("bookings", start + caller_timeout, start, start);
    const auto first = detector.take("bookings", start + caller_timeout, start + 400ms);
    REQUIRE(first);
    detector.record_refusal("bookings", start + caller_timeout, *first, start + 400ms);
    CHECK(detector.take("bookings", start + caller_timeout, start + 800ms) == start);
}

TEST_CASE("records expire with the deadline of the caller, and their number is bounded") {
    retry_detector detector;
    for (int i = 0; i < 10'000; ++i) {
        detector.record_refusal("bookings", start + caller_timeout + i * 1us, start, start);
    }
    CHECK(detector.size() == 4096);
    CHECK_FALSE(detector.take("bookings", start + 9s, start + 4s));
    CHECK(detector.size() == 0);
    detector.record_refusal("bookings", start + 3s, start, start + 4s);
    CHECK(detector.size() == 0);
}

TEST_CASE("records of a route that is no longer requested don't block those of other routes") {
    retry_detector detector;
    for (int i = 0; i < 5'000; ++i) {
        detector.record_refusal("dropped", start + caller_timeout, start, start);
    }
    detector.record_refusal("bookings", start + 10s, start + 5s, start + 5s);
    CHECK(detector.take("bookings", start + 10s, start + 6s) == start + 5s);
    CHECK(detector.size() == 0);
}
