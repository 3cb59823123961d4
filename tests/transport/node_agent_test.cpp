#include "node_under_test.hpp"
#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/state/routing_delta.hpp"
#include "peppertack/state/text_compression.hpp"
#include "peppertack/transport/traffic/node_agent.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr int first_failure_status = 500;
constexpr duration lease_length = 3s;

traffic_options one_node() {
    traffic_options options;
    options.service = "s";
    options.target_address = "n:80";
    options.node.self = "n:1";
    options.node.voters = {"a:1"};
    options.node.lease.length = lease_length;
    options.node.announce_timeout = 24h;
    return options;
}

/// An agent whose leader answers as it is told to.
class agent_with_leader {
public:
    explicit agent_with_leader(traffic_options options)
        : m_options(std::move(options)),
          agent(
              m_options,
              [this](const outgoing &item) {
                  if (const auto *renewal = std::get_if<renew_request>(&item.body)) {
                      asked = renewal->sequence;
                      gave_up = gave_up || renewal->giving_up;
                  }
              },
              [this](const std::string &, const std::function<void(const target_health &)> &done) {
                  done({.name = found, .cold_left = found_cold});
              }) {}

    void answer(instant now, renew_reply reply, const routing_table &routing) {
        agent.tick({now, 0});
        reply.sequence = asked;
        reply.is_leader = true;
        reply.routes_version = routing.version;
        reply.routes = compress_text(encode(difference({}, routing)));
        agent.receive("a:1", reply, {now, 0});
    }

private:
    traffic_options m_options;

public:
    std::uint64_t asked = 0;
    bool gave_up = false; ///< a renewal said that the target holds nothing any more
    std::string found;    ///< name that the target tells when it is asked
    std::optional<duration> found_cold;
    node_agent agent;
};

routing_table keyed_service(hold_delivery delivery = hold_delivery::by_heartbeat) {
    routing_table routing{.version = 4};
    routing.services["s"] = {.name = "s", .keyed = true, .delivery = delivery};
    return routing;
}

/// An answer of a leader that knows the target "t" beside the node under number 7.
renew_reply registered() {
    renew_reply reply{.number = 7, .lease = lease_length};
    reply.map = {.to = 9, .as_of = 9};
    reply.map.targets = {{.number = 7, .name = "t", .service = "s", .address = "n:1", .slots = 1}};
    return reply;
}

} // namespace

// The node beside a target said "malformed" of a request without a key, and its sender told the
// caller 400. Whether a request has a key on this hop is decided by the sender's table: it leaves
// out the key that the caller sent where its table has the service undivided. So a proper request
// was denied for good, by no table that was ever in force, and here by one that nobody had
// confirmed for ten seconds.
TEST_CASE("a request without a key is not denied for good by the node beside the target") {
    agent_with_leader one(one_node());
    const instant start(1000s);
    routing_table routing{.version = 4};
    routing.services["s"] = {.name = "s", .keyed = true};
    one.answer(start, {}, routing);
    REQUIRE(one.agent.ready());
    one.agent.heartbeat({.name = "t", .address = "n:80", .service = "s"}, {start, 0},
                        [](const hold_grant &) {});
    const auto kind = one.agent.refusal({.service = "s"}, start + 10s);
    REQUIRE(kind);
    CHECK_MESSAGE(answer_for(*kind).status >= first_failure_status,
                  std::string(answer_for(*kind).name));
}

// A node was started again while no voter could be reached, so it did not know its target yet. The
// target said that it leaves, was told 200, and said nothing more. Nothing was noted: when the map
// came, the node asked the address for a name, found the target still at work there, and handed it
// new requests, long after it had acknowledged that the target is gone.
TEST_CASE("a target that said that it leaves is not taken up again") {
    agent_with_leader one(one_node());
    const instant start(1000s);
    one.agent.tick({start, 0});
    one.agent.target_leaves("t", {start, 0});
    one.found = "t";
    routing_table routing{.version = 4};
    routing.services["s"] = {.name = "s"};
    renew_reply reply;
    reply.map.to = 9;
    reply.map.as_of = 9;
    reply.map.targets = {{.number = 7, .name = "t", .service = "s", .address = "n:1", .slots = 1}};
    one.answer(start + 5s, reply, routing);
    REQUIRE(one.agent.serving("s").size() == 1);
    one.agent.tick({start + 5100ms, 0});
    const bool given_work =
        one.agent.has_target() && !one.agent.refusal({.service = "s"}, start + 5100ms);
    CHECK(!given_work);
}

