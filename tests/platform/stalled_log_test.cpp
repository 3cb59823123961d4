#include "cluster_checks.hpp"
#include "local_cluster.hpp"

#include <csignal>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

// Guards against voters and nodes that serve nothing while the disk of their log stands still.
TEST_CASE("requests are served while no line of any log can be written") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS,
                              .environment = stalled_disk(PEPPERTACK_PROGRAMS, "l", 10min)});
    bring_up(cluster);
    cluster.end_voter(0);
    CHECK(cluster.serves());
    CHECK(cluster.configure(2, 1));
    check_all(cluster);
}

// Guards against a process that waits for its log when it is to end.
TEST_CASE("a node stops in order while no line of its log can be written") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS,
                              .environment = stalled_disk(PEPPERTACK_PROGRAMS, "l", 10min)});
    bring_up(cluster);
    cluster.signal_node(3, SIGTERM);
    CHECK(cluster.run_until([&] { return cluster.node_ended(3); }));
    CHECK(cluster.serves());
    check_all(cluster);
}
