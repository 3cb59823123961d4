#include "peppertack/coordination/hold_manager.hpp"

#include "held_lease.hpp"
#include "peppertack/state/key_hash.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr instant start(1000s);

/// A node's lease with keys 0 to 99 under token 5 and the others under token 6. The second range
/// may be moving to another target.
struct lease_fixture : held_lease {
    explicit lease_fixture(target_number next = no_target) : held_lease(start) {
        set_ranges({{.first = 0, .owner = own, .token = 5, .handover = "from-before"},
                    {.first = ordered_key_hash(100), .owner = own, .token = 6, .next = next}});
    }
    lease_client &lease = client;
};

const std::uint64_t key_50 = ordered_key_hash(50);
const std::uint64_t key_500 = ordered_key_hash(500);

} // namespace

TEST_CASE("a hold ends before the node's lease does") {
    lease_fixture node;
    REQUIRE(node.lease.lease_valid(start + 20ms));
    hold_manager holds({});
    CHECK(holds.state_of(key_50, node.lease, start + 20ms) == hold_manager::key_state::expected);
    const hold_grant grant = holds.grant(node.lease, start + 20ms, start + 20ms);
    REQUIRE(grant.renews);
    CHECK(grant.holds == std::vector<held_span>{{0, 99, 5, "from-before"}, {100, 65535, 6, ""}});
    // A clock that is 2 % slow prolongs the hold.
    const auto max_real_length =
        duration(static_cast<duration::rep>(static_cast<double>(grant.length.count()) * 1.02));
    CHECK(start + 20ms + max_real_length <= node.lease.lease_until());
    CHECK(holds.state_of(key_50, node.lease, start + 20ms) == hold_manager::key_state::held);
    CHECK(holds.state_of(key_50, node.lease, start + 3s) != hold_manager::key_state::held);
    CHECK_FALSE(holds.grant(node.lease, start + 3s, start + 3s).renews);
}

TEST_CASE("a moving range is left out of the grant and reported once it is released") {
    lease_fixture node(9);
    hold_manager holds({});
    const hold_grant grant = holds.grant(node.lease, start + 20ms, start + 20ms);
    CHECK(grant.holds.size() == 1);
    CHECK(holds.state_of(key_500, node.lease, start + 20ms) == hold_manager::key_state::moving);

    hold_report still{.holds = {{0, 99, 5, ""}, {100, 65535, 6, ""}}};
    holds.reset();
    holds.note(still, node.lease);
    renew_request request;
    holds.fill_report(request, node.lease);
    CHECK(request.released.empty());
    CHECK_FALSE(holds.has_unreported_release());

    hold_report let_go{.holds = {{0, 99, 5, ""}}, .freed = {{100, 65535, "what-it-knew"}}};
    holds.note(let_go, node.lease);
    CHECK(holds.has_unreported_release());
    holds.fill_report(request, node.lease);
    REQUIRE(request.released.size() == 1);
    CHECK(request.released[0] == range_report{"s", ordered_key_hash(100), 6, 9, "what-it-knew"});
    // The target does not repeat its released spans once they were acknowledged.
    holds.note({.holds = {{0, 99, 5, ""}}}, node.lease);
    request.released.clear();
    holds.fill_report(request, node.lease);
    REQUIRE(request.released.size() == 1);
    CHECK(request.released[0].handover == "what-it-knew");
}

TEST_CASE("no key is held after the lease has ended or the target has changed") {
    lease_fixture node;
    hold_manager holds({});
    holds.grant(node.lease, start + 20ms, start + 20ms);
    holds.reset();
    CHECK(holds.state_of(key_50, node.lease, start + 20ms) == hold_manager::key_state::expected);
    node.lease.give_up({start + 30ms, 0});
    CHECK(holds.state_of(key_50, node.lease, start + 40ms) != hold_manager::key_state::held);
}

TEST_CASE("a delayed answer grants a hold of the same length") {
    lease_fixture node;
    hold_manager holds({});
    const hold_grant at_once = holds.grant(node.lease, start + 20ms, start + 20ms);
    const hold_grant waited = holds.grant(node.lease, start + 20ms, start + 420ms);
    CHECK(waited.length == at_once.length);
    CHECK_FALSE(holds.grant(node.lease, start - 9s, start + 3s).renews);
}

TEST_CASE("a target without keys expects unowned keys") {
    // After a power loss, keys stayed unserved for one heartbeat interval longer than it took to
    // grant them: a target's first heartbeat was answered while its service's keys were still
    // unowned, and nothing showed that some were about to be assigned.
    held_lease node(start);
    const hold_manager holds({});
    const auto with_owner = [&](target_number first, target_number second) {
        node.set_ranges({{.first = 0, .owner = first},
                         {.first = ordered_key_hash(100), .owner = second, .token = 6}});
        return holds.expects_keys(node.client);
    };
    CHECK(with_owner(no_target, 8));
    CHECK_FALSE(with_owner(8, 8));
    CHECK_FALSE(with_owner(no_target, held_lease::own)); // it already has some
}
