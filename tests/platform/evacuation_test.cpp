#include "cluster_checks.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

/// As the stand-in platform tells its processes.
constexpr auto evacuation_bound = 3s;
/// Places of the targets in the failure domain z1: one with keys, one without.
constexpr std::size_t evacuated_keyed = 1;
constexpr std::size_t evacuated_plain = 4;

std::string path_of(const std::string &domain) {
    return "/peppertack/evacuate/" + domain;
}

bool order(platform_cluster &cluster, const std::string &method, const std::string &domain) {
    return cluster.run_until(
        [&] { return cluster.operate(method, "", path_of(domain)).first == 200; });
}

/// Sends requests at an even pace; yields how many were not served by a target.
std::size_t press(platform_cluster &cluster, duration time, std::mt19937_64 &random) {
    std::vector<std::shared_ptr<caller_attempt>> sent;
    const auto until = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < until) {
        for (const bool keyed : {true, false}) {
            sent.push_back(cluster.send(random() % cluster.nodes(), keyed, false,
                                        static_cast<std::uint32_t>(random() % 65536)));
        }
        cluster.run_for(10ms);
    }
    cluster.run_until([&] {
        return std::all_of(sent.begin(), sent.end(),
                           [](const auto &attempt) { return attempt->status != 0; });
    });
    return static_cast<std::size_t>(std::count_if(
        sent.begin(), sent.end(), [](const auto &attempt) { return attempt->status != 200; }));
}

std::uint64_t requests_in_evacuated(platform_cluster &cluster) {
    return cluster.target(evacuated_keyed).requests() + cluster.target(evacuated_plain).requests();
}

} // namespace

TEST_CASE("nothing reaches the targets of an evacuated failure domain until it is taken back") {
    // Guards against an evacuation that a node keeps for its own targets only, or that never ends.
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    std::mt19937_64 random(1);
    press(cluster, 500ms, random);
    REQUIRE(order(cluster, "POST", "z1"));
    CHECK(order(cluster, "POST", "z1")); // a resend is acknowledged again
    press(cluster, evacuation_bound, random);
    const std::uint64_t before = requests_in_evacuated(cluster);
    CHECK(press(cluster, 1s, random) == 0);
    CHECK(requests_in_evacuated(cluster) == before);
    CHECK(cluster.target(evacuated_keyed).holds().empty());
    REQUIRE(order(cluster, "DELETE", "z1"));
    CHECK(order(cluster, "DELETE", "z1"));
    CHECK(cluster.run_until([&] {
        press(cluster, 200ms, random);
        return cluster.target(evacuated_plain).requests() > before;
    }));
    check_all(cluster);
}

TEST_CASE("an evacuation is kept when all voters and nodes are killed") {
    // Guards against an acknowledged evacuation that only lives in memory.
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    std::mt19937_64 random(1);
    REQUIRE(order(cluster, "POST", "z1"));
    for (std::size_t i = 0; i < 3; ++i) {
        cluster.end_voter(i);
    }
    for (std::size_t i = 0; i < cluster.nodes(); ++i) {
        cluster.end_node(i);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        cluster.start_voter(i);
    }
    for (std::size_t i = 0; i < cluster.nodes(); ++i) {
        cluster.start_node(i);
    }
    REQUIRE(cluster.serves());
    press(cluster, evacuation_bound, random);
    const std::uint64_t before = requests_in_evacuated(cluster);
    press(cluster, 1s, random);
    CHECK(requests_in_evacuated(cluster) == before);
    check_all(cluster);
}

TEST_CASE("requests are refused at once where all failure domains of a service are evacuated") {
    // Guards against requests that wait for a target that may not be given any.
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    std::mt19937_64 random(1);
    for (const char *domain : {"z0", "z1"}) { // the service without keys has no targets elsewhere
        REQUIRE(order(cluster, "POST", domain));
    }
    press(cluster, evacuation_bound, random);
    const auto attempt = cluster.send(2, false, false, 0);
    cluster.run_until([&] { return attempt->status != 0; }, 300ms);
    CHECK(attempt->status == 503);
    CHECK_FALSE(attempt->retry_after.empty());
    for (const char *domain : {"z0", "z1"}) {
        REQUIRE(order(cluster, "DELETE", domain));
    }
    CHECK(cluster.serves());
    check_all(cluster);
}

TEST_CASE("orders to evacuate that can't be are refused") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    CHECK(cluster.operate("POST", "", path_of("nowhere")).first == 404);
    CHECK(cluster.operate("POST", "", path_of("")).first == 404);
    CHECK(cluster.operate("PUT", "", path_of("z1")).first == 405);
    CHECK(cluster.serves());
    check_all(cluster);
}
