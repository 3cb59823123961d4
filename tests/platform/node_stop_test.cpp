#include "cluster_checks.hpp"

#include <csignal>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

using attempts = std::vector<std::shared_ptr<caller_attempt>>;

constexpr std::size_t first_stopped = 0; ///< beside a target with keys
constexpr std::size_t second_stopped = 1;
constexpr auto between_stops = 2700ms;
constexpr std::chrono::milliseconds long_run = 2s;

void wait_for_answers(platform_cluster &cluster, const attempts &sent) {
    REQUIRE(cluster.run_until([&] {
        return std::all_of(sent.begin(), sent.end(),
                           [](const auto &attempt) { return attempt->status != 0; });
    }));
}

std::uint32_t first_key(platform_cluster &cluster, std::size_t place) {
    REQUIRE(cluster.run_until([&] { return !cluster.target(place).holds().empty(); }));
    return cluster.target(place).holds().at(0).from;
}

} // namespace

// Guards against a node that gives up a request at which its target is at work, since it stops
// ahead of the node that took the request.
TEST_CASE("requests that reach a target whose node stops ahead of theirs are run whole or not") {
    platform_cluster cluster(
        {.programs = PEPPERTACK_PROGRAMS, .deadline = 5s, .timeout = 3s, .direct = true});
    bring_up(cluster);
    const std::uint32_t key = first_key(cluster, first_stopped);
    attempts sent{cluster.send_working(second_stopped, true, false, key, long_run)};
    REQUIRE(cluster.run_until([&] { return cluster.has_run(sent.front()->id); }));
    const auto begun = std::chrono::steady_clock::now();
    cluster.signal_node(first_stopped, SIGTERM);
    const auto send_at = [&](duration after, std::size_t node, bool keyed) {
        cluster.run_until([&] { return std::chrono::steady_clock::now() >= begun + after; });
        for (const bool once : {false, true}) {
            sent.push_back(cluster.send_working(node, keyed, once, key, long_run));
        }
    };
    // Callers that stay keep the first node from ending its stop soon.
    for (const auto after : {0ms, 1000ms, 2000ms, 2600ms}) {
        send_at(after, first_stopped, false);
    }
    cluster.run_until([&] { return std::chrono::steady_clock::now() >= begun + between_stops; });
    cluster.signal_node(second_stopped, SIGTERM);
    for (const auto after : {3450ms, 3500ms, 3550ms}) {
        send_at(after, second_stopped, true);
    }
    wait_for_answers(cluster, sent);
    for (const auto &attempt : sent) {
        CAPTURE(attempt->id);
        CAPTURE(attempt->status);
        const bool untouched = attempt->status == 503 && !cluster.has_run(attempt->id);
        CHECK((attempt->status == 200 || untouched));
    }
    cluster.run_for(long_run); // until no run is left that could be found cut
    CHECK(cluster.cut_runs().empty());
    check_all(cluster);
}

// Guards against answers that say that a request may have run where it crossed the end of a
// connection to a node that had stopped, and no target got it.
TEST_CASE("requests for keys beside a node that stops are not said to have run unless they have") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS, .direct = true});
    bring_up(cluster);
    std::mt19937_64 random(1);
    for (std::size_t round = 0; round < 5; ++round) {
        CAPTURE(round);
        const std::size_t stopped = round % 3; // those beside targets with keys
        const std::uint32_t key = first_key(cluster, stopped);
        attempts sent;
        cluster.signal_node(stopped, SIGTERM);
        while (!cluster.node_ended(stopped)) {
            const std::size_t other =
                (stopped + 1 + random() % (cluster.nodes() - 1)) % cluster.nodes();
            sent.push_back(cluster.send(other, true, random() % 2 == 0, key));
            cluster.run_for(1ms);
        }
        wait_for_answers(cluster, sent);
        for (const auto &attempt : sent) {
            CAPTURE(attempt->id);
            CAPTURE(attempt->node);
            CAPTURE(attempt->status);
            const bool unsure = attempt->status == 502 || attempt->status == -1;
            CHECK_FALSE((unsure && !cluster.has_run(attempt->id)));
        }
        cluster.start_node(stopped);
        REQUIRE(cluster.run_until([&] {
            const auto attempt = cluster.send(stopped, true, false, key);
            wait_for_answers(cluster, {attempt});
            cluster.run_for(20ms);
            return attempt->status == 200;
        }));
    }
    check_all(cluster);
}
