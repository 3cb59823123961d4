#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/state/routing_delta.hpp"
#include "peppertack/state/text_compression.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

/// A node and its sent messages.
class renewing_node {
public:
    explicit renewing_node(node_options settings) : m_options(std::move(settings)) {}

    /// Ticks the client and returns the sequence number of its last renewal.
    std::uint64_t renew(instant now) {
        lease.tick(
            {now, 0}, [](renew_request &, instant) {}, sent);
        return std::get<renew_request>(sent.back().body).sequence;
    }

private:
    node_options m_options;

public:
    lease_client lease{m_options};
    std::vector<outgoing> sent;
};

} // namespace

TEST_CASE("a node that contacted the leader by its bare address adopts the list of voters") {
    // Guards against nodes that keep asking unreachable seeds while a reachable leader exists. A
    // node contacted a seed by its bare address and the answer listed all voters by their
    // identities; the seed's address was not found in that list, so the list was ignored.
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    lease_client lease(options);
    std::vector<outgoing> sent;
    lease.tick(
        {instant(1000s), 0}, [](renew_request &, instant) {}, sent);
    lease.receive("a:1",
                  renew_reply{.sequence = std::get<renew_request>(sent.back().body).sequence,
                              .is_leader = true,
                              .voters = {"a:1#founder", "b:1#founder", "c:1#7"}},
                  {instant(1000s), 0});
    CHECK(lease.voters().size() == 3);
}

// A node without contact to a leader rejected requests by its old table indefinitely. The table may
// be used for final rejections only for a bounded time after a leader last confirmed it, counted
// from when the node sent the renewal, since the answer may be delayed.
TEST_CASE("a table is trusted for a bounded time after a leader confirmed it") {
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    options.table_trusted_for = 1s;
    renewing_node node(options);
    lease_client &lease = node.lease;
    const instant start(1000s);
    const routing_table routing{.version = 4};
    renew_reply reply{.sequence = node.renew(start), .is_leader = true, .routes_version = 4};
    reply.routes = compress_text(encode(routing));
    CHECK(!lease.routes_trusted(start));
    lease.receive("a:1", reply, {start + 400ms, 0});
    REQUIRE(lease.routes().version == 4);
    CHECK(lease.routes_trusted(start + 999ms));
    CHECK(!lease.routes_trusted(start + 1s));

    // An answer with a newer version number but without its table confirms nothing.
    renew_reply newer{
        .sequence = node.renew(start + 600ms), .is_leader = true, .routes_version = 63};
    lease.receive("a:1", newer, {start + 601ms, 0});
    CHECK(!lease.routes_trusted(start + 1s));

    // Nor does the answer of a voter that is not the leader.
    renew_reply other{.sequence = node.renew(start + 1200ms), .routes_version = 4};
    lease.receive("a:1", other, {start + 1201ms, 0});
    CHECK(!lease.routes_trusted(start + 1201ms));

    renew_reply same{
        .sequence = node.renew(start + 1500ms), .is_leader = true, .routes_version = 4};
    lease.receive("a:1", same, {start + 1501ms, 0});
    CHECK(lease.routes_trusted(start + 1501ms));
}

// A clock that counts from the start of the instance reads less than a second in a process started
// with it. "Never confirmed" was stored as zero, so a node that had reached no voter treated its
// limits and its table as confirmed during that first second.
TEST_CASE("no table is trusted before a leader has confirmed one") {
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    const lease_client lease(options);
    CHECK(!lease.routes_trusted(instant(500ms)));
    CHECK(!lease.table_trusted(instant(500ms)));
}

// A leader answers a renewal only after a quorum has confirmed it, and the answer may wait for a
// connection. A node restarted meanwhile received the answer to its earlier incarnation's renewal
// and, since both numbered their renewals from 1, took it for its own. It took a leadership
// confirmed five seconds ago as current and got a lease that outlasted the leader's by five
// seconds.
TEST_CASE(
    "an answer to an earlier incarnation of the process confirms nothing and brings no lease") {
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    options.incarnation = 11;
    node_options restarted = options;
    restarted.incarnation = 12;
    const instant start(1000s);
    const target_announcement target{.name = "t", .service = "s", .slots = 1, .connections = 1};
    const auto renew = [&](lease_client &lease, instant now) {
        std::vector<outgoing> sent;
        lease.announce(target, {now, 0});
        lease.tick(
            {now, 0}, [](renew_request &, instant) {}, sent);
        REQUIRE(sent.size() == 1);
        return std::get<renew_request>(sent.back().body).sequence;
    };
    lease_client before(options);
    const std::uint64_t asked_before = renew(before, start);
    const routing_table routing{.version = 4};
    renew_reply held_up{.sequence = asked_before,
                        .is_leader = true,
                        .number = 7,
                        .lease = options.lease.length,
                        .routes_version = 4};
    held_up.routes = compress_text(encode(routing));

    lease_client after(restarted);
    renew(after, start + 5s);
    after.receive("a:1", held_up, {start + 5010ms, 0});
    CHECK(!after.routes_trusted(start + 5010ms));
    CHECK(after.number() == no_target);
    CHECK(!after.lease_valid(start + 5010ms));
}

TEST_CASE("a node renews more often until its target has a number") {
    // The first answer to an announcement carries no number. At the usual interval, 200 targets
    // that returned together after a power loss stayed without a lease for one renewal interval
    // longer.
    node_options options;
    options.self = "n:1";
    options.voters = {"v:1"};
    options.renew_interval = 300ms;
    renewing_node node(options);
    const instant start(1000s);
    node.lease.announce({.name = "t", .service = "s"}, {start, 0});
    const auto answer = [&](instant now, target_number number) {
        const renew_reply reply{.sequence = node.renew(now), .is_leader = true, .number = number};
        node.lease.receive("v:1", reply, {now + 1ms, 0});
    };
    answer(start, no_target);
    answer(start + 110ms, 7);
    REQUIRE(node.sent.size() == 2);
    answer(start + 220ms, 7);
    REQUIRE(node.sent.size() == 3);
    node.renew(start + 330ms);
    CHECK(node.sent.size() == 3);
}
