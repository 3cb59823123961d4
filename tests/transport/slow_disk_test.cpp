#include "../support/local_cluster.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <httplib.h>

using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *programs = PEPPERTACK_PROGRAMS;

cluster_options with_slow_syncs(std::chrono::milliseconds least, std::chrono::milliseconds most) {
    cluster_options options = small_cluster({{"emision", 4}});
    options.node_environment = slow_syncs(programs, least, most);
    return options;
}

bool served(const local_cluster &cluster, std::size_t by, const std::string &key) {
    httplib::Client client("http://" + cluster.http_address(by));
    client.set_read_timeout(8s);
    const httplib::Result answer = client.Get("/s/emision/k/" + key);
    return answer && answer->status == 200;
}

/// Loses the leader with the target beside it; every key is served by others, and the instance
/// takes part again.
void check_loss_of_leader(local_cluster &cluster) {
    const auto leader = cluster.leader();
    REQUIRE(leader);
    cluster.signal_node(*leader, SIGKILL);
    cluster.signal_target(*leader, SIGKILL);
    const std::size_t other = (*leader + 1) % 4;
    for (int key = 0; key < 20; ++key) {
        CHECK(local_cluster::wait_until(
            20s, [&] { return served(cluster, other, "key-" + std::to_string(key)); }));
    }
    cluster.start_node(*leader);
    cluster.start_target(*leader);
    CHECK(local_cluster::wait_until(
        20s, [&] { return cluster.dump(*leader)["node"].value("lease_valid", false); }));
}

} // namespace

// Guards against keys without an owner for as long as syncs take longer than leases.
TEST_CASE("a leader is lost while each sync takes a second") {
    local_cluster cluster(programs, with_slow_syncs(1000ms, 1000ms));
    REQUIRE(cluster.make_ready());
    check_loss_of_leader(cluster);
}

TEST_CASE("a leader is lost while syncs take from 100 to 1,500 ms") {
    local_cluster cluster(programs, with_slow_syncs(100ms, 1500ms));
    REQUIRE(cluster.make_ready());
    check_loss_of_leader(cluster);
}

// Guards against a voter that writes to its log although nothing has changed: targets whose
// renewals came late were ended and registered again, one sync each, without end.
TEST_CASE("a healthy fleet decides nothing while disks are slow") {
    local_cluster cluster(programs, with_slow_syncs(1000ms, 1000ms));
    REQUIRE(cluster.make_ready());
    const auto decisions = [&] {
        std::uint64_t most = 0;
        for (std::size_t place = 0; place < 3; ++place) {
            const nlohmann::json dump = cluster.dump(place);
            most = std::max(most, dump["control"].value("commit_index", std::uint64_t{0}));
        }
        return most;
    };
    // Standby copies and the first balancing are decided after the keys have owners.
    std::uint64_t before = 0;
    REQUIRE(local_cluster::wait_until(30s, [&] {
        const std::uint64_t last = std::exchange(before, decisions());
        std::this_thread::sleep_for(3s);
        return last == before && decisions() == before;
    }));
    std::this_thread::sleep_for(5s);
    CHECK(decisions() == before);
}

// Guards against leases that end because a process waits for the disk of its log.
TEST_CASE("keys have owners while no line of any log can be written") {
    cluster_options options = small_cluster({{"emision", 4}});
    options.node_environment = stalled_disk(programs, "l", 10min);
    local_cluster cluster(programs, options);
    REQUIRE(cluster.make_ready());
    check_loss_of_leader(cluster);
}
