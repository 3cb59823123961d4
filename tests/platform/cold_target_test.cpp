#include "cluster_checks.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t first_plain = 3; ///< the first of two nodes with the service without keys

platform_cluster::options with_cold_targets() {
    return {.programs = PEPPERTACK_PROGRAMS, .cold_per_s = 10, .cold_start = 2s};
}

/// Sends far more than cold targets tolerate, from all nodes, and waits for none of the answers.
void press(platform_cluster &cluster, duration time, std::mt19937_64 &random) {
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
        for (const bool keyed : {true, false}) {
            cluster.send(random() % cluster.nodes(), keyed, false,
                         static_cast<std::uint32_t>(random() % 65536));
        }
        cluster.run_for(4ms);
    }
}

} // namespace

TEST_CASE("targets that start again get no more than cold ones tolerate") {
    // Guards against a bound that each sender keeps for itself, or that is known too late.
    platform_cluster cluster(with_cold_targets());
    bring_up(cluster);
    std::mt19937_64 random(1);
    press(cluster, 2500ms, random);
    SUBCASE("under a new name") {
        for (std::size_t place = 0; place < cluster.nodes(); ++place) {
            cluster.target(place).crash();
        }
        press(cluster, 300ms, random);
        for (std::size_t place = 0; place < cluster.nodes(); ++place) {
            cluster.target(place).start();
        }
    }
    SUBCASE("under the name that they had") {
        for (std::size_t place = 0; place < cluster.nodes(); ++place) {
            cluster.target(place).crash();
            cluster.target(place).start_again();
        }
    }
    SUBCASE("while their nodes are started again") {
        for (std::size_t place = 0; place < cluster.nodes(); ++place) {
            cluster.target(place).crash();
            cluster.end_node(place);
            cluster.target(place).start_again();
            cluster.start_node(place);
        }
    }
    press(cluster, 2500ms, random);
    CHECK(cluster.target(first_plain).most_while_cold() > 0);
    CHECK(cluster.serves());
    check_all(cluster);
}

TEST_CASE("a node that was started again asks whether its target is cold") {
    // Guards against a target that is taken for warm since nobody told the new process otherwise.
    platform_cluster cluster(with_cold_targets());
    bring_up(cluster);
    std::mt19937_64 random(1);
    press(cluster, 2500ms, random);
    cluster.end_node(first_plain);
    cluster.target(first_plain).become_cold(2s);
    cluster.start_node(first_plain);
    press(cluster, 2500ms, random);
    CHECK(cluster.serves());
    check_all(cluster);
}

TEST_CASE("a frozen node asks whether its target is cold before it goes on") {
    // Guards against what the process last heard of its target before it stood still.
    platform_cluster cluster(with_cold_targets());
    bring_up(cluster);
    std::mt19937_64 random(1);
    press(cluster, 2500ms, random);
    cluster.signal_node(first_plain, SIGSTOP);
    cluster.run_for(1500ms);
    cluster.target(first_plain).become_cold(2s);
    cluster.signal_node(first_plain, SIGCONT);
    press(cluster, 2500ms, random);
    CHECK(cluster.serves());
    check_all(cluster);
}
