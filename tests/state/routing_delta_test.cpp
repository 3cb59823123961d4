#include "peppertack/state/routing_delta.hpp"
#include "peppertack/state/text_compression.hpp"

#include <doctest/doctest.h>
#include <random>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

/// Routing table with a random subset of six routes and three services, with random differences.
routing_table random_routing(std::uint64_t version, std::mt19937_64 &random) {
    routing_table routing{.version = version};
    for (const std::string name : {"a", "b", "c"}) {
        if (random() % 3 != 0) {
            const bool by_call = random() % 2 == 0;
            routing.services[name] = {.name = name,
                                      .keyed = random() % 2 == 0,
                                      .delivery = by_call ? hold_delivery::by_call
                                                          : hold_delivery::by_heartbeat,
                                      .cold_start = 1s * (random() % 2),
                                      .cold_rate = 0.5 * static_cast<double>(random() % 3),
                                      .source = "{}"};
        }
    }
    for (const std::string name : {"1", "2", "3", "4", "5", "6"}) {
        if (random() % 3 != 0) {
            routing.routes[name] = {.name = name,
                                    .host = "h",
                                    .path_prefix = "/" + name + "/",
                                    .timeout = 1s * (1 + random() % 2),
                                    .split = {{"a", 1}},
                                    .source = "{}"};
        }
    }
    routing.limits.body_bytes = 1000 + random() % 2;
    return routing;
}

} // namespace

TEST_CASE("a delta leads from one routing table to the other, also when joined or encoded") {
    std::mt19937_64 random(11);
    for (int round = 0; round < 300; ++round) {
        const routing_table first = random_routing(1, random);
        const routing_table second = random_routing(4, random);
        const routing_table third = random_routing(9, random);
        const routing_delta one = difference(first, second);
        const routing_delta two = difference(second, third);
        CHECK(apply(first, one) == second);
        CHECK(apply(first, join(one, two)) == third);
        CHECK_FALSE(apply(first, two));
        CHECK(apply(third, difference({}, first)) == first);
        std::string reason;
        CHECK(decode_delta(encode(one), reason) == one);
    }
}

TEST_CASE("a delta holds no unchanged rows") {
    std::mt19937_64 random(3);
    const routing_table first = random_routing(1, random);
    routing_table second = first;
    second.version = 2;
    CHECK(difference(first, second) == routing_delta{.base_version = 1, .version = 2});
    for (const auto &[name, row] : without_sources(difference({}, first)).routes) {
        CHECK(row.source.empty());
    }
}

TEST_CASE("a complete routing table without a base version is decoded") {
    std::string reason;
    const auto routing = decode_routing_table(
        R"({"v":1,"version":3,"routes":[],"services":[{"name":"a","keyed":true,"max_connections":0,
            "health_path":"","source":""}],"limits":{"header_bytes":1,"body_bytes":2,
            "header_timeout_us":3,"idle_timeout_us":4,"source":""}})",
        reason);
    REQUIRE_MESSAGE(routing, reason);
    CHECK(routing->version == 3);
    CHECK(routing->services.at("a").keyed);
    CHECK(routing->services.at("a").delivery ==
          hold_delivery::by_heartbeat); // the default for older records
    CHECK(routing->limits.body_bytes == 2);
}

TEST_CASE("services in logs of earlier versions set no limit on cold targets") {
    std::string reason;
    const auto delta = decode_delta(
        R"({"v":1,"base":0,"version":1,"routes":[],"removed_routes":[],"removed_services":[],"services":[{"name":"a","keyed":false,"max_connections":0,"health_path":"","source":"{}"}]})",
        reason);
    REQUIRE_MESSAGE(delta, reason);
    CHECK(delta->services.at("a").cold_rate == 0);
}

TEST_CASE("compressed text is restored and other input is rejected") {
    std::string text;
    for (int i = 0; i < 20'000; ++i) {
        text += "row " + std::to_string(i) + ",";
    }
    const std::string compressed = compress_text(text);
    CHECK(compressed.size() < text.size() / 3);
    CHECK(decompress_text(compressed, text.size()) == text);
    CHECK(decompress_text(compress_text(""), 10) == "");
    CHECK_FALSE(decompress_text(compressed, text.size() - 1));
    CHECK_FALSE(decompress_text(compressed.substr(0, compressed.size() - 1), text.size()));
    CHECK_FALSE(decompress_text(compressed + "x", text.size()));
    CHECK_FALSE(decompress_text("not packed", 100));
    CHECK_FALSE(decompress_text("", 100));
}
