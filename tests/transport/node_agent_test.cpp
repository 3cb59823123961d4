#include "peppertack/protocol/error_answer.hpp"
#include "peppertack/state/packed_text.hpp"
#include "peppertack/state/sheet_delta.hpp"
#include "peppertack/transport/traffic/node_agent.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr int first_failure_status = 500;

traffic_options one_node() {
    traffic_options options;
    options.service = "s";
    options.target_address = "n:80";
    options.node.self = "n:1";
    options.node.voters = {"a:1"};
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
                  }
              },
              [this](const std::string &, std::function<void(std::string)> done) { done(found); }) {
    }

    void answer(instant now, renew_reply reply, const routing_sheet &sheet) {
        agent.tick({now, 0});
        reply.sequence = asked;
        reply.is_leader = true;
        reply.routes_version = sheet.version;
        reply.routes = pack(encode(difference({}, sheet)));
        agent.receive("a:1", reply, {now, 0});
    }

private:
    traffic_options m_options;

public:
    std::uint64_t asked = 0;
    std::string found; ///< name that the target tells when it is asked
    node_agent agent;
};

} // namespace

// The node beside a target said "malformed" of a request without a key, and its sender told the
// caller 400. Whether a request has a key on this hop is decided by the sender's table: it leaves
// out the key that the caller sent where its table has the service undivided. So a proper request
// was denied for good, by no table that was ever in force, and here by one that nobody had
// confirmed for ten seconds.
TEST_CASE("a request without a key is not denied for good by the node beside the target") {
    agent_with_leader one(one_node());
    const instant start(1000s);
    routing_sheet sheet{.version = 4};
    sheet.services["s"] = {.name = "s", .keyed = true};
    one.answer(start, {}, sheet);
    REQUIRE(one.agent.ready());
    one.agent.heartbeat({.name = "t", .address = "n:80", .service = "s"}, {start, 0},
                        [](const hold_grant &) {});
    const auto kind = one.agent.refusal(std::nullopt, start + 10s);
    REQUIRE(kind);
    CHECK_MESSAGE(answer_for(*kind).status >= first_failure_status,
                  std::string(answer_for(*kind).name));
}
