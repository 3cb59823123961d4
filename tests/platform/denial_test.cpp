#include "platform_cluster.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

/// Asks until the answer has this status; yields that answer, or the last one.
std::shared_ptr<caller_attempt> ask_until(platform_cluster &cluster, int status,
                                          const std::string &host) {
    std::shared_ptr<caller_attempt> attempt;
    cluster.run_until([&] {
        attempt = cluster.ask(0, host);
        cluster.run_until([&] { return attempt->status != 0; });
        return attempt->status == status;
    });
    return attempt;
}

} // namespace

// A node that was cut off from the voters told callers "no such route" for routes that had been in
// force elsewhere for up to 9.7 s: `"event":"request_denied","kind":"no-route","routes_version":4,
// "routes_age_ms":9657`, while others had version 63. A caller does not try again after a 404. The
// node answered by the table it had, however old. Here the leader is lost instead of the link to
// it, which is the same to the node.
TEST_CASE("no request is denied by a table that may have been replaced") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS, .voters = 3, .losses = 1});
    SUBCASE("a route that is not in the table") {
        REQUIRE(cluster.configure(1, 0));
        REQUIRE(cluster.serves());
        CHECK(ask_until(cluster, 404, "added-later")->status == 404);
        for (std::size_t place = 0; place < 3; ++place) {
            cluster.end_voter(place);
        }
        const auto unsure = ask_until(cluster, 503, "added-later");
        CHECK(unsure->status == 503);
        CHECK(!unsure->retry_after.empty());
        // What the table has goes on being served: a later one may say otherwise, but nothing that
        // is said to the caller is wrong by it.
        const auto served = cluster.send(3, false, false, 0);
        REQUIRE(cluster.run_until([&] { return served->status != 0; }));
        CHECK(served->status == 200);
        for (std::size_t place = 0; place < 3; ++place) {
            cluster.start_voter(place);
        }
        CHECK(ask_until(cluster, 404, "added-later")->status == 404);
    }
    SUBCASE("a body beyond limits that are not known yet") {
        std::shared_ptr<caller_attempt> attempt;
        while (!attempt || attempt->status < 0) { // the node may not be listening yet
            attempt = cluster.ask(0, "plain-once", 100U << 20U);
            REQUIRE(cluster.run_until([&] { return attempt->status != 0; }));
        }
        CHECK(attempt->status == 503);
        CHECK(!attempt->retry_after.empty());
    }
}
