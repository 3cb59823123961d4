#include "cluster_checks.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr int conflict = 409; ///< the call is of a life that is not the present one
constexpr int bad_call = 400;
/// A life that is known to have ended leaves nothing to wait for: a lease here lasts 0.88 s, and
/// its successor is told its keys by its first or second heartbeat.
constexpr duration soon = std::chrono::seconds(5);

platform_cluster::options with_work(duration work) {
    return {.programs = PEPPERTACK_PROGRAMS, .work = work};
}

bool holds_keys(platform_cluster &cluster, std::size_t place) {
    return !cluster.target(place).holds().empty();
}

void serve(platform_cluster &cluster) {
    bring_up(cluster);
    REQUIRE(cluster.run_until([&] { return holds_keys(cluster, 0); }));
}

/// Lets the node beside a target find out that nothing listens at its address.
void meet_closed_address(platform_cluster &cluster, std::size_t place, std::uint32_t key) {
    cluster.target_links(place).refuse(true);
    const auto attempt = cluster.send(place, true, false, key);
    cluster.run_until([&] { return attempt->status != 0; });
    cluster.target_links(place).refuse(false);
}

/// Whether the target serves what it holds.
bool serves_own_keys(platform_cluster &cluster, std::size_t place) {
    return cluster.run_until(
        [&] {
            if (!holds_keys(cluster, place)) {
                return false;
            }
            const std::uint32_t key = cluster.target(place).holds().at(0).from;
            const auto attempt = cluster.send(1, true, false, key);
            cluster.run_until([&] { return attempt->status != 0; });
            return attempt->status == 200;
        },
        soon);
}

} // namespace

// A target that had crashed came back under its name and was never given a request again: its node
// had logged `"event":"target_gone","cause":"connection refused"` and kept the name as one that has
// ended, so each heartbeat of the new life was taken for a late one of the old. Where the node had
// not noticed the end, the new life's `sequence` of 1 lay below the old one's last, with the same
// result until a lease had passed; and the old registration with its holds went on.
TEST_CASE("a new life of a target begins under the name of the old one") {
    platform_cluster cluster(with_work(5ms));
    serve(cluster);
    const std::uint32_t key = cluster.target(0).holds().at(0).from;
    SUBCASE("while its lease runs") {
        cluster.target(0).crash();
        cluster.target(0).start_again();
    }
    SUBCASE("after its address took no connection") {
        cluster.target(0).crash();
        meet_closed_address(cluster, 0, key);
        cluster.target(0).start_again();
    }
    SUBCASE("twice within a heartbeat") {
        cluster.target(0).crash();
        cluster.target(0).start_again();
        cluster.run_for(20ms);
        cluster.target(0).crash();
        cluster.target(0).start_again();
    }
    SUBCASE("while it drains") {
        cluster.target(0).begin_drain();
        cluster.run_for(500ms);
        cluster.target(0).crash();
        cluster.target(0).start_again();
    }
    SUBCASE("after it has left") {
        const std::string body = cluster.target(0).heartbeat_body().dump();
        CHECK(cluster.tell(0, "DELETE", cluster.target(0).name(), body).first == 200);
        cluster.run_for(300ms);
        cluster.target(0).crash();
        cluster.target(0).start_again();
    }
    SUBCASE("with its clock set back, once the life before is known to be gone") {
        cluster.target(0).crash();
        meet_closed_address(cluster, 0, key);
        cluster.target(0).start_again(-10s);
    }
    SUBCASE("while its node is away") {
        cluster.end_node(0);
        cluster.target(0).crash();
        cluster.target(0).start_again();
        cluster.start_node(0);
    }
    SUBCASE("again and again") {
        for (int i = 0; i < 3; ++i) {
            cluster.target(0).crash();
            meet_closed_address(cluster, 0, key);
            cluster.target(0).start_again();
            REQUIRE(serves_own_keys(cluster, 0));
        }
    }
    CHECK(serves_own_keys(cluster, 0));
    CHECK(cluster.serves());
    check_all(cluster);
}

