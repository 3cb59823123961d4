#include "cluster_checks.hpp"
#include "hold_call_codec.hpp"
#include "names.hpp"
#include "wall_clock.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::platform;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

platform_cluster::options by_call() {
    // Leases, and so holds, are as long as a few heartbeats.
    return {.programs = PEPPERTACK_PROGRAMS, .heartbeat_s = 0.5, .grants = "rpc"};
}

const hold_call grant{.id = 1, .what = hold_call::kind::grant, .span = {4096, 8191, 12, "5c0e"}};
const hold_call release{.id = 2, .what = hold_call::kind::release, .span = {4096, 8191, 12, ""}};

} // namespace

TEST_CASE("calls of holds are written as the platform reads them") {
    const whole_call granting = hold_calls()->request(grant, "10.0.0.1:80", 1500ms);
    CHECK(granting.head.method == "POST");
    CHECK(granting.head.target == "/peppertack/grant");
    CHECK(granting.head.content_length == granting.body.size());
    CHECK(nlohmann::json::parse(granting.body) ==
          nlohmann::json::parse(
              R"({"from":4096,"target_version":8191,"fence":12,"hold_s":1.5,"handover":"5c0e"})"));
    const whole_call releasing = hold_calls()->request(release, "10.0.0.1:80", {});
    CHECK(releasing.head.target == "/peppertack/release");
    CHECK(nlohmann::json::parse(releasing.body) ==
          nlohmann::json::parse(R"({"from":4096,"target_version":8191,"fence":12})"));
}

TEST_CASE("answers to calls of holds tell what was done, and nothing else does") {
    using kind = hold_call_end::kind;
    const auto answer = [](const hold_call &call, int status, std::vector<header_field> headers) {
        http_head head;
        head.status = status;
        head.headers = std::move(headers);
        return hold_calls()->read_answer(call, head);
    };
    CHECK(answer(grant, 200, {}).result == kind::done);
    CHECK(answer(grant, 409, {}).result == kind::token_refused);
    CHECK(answer(grant, 400, {}).result == kind::lost);
    CHECK(answer(grant, 503, {}).result == kind::lost);
    CHECK(answer(release, 200, {{"X-Handover", "h"}}) ==
          hold_call_end{.result = kind::done, .handover = "h"});
    // Without the header it may be a repeated answer to a grant.
    CHECK(answer(release, 200, {}) == hold_call_end{.result = kind::done, .identified = false});
    CHECK(!answer(grant, 200, {}).identified);
    CHECK(!answer(grant, 409, {}).identified);
    CHECK(answer(release, 409, {}).result == kind::lost);
}

TEST_CASE("the words for how keys are handed over") {
    CHECK(delivery_named("heartbeat") == hold_delivery::by_heartbeat);
    CHECK(delivery_named("rpc") == hold_delivery::by_call);
    CHECK(delivery_named("carrier-pigeon") == hold_delivery::unknown);
    CHECK(delivery_named("") == hold_delivery::unknown);
}

TEST_CASE("targets that take their keys by calls are granted them, moved and killed ones too") {
    platform_cluster cluster(by_call());
    bring_up(cluster);
    REQUIRE(cluster.run_until([&] { return cluster.target(0).grants() > 0; }));
    SUBCASE("a target crashes and another starts") {
        cluster.target(0).crash();
        cluster.run_for(100ms);
        CHECK(cluster.serves());
        cluster.target(0).start();
        CHECK(cluster.run_until([&] { return !cluster.target(0).holds().empty(); }));
        CHECK(cluster.serves());
    }
    SUBCASE("a target leaves: its keys are released") {
        cluster.target(0).begin_drain();
        CHECK(cluster.run_until([&] { return cluster.target(0).holds().empty(); }));
        CHECK(cluster.target(0).releases() > 0);
        CHECK(cluster.serves());
    }
    SUBCASE("a node is killed and comes back") {
        cluster.end_node(0);
        cluster.start_node(0);
        const std::uint64_t grants = cluster.target(0).grants();
        CHECK(cluster.run_until([&] { return cluster.target(0).grants() > grants; }));
        CHECK(cluster.serves());
    }
    check_all(cluster);
}

