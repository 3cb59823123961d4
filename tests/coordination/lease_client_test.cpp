#include "peppertack/coordination/lease_client.hpp"
#include "peppertack/state/routing_delta.hpp"
#include "peppertack/state/text_compression.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

/// A node and what it has sent.
class asking_node {
public:
    explicit asking_node(node_options settings) : m_options(std::move(settings)) {}

    /// Number of the last renewal once that time has come.
    std::uint64_t ask(instant now) {
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

TEST_CASE("a node that found the leader by its address follows the list of voters") {
    // Symptom: nodes went on asking seeds that they were cut from, while a leader they could reach
    // was at work. Sequence: a node asked a seed by its bare address; the answer listed all voters
    // by their identities. Cause: the seed's address is not found in that list, so the list is
    // passed over.
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

// A node that can't reach a leader denied requests by the table it had, for as long as it lived.
// What it may say for good is bounded by the last time a leader confirmed the table, counted from
// when the node asked: the answer may have been long on its way.
TEST_CASE("a table is trusted for a bounded time after a leader confirmed it") {
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    options.table_trusted_for = 1s;
    asking_node node(options);
    lease_client &lease = node.lease;
    const instant start(1000s);
    const routing_table routing{.version = 4};
    renew_reply reply{.sequence = node.ask(start), .is_leader = true, .routes_version = 4};
    reply.routes = compress_text(encode(routing));
    CHECK(!lease.routes_trusted(start));
    lease.receive("a:1", reply, {start + 400ms, 0});
    REQUIRE(lease.routes().version == 4);
    CHECK(lease.routes_trusted(start + 999ms));
    CHECK(!lease.routes_trusted(start + 1s));

    // An answer that names a newer version and does not bring it confirms nothing.
    renew_reply newer{.sequence = node.ask(start + 600ms), .is_leader = true, .routes_version = 63};
    lease.receive("a:1", newer, {start + 601ms, 0});
    CHECK(!lease.routes_trusted(start + 1s));

    // Nor does one of a voter that does not lead.
    renew_reply other{.sequence = node.ask(start + 1200ms), .routes_version = 4};
    lease.receive("a:1", other, {start + 1201ms, 0});
    CHECK(!lease.routes_trusted(start + 1201ms));

    renew_reply same{.sequence = node.ask(start + 1500ms), .is_leader = true, .routes_version = 4};
    lease.receive("a:1", same, {start + 1501ms, 0});
    CHECK(lease.routes_trusted(start + 1501ms));
}

// A clock that counts from the start of the instance reads less than a second in a process that is
// started with it. "Never confirmed" was kept as zero, so the limits and the table of a node that
// had heard from no voter passed for confirmed in that first second.
TEST_CASE("no table is trusted before a leader has confirmed one") {
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    const lease_client lease(options);
    CHECK(!lease.routes_trusted(instant(500ms)));
    CHECK(!lease.table_trusted(instant(500ms)));
}

// A leader answers a renewal only once a quorum has confirmed it, and an answer waits for a
// connection to the node's address. A node that was started again meanwhile is given the answer to
// its earlier life, and counts its renewals from 1 like that life did: the answer passed for one to
// the renewal of the same number. It showed a leadership of five seconds ago as one of now, and
// brought a lease that runs on here for five seconds longer than at the leader.
TEST_CASE("an answer to an earlier life of the process confirms nothing and brings no lease") {
    node_options options;
    options.self = "n:1";
    options.voters = {"a:1"};
    options.incarnation = 11;
    node_options restarted = options;
    restarted.incarnation = 12;
    const instant start(1000s);
    const target_announcement target{.name = "t", .service = "s", .slots = 1, .connections = 1};
    const auto ask = [&](lease_client &lease, instant now) {
        std::vector<outgoing> sent;
        lease.announce(target, {now, 0});
        lease.tick(
            {now, 0}, [](renew_request &, instant) {}, sent);
        REQUIRE(sent.size() == 1);
        return std::get<renew_request>(sent.back().body).sequence;
    };
    lease_client before(options);
    const std::uint64_t asked_before = ask(before, start);
    const routing_table routing{.version = 4};
    renew_reply held_up{.sequence = asked_before,
                        .is_leader = true,
                        .number = 7,
                        .lease = options.lease.length,
                        .routes_version = 4};
    held_up.routes = compress_text(encode(routing));

    lease_client after(restarted);
    ask(after, start + 5s);
    after.receive("a:1", held_up, {start + 5010ms, 0});
    CHECK(!after.routes_trusted(start + 5010ms));
    CHECK(after.number() == no_target);
    CHECK(!after.lease_valid(start + 5010ms));
}

TEST_CASE("a node renews more often until its target has a number") {
    // The first answer to an announcement can't have one; at the usual pace, 200 targets that came
    // back together from a loss of power were without a lease for a renewal interval longer.
    node_options options;
    options.self = "n:1";
    options.voters = {"v:1"};
    options.renew_interval = 300ms;
    asking_node node(options);
    const instant start(1000s);
    node.lease.announce({.name = "t", .service = "s"}, {start, 0});
    const auto answer = [&](instant now, target_number number) {
        const renew_reply reply{.sequence = node.ask(now), .is_leader = true, .number = number};
        node.lease.receive("v:1", reply, {now + 1ms, 0});
    };
    answer(start, no_target);
    answer(start + 110ms, 7);
    REQUIRE(node.sent.size() == 2);
    answer(start + 220ms, 7);
    REQUIRE(node.sent.size() == 3);
    node.ask(start + 330ms);
    CHECK(node.sent.size() == 3);
}
