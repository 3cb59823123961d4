#include "node_under_test.hpp"

using namespace peppertack;
using namespace peppertack::testing;

namespace {

std::vector<header_field> hop_to_target() {
    return {{std::string(hop_header), encode(hop_request{.target = old_number,
                                                         .service = plain,
                                                         .route = "to-plain",
                                                         .objective_left = 1s,
                                                         .time_left = 60s})}};
}

} // namespace

// Guards against two holders of a key: a target that leaves, or has too many connections, refuses
// new ones and still holds its keys, and its node gives up its lease.
TEST_CASE("a target that refuses a connection has ended only if its others are closed") {
    node_under_test node;
    node.beat("old", plain);
    node.answer(node.registering("old"), old_number, {});
    const auto running = node.forward_without_end(hop_to_target());
    node.stop_target_listening();
    CHECK(node.forward(hop_to_target()).status == 503);
    CHECK(node.agent().has_target());
    running->cancel();
    CHECK(node.run_until([&] {
        node.forward(hop_to_target());
        return !node.agent().has_target();
    }));
}

TEST_CASE("a target that leaves is not taken for ended by a refused connection") {
    node_under_test node;
    node.beat("old", plain);
    node.answer(node.registering("old"), old_number, {});
    node.agent().target_leaves("old", test_moment());
    REQUIRE(node.agent().has_target());
    node.stop_target_listening();
    node.host().note_target_refused(test_moment().now);
    CHECK(node.agent().has_target());
}