TEST_CASE("grants that are carried out late never make a second holder") {
    // Symptom: two targets ran requests for one key. Sequence: calls to a target were left without
    // an answer; its keys moved to others since it left; it carried the calls out seconds later.
    platform_cluster cluster(by_call());
    bring_up(cluster);
    cluster.target(0).set_hold_call_faults({.late = 900ms});
    cluster.run_for(1s);
    cluster.target(0).begin_drain();
    CHECK(cluster.run_until([&] { return cluster.target(0).releases() > 0; }));
    cluster.run_for(4s);
    cluster.target(0).set_hold_call_faults({});
    CHECK(cluster.serves());
    check_all(cluster);
}

TEST_CASE("answers to grants that are lost leave the keys served") {
    platform_cluster::options options = by_call();
    SUBCASE("holds of a second") {}
    SUBCASE("holds of a third of a second") {
        options.heartbeat_s = 0.2;
    }
    platform_cluster cluster(options);
    bring_up(cluster);
    cluster.target(0).set_hold_call_faults({.lose_answers = true});
    cluster.run_for(3s);
    std::vector<std::shared_ptr<caller_attempt>> sent;
    for (std::uint32_t key = 0; key < 65536; key += 4096) {
        sent.push_back(cluster.send(1, true, false, key));
    }
    check_all_served(cluster, sent);
    check_all(cluster);
}

TEST_CASE("a target that ends while it is asked for keys back loses nothing") {
    platform_cluster cluster(by_call());
    bring_up(cluster);
    cluster.target(0).set_hold_call_faults({.crash_on_release = true});
    cluster.target(0).begin_drain();
    CHECK(cluster.run_until([&] { return !cluster.target(0).up(); }));
    CHECK(cluster.serves());
    check_all(cluster);
}

TEST_CASE("a target that has seen a higher token gets keys under a new registration") {
    platform_cluster cluster(by_call());
    bring_up(cluster);
    cluster.target(0).set_hold_call_faults({.seen_token = 1'000'000});
    const std::uint64_t before = cluster.target(0).grants();
    cluster.run_for(3s);
    // One call for each of its ranges and registration, not one for each renewal interval.
    CHECK(cluster.target(0).grants() - before < 100);
    cluster.target(0).set_hold_call_faults({});
    CHECK(cluster.run_until([&] { return !cluster.target(0).holds().empty(); }));
    CHECK(cluster.serves());
    check_all(cluster);
}

TEST_CASE("a service changes the way in which its targets get their keys") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    REQUIRE(cluster.target(0).grants() == 0);
    cluster.set_grants("rpc");
    REQUIRE(cluster.configure(2, 1));
    CHECK(cluster.run_until([&] { return cluster.target(0).grants() > 0; }));
    CHECK(cluster.serves());
    cluster.set_grants("heartbeat");
    REQUIRE(cluster.configure(3, 2));
    cluster.run_for(3s);
    const std::uint64_t grants = cluster.target(0).grants();
    cluster.run_for(1s);
    CHECK(cluster.target(0).grants() == grants);
    CHECK(cluster.serves());
    // In a way that is not known no keys are given, and services without keys go on.
    cluster.set_grants("carrier-pigeon");
    REQUIRE(cluster.configure(4, 3));
    cluster.run_for(4s);
    const instant now = steady_instant();
    CHECK(std::none_of(cluster.target(0).holds().begin(), cluster.target(0).holds().end(),
                       [now](const stand_in_hold &hold) { return now < hold.until; }));
    const auto attempt = cluster.send(1, false, false, 0);
    REQUIRE(cluster.run_until([&] { return attempt->status != 0; }));
    CHECK(attempt->status == 200);
    check_all(cluster);
}