// The same, for a service without keys and for a life that is of another service than the one
// before: what was known of the old life decided where the new one was used.
TEST_CASE("a new life may be of another service than the one before") {
    platform_cluster cluster(with_work(5ms));
    serve(cluster);
    const std::uint32_t key = cluster.target(0).holds().at(0).from;
    cluster.target(0).crash();
    meet_closed_address(cluster, 0, key);
    cluster.target(0).set_service("plain");
    cluster.target(0).start_again();
    for (const std::size_t place : {3U, 4U}) {
        cluster.target(place).crash();
    }
    const auto served = [&] {
        const auto attempt = cluster.send(1, false, false, 0);
        cluster.run_until([&] { return attempt->status != 0; });
        return attempt->status == 200;
    };
    CHECK(cluster.run_until(served, soon));
    for (const std::size_t place : {3U, 4U}) {
        cluster.target(place).start_again();
    }
    check_all(cluster);
}

// A request that may run once was at work at a target that crashed and came back at once under its
// name. Nobody can tell what the old life did of it: it must neither run at the new one nor be
// answered as one that has not run.
TEST_CASE("what an ended life was working on is unknown") {
    platform_cluster cluster(with_work(600ms));
    serve(cluster);
    const std::uint32_t key = cluster.target(0).holds().at(0).from;
    const auto attempt = cluster.send(0, true, true, key);
    cluster.run_for(200ms);
    cluster.target(0).crash();
    cluster.target(0).start_again();
    REQUIRE(cluster.run_until([&] { return attempt->status != 0; }));
    CHECK(attempt->status == 502);
    CHECK(serves_own_keys(cluster, 0));
    check_all(cluster);
}

// Calls of an earlier life were held up on their way and arrived after the new life's. They changed
// what was known of the new one: it was told to drain, or dropped.
TEST_CASE("a late call of an earlier life changes nothing") {
    platform_cluster cluster(with_work(5ms));
    serve(cluster);
    stand_in_platform_target &target = cluster.target(0);
    nlohmann::json late = target.heartbeat_body();
    late["status"]["sequence"] = 1'000'000;
    late["status"]["state"] = "draining";
    target.crash();
    target.start_again();
    REQUIRE(serves_own_keys(cluster, 0));
    const stand_in_hold before = target.holds().at(0);

    CHECK(cluster.tell(0, "PUT", target.name(), late.dump()).first == conflict);
    CHECK(cluster.tell(0, "DELETE", target.name(), late.dump()).first == conflict);
    // A life never seen here that is earlier than the one in force is no other.
    late["born"] = late["born"].get<std::int64_t>() - 1;
    CHECK(cluster.tell(0, "PUT", target.name(), late.dump()).first == conflict);
    // Where lives are told apart, a call that names none is another writer's.
    late.erase("born");
    CHECK(cluster.tell(0, "PUT", target.name(), late.dump()).first == bad_call);
    CHECK(cluster.tell(0, "DELETE", target.name(), late.dump()).first == bad_call);

    cluster.run_for(1s);
    REQUIRE(holds_keys(cluster, 0));
    CHECK(target.holds().at(0).token == before.token);
    CHECK(serves_own_keys(cluster, 0));
    check_all(cluster);
}

// A heartbeat may come from another writer, under the name of a target that is at work. A service
// that no table names was announced for the target in its place, which gave up its keys.
TEST_CASE("a heartbeat of another writer changes nothing") {
    platform_cluster cluster(with_work(5ms));
    serve(cluster);
    stand_in_platform_target &target = cluster.target(0);
    const stand_in_hold before = target.holds().at(0);
    nlohmann::json other = target.heartbeat_body();
    other["status"]["sequence"] = 1'000'000;
    nlohmann::json unknown_state = other;
    unknown_state["status"]["state"] = "odd";
    nlohmann::json unknown_service = other;
    unknown_service["info"]["service"] = "nowhere";
    for (const std::string &body :
         {std::string("{"), std::string("[]"), unknown_state.dump(), unknown_service.dump()}) {
        CAPTURE(body);
        CHECK(cluster.tell(0, "PUT", target.name(), body).first == bad_call);
    }
    CHECK(cluster.tell(0, "DELETE", target.name(), "[]").first == bad_call);
    cluster.run_for(1s);
    REQUIRE(holds_keys(cluster, 0));
    CHECK(target.holds().at(0).token == before.token);
    CHECK(serves_own_keys(cluster, 0));

    // A table that may have been replaced does not tell which services there are.
    for (std::size_t place = 0; place < 3; ++place) {
        cluster.end_voter(place);
    }
    const auto unsure = [&] {
        return cluster.tell(0, "PUT", target.name(), unknown_service.dump()).first == 503;
    };
    CHECK(cluster.run_until(unsure));
    check_all(cluster);
}
