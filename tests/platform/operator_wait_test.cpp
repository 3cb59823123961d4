#include "cluster_checks.hpp"

#include <algorithm>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

// Guards against operators, and tests, that ask a voter without a leader as fast as it answers.
TEST_CASE("an operator's call that finds no leader is told when to come back") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    cluster.end_voter(0);
    cluster.end_voter(1);
    std::shared_ptr<caller_attempt> attempt;
    REQUIRE(cluster.run_until([&] {
        attempt = cluster.ask_voter(2);
        cluster.run_until([&] { return attempt->status != 0; });
        return attempt->status == 503;
    }));
    CHECK_FALSE(attempt->retry_after.empty());
}

// Guards against a log that grows with each call of an operator who waits for a leader.
TEST_CASE("calls of operators that change nothing leave a bounded number of lines") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    cluster.end_voter(0);
    cluster.end_voter(1);
    constexpr std::size_t calls = 600;
    std::vector<std::shared_ptr<caller_attempt>> sent;
    for (std::size_t i = 0; i < calls; ++i) {
        sent.push_back(cluster.ask_voter(2));
        cluster.run_for(2ms);
    }
    REQUIRE(cluster.run_until([&] {
        return std::all_of(sent.begin(), sent.end(),
                           [](const auto &attempt) { return attempt->status != 0; });
    }));
    cluster.run_for(200ms);
    CHECK(cluster.voter_log_lines(2, "operator_call_ended") < calls / 2);
}
