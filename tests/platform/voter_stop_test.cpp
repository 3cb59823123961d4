#include "platform_cluster.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

// Guards against operators' calls that were read and then meet a closed connection.
TEST_CASE("a voter that stops answers the calls under way") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS, .voters = 3});
    REQUIRE(cluster.configure(1, 0));
    std::size_t leader = 0;
    REQUIRE(cluster.run_until([&] {
        leader = (leader + 1) % 3;
        const auto call = cluster.ask_voter(leader);
        cluster.run_until([&] { return call->status != 0; });
        return call->status == 200;
    }));
    for (std::size_t voter = 0; voter < 3; ++voter) {
        if (voter != leader) {
            cluster.signal_voter(voter, SIGSTOP); // the leader can't decide
        }
    }
    std::shared_ptr<caller_attempt> call;
    do {
        call = cluster.ask_voter(leader);
        cluster.run_for(50ms);
    } while (call->status == 200); // the others had not stopped yet
    REQUIRE(call->status == 0);
    cluster.signal_voter(leader, SIGTERM);
    SUBCASE("told once") {}
    SUBCASE("told twice") {
        cluster.run_for(50ms);
        cluster.signal_voter(leader, SIGTERM);
    }
    CHECK(cluster.run_until([&] { return call->status != 0; }));
    CHECK(call->status > 0);
}