TEST_CASE("a call of a target waits for the routes, and not for ever") {
    // Symptom: after a loss of power targets were taken in a heartbeat interval later than their
    // nodes knew the routes. Cause: their first call was refused at once.
    agent_with_leader one(one_node());
    const instant start(1000s);
    one.agent.tick({start, 0});
    int decided = 0;
    one.agent.when_routes_known(start, [&] { ++decided; });
    one.agent.tick({start + 100ms, 0});
    CHECK(decided == 0);
    SUBCASE("the routes come") {
        one.answer(start + 200ms, {}, {.version = 4});
        one.agent.tick({start + 210ms, 0});
        CHECK(decided == 1);
    }
    SUBCASE("they don't") {
        one.agent.tick({start + 900ms, 0});
        CHECK(decided == 1);
    }
    one.agent.tick({start + 2s, 0});
    CHECK(decided == 1);
}

TEST_CASE("a target whose heartbeat no table could judge is taken up when one comes") {
    // Symptom: after a loss of power most targets were registered a heartbeat interval later than
    // their nodes knew the routes. Sequence: the first heartbeat waits 0.8 s for the routes, is
    // answered that its service can't be judged, and the routes come 0.1 s later. Cause: it was
    // forgotten.
    agent_with_leader one(one_node());
    const instant start(1000s);
    one.agent.tick({start, 0});
    const target_heartbeat beat{.name = "t", .address = "n:80", .service = "s", .slots = 4};
    REQUIRE(one.agent.judge(beat, start + 800ms) == call_fault::unsure_of_service);
    one.agent.keep_unjudged(beat, {start, 0});
    routing_table routing{.version = 4};
    instant known = start + 900ms;
    bool taken = true;
    SUBCASE("its service is in the table") {
        routing.services["s"] = {.name = "s"};
    }
    SUBCASE("its service is not in the table") {
        taken = false;
    }
    SUBCASE("it has said that it leaves") {
        routing.services["s"] = {.name = "s"};
        one.agent.target_leaves("t", {start + 850ms, 0});
        taken = false;
    }
    SUBCASE("it may have ended since") {
        routing.services["s"] = {.name = "s"};
        known = start + 2100ms;
        taken = false;
    }
    one.answer(known, {}, routing);
    one.agent.tick({known + 1ms, 0});
    CHECK(one.agent.has_target() == taken);
}

// Guards against two owners: a node was started again and took over the registration of its target,
// which forgot that the process before had granted holds. The target said that it leaves, and its
// keys went to others while it held them (review case 4).
TEST_CASE("keys granted by an earlier process of the node are not given away before they run out") {
    agent_with_leader one(one_node());
    const instant start = test_moment().now; // the target is asked by the real clock
    renew_reply reply = registered();
    SUBCASE("the target is known from the map") {
        one.found = "t";
        one.answer(start, reply, keyed_service());
        one.agent.tick({start + 10ms, 0});
    }
    SUBCASE("the target reports, and is granted nothing as there is no lease") {
        reply.lease = {};
        one.answer(start, reply, keyed_service());
        one.agent.heartbeat({.name = "t", .address = "n:80", .service = "s"}, {start + 10ms, 0},
                            [](const hold_grant &) {});
    }
    REQUIRE(one.agent.has_target());
    one.answer(start + 900ms, reply, keyed_service());
    REQUIRE(one.agent.number() == 7);
    one.agent.target_leaves("t", {start + 1s, 0});
    const instant over = start + one_node().node.lease.node_length();
    for (instant now = start + 1100ms; now < over; now += 50ms) {
        one.answer(now, reply, keyed_service());
    }
    CHECK(!one.gave_up);
    one.answer(over + 10ms, reply, keyed_service());
    one.answer(over + 20ms, reply, keyed_service());
    CHECK(one.gave_up);
}
