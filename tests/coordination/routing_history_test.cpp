#include "peppertack/coordination/control_core.hpp"
#include "peppertack/coordination/routing_history.hpp"
#include "peppertack/state/text_compression.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

routing_table routing_of(std::uint64_t version, std::size_t routes) {
    routing_table routing{.version = version};
    routing.services["s"] = {.name = "s"};
    for (std::size_t i = 0; i < routes; ++i) {
        const std::string name = "r" + std::to_string(i);
        routing.routes[name] = {.name = name,
                                .host = "h",
                                .path_prefix = "/" + name + "/",
                                .timeout = 1s,
                                .split = {{"s", 1}}};
    }
    return routing;
}

std::optional<routing_table> apply_compressed(const routing_table &held,
                                              const std::string &compressed) {
    std::string reason;
    const auto text = decompress_text(compressed, 1U << 24U);
    const auto delta = text ? decode_delta(*text, reason) : std::nullopt;
    return delta ? apply(held, *delta) : std::nullopt;
}

} // namespace

TEST_CASE("a node at any version receives a delta to the current version") {
    routing_history history;
    std::vector<routing_table> routings{{}};
    for (std::uint64_t i = 1; i <= 50; ++i) {
        routings.push_back(routing_of(i, 300 + i));
        history.record(encode(difference(routings[i - 1], routings[i])));
    }
    const routing_table &current = routings.back();
    for (const routing_table &held : routings) {
        if (held.version != current.version) {
            CHECK(apply_compressed(held, history.compressed_since(held.version, current)) ==
                  current);
        }
    }
    // A single changed route is sent as a small delta.
    CHECK(history.compressed_since(49, current).size() * 5 <
          history.compressed_since(1, current).size());
}

TEST_CASE("a history that is empty or has a gap yields the full routing table") {
    routing_history history;
    const routing_table current = routing_of(9, 5);
    CHECK(apply_compressed(routing_of(4, 2), history.compressed_since(4, current)) == current);
    history.record(encode(difference(routing_of(4, 2), routing_of(5, 2))));
    history.record(encode(difference(routing_of(7, 2), current)));
    CHECK(apply_compressed(routing_of(4, 2), history.compressed_since(4, current)) == current);
    history.record("no delta");
    CHECK(apply_compressed(routing_of(7, 2), history.compressed_since(7, current)) == current);
}

TEST_CASE("a routing table in transit over a slow link is not resent with each renewal") {
    // Guards against voters that exceed their memory limit and nodes that miss changes. After 1,400
    // routes were added, a hundred nodes each renewed several times before the table had passed
    // their links, and each renewal was answered with another copy.
    node_report node;
    const auto at = [](duration time) { return moment{instant(1000s) + time, 0}; };
    CHECK(node.routes_due(3, 4, at(0s)));
    CHECK_FALSE(node.routes_due(3, 4, at(300ms)));
    CHECK_FALSE(node.routes_due(3, 4, at(600ms)));
    CHECK(node.routes_due(3, 4, at(1s))); // the previous copy may have been lost
    CHECK(node.routes_due(3, 5, at(1100ms)));
    CHECK(node.routes_due(0, 5, at(1200ms))); // the node has restarted
}
