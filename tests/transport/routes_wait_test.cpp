#include "node_under_test.hpp"

using namespace peppertack;
using namespace peppertack::testing;

namespace {

const std::vector<header_field> patient{{"Deadline-Ms", "60000"}};

void start_slowly(traffic_options &options) {
    options.routes_startup = 60s;
}
void start_at_once(traffic_options &options) {
    options.routes_startup = 0s;
}

} // namespace

TEST_CASE("a request that comes before the routing table is served once that is known") {
    // Guards against rejections by nodes that were restarted together: for half a second and more
    // they had no routing table, and most callers had no attempt left for another node.
    node_under_test node(start_slowly, false);
    const auto answer = node.begin_to_ask(plain, patient);
    node.io().restart();
    node.io().run_for(100ms);
    CHECK_FALSE(answer->over);
    node.learn_routes();
    node.know_neighbour();
    CHECK(node.run_until([&] { return node.neighbour_asked > 0; }));
}

TEST_CASE("a node that has had no routing table for long rejects at once") {
    node_under_test node(start_at_once, false);
    CHECK(node.ask(plain, patient).status == 503);
}
