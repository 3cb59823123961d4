#include "peppertack/transport/request_log.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace peppertack;
using namespace std::chrono_literals;

// Guards against as many lines about lines that were left out as there are lines about requests.
TEST_CASE("what was left out of the log is told once a second") {
    request_log log({.lines_a_second = 5, .burst = 10});
    instant now(1000s);
    for (int i = 0; i < 1000; ++i, now += 10ms) {
        log.note("request_ended", {{"request", i}}, now);
    }
    CHECK(log.noted() == 1000);
    CHECK(log.noted() - log.left_out() <= 10 + 5 * 10 + 1);
    CHECK(log.lines() <= log.noted() - log.left_out() + 11);
    CHECK(log.lines() > log.noted() - log.left_out());
}
