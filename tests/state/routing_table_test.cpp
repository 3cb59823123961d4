#include "peppertack/state/control_state.hpp"
#include "peppertack/state/key_hash.hpp"
#include "peppertack/state/routing_delta.hpp"

#include <doctest/doctest.h>
#include <functional>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

route sample_route(const std::string &name, const std::string &prefix) {
    return {.name = name,
            .host = "Shop.example",
            .path_prefix = prefix,
            .repeat = retry_policy::idempotent,
            .timeout = 2s,
            .latency_objective = 500ms,
            .priority = 1,
            .max_attempts = 2,
            .split = {{"a", 90}, {"b", 10}},
            .source = "{}"};
}

routing_table sample_routing(std::uint64_t version) {
    routing_table routing{.version = version};
    routing.routes["r"] = sample_route("r", "/x/");
    routing.services["a"] = {.name = "a", .keyed = true, .health_path = "/h", .source = "{}"};
    routing.services["b"] = {.name = "b", .source = "{}"};
    return routing;
}

command change(std::uint64_t base, const routing_table &routing, const std::string &id) {
    command value{.actor = "operator", .cause = "test"};
    value.body = change_routes{id, base, encode(routing)};
    return value;
}

} // namespace

TEST_CASE("a routing table survives encoding and decoding") {
    const routing_table routing = sample_routing(7);
    std::string reason;
    const auto read = decode_routing_table(encode(routing), reason);
    REQUIRE_MESSAGE(read, reason);
    CHECK(*read == routing);
    CHECK_FALSE(decode_routing_table("{\"v\":9}", reason));
    CHECK_FALSE(decode_routing_table("no json", reason));
}

// Guards against changes that make logs of earlier versions unreadable.
TEST_CASE("the stored format of a route change is stable") {
    const std::string written =
        R"({"v":1,"wall_ms":5,"actor":"a","cause":"c","kind":"change_routes",)"
        R"("body":{"change_id":"id","base_version":3,"sheet":"text"}})";
    std::string reason;
    const auto read = decode_command(written, reason);
    REQUIRE_MESSAGE(read, reason);
    CHECK(std::get<change_routes>(read->body) == change_routes{"id", 3, "text"});
    CHECK(encode(*read).find("\"sheet\":\"text\"") != std::string::npos);
}

TEST_CASE("each routing table error is reported with its location") {
    struct fault {
        std::function<void(routing_table &)> make;
        const char *reason;
    };
    const std::vector<fault> faults{
        {[](auto &routing) {
             routing.routes["r"].split = {{"a", 0}, {"b", 0}};
         },
         "weights"},
        {[](auto &routing) {
             routing.routes["r"].split = {{"nowhere", 1}};
         },
         "unknown service"},
        {[](auto &routing) { routing.routes["r"].latency_objective = 63s; }, "latency objective"},
        {[](auto &routing) { routing.routes["r"].path_prefix = "/x"; }, "slash"},
        {[](auto &routing) { routing.routes["r"].host.clear(); }, "host"},
        {[](auto &routing) { routing.routes["r"].timeout = 0s; }, "timeout"}};
    CHECK_FALSE(check_routing_table(sample_routing(1)));
    for (const fault &item : faults) {
        routing_table routing = sample_routing(1);
        item.make(routing);
        const auto problem = check_routing_table(routing);
        REQUIRE(problem);
        CHECK(problem->place == "route r");
        CHECK(problem->reason.find(item.reason) != std::string::npos);
    }
}

TEST_CASE("the route with the longest matching path prefix is chosen") {
    routing_table routing = sample_routing(1);
    routing.routes["deep"] = sample_route("deep", "/x/y/");
    const route_index index(routing);
    CHECK(index.find("shop.EXAMPLE:8080", "/x/y/z")->name == "deep");
    CHECK(index.find("shop.example", "/x/yz")->name == "r");
    CHECK(index.find("shop.example", "/x") == nullptr);
    CHECK(index.find("other.example", "/x/y/z") == nullptr);
}

TEST_CASE("of two route changes on one version one wins, and a resend gets the first answer") {
    control_state state;
    CHECK(state.apply(1, change(0, sample_routing(3), "first")).error == error_kind::none);
    CHECK(state.routes().version == 3);
    CHECK(state.has_ordered_keys("a"));
    CHECK_FALSE(state.has_ordered_keys("b"));
    CHECK(state.ranges().count("a") == 1);
    CHECK(state.ranges().count("b") == 0);
    CHECK(state.apply(2, change(0, sample_routing(4), "second")).error ==
          error_kind::version_conflict);
    const auto resent = state.apply(3, change(0, sample_routing(3), "first"));
    REQUIRE(resent.answer);
    CHECK(resent.answer->error == error_kind::none);
    // Versions increase, not necessarily by one.
    CHECK(state.apply(4, change(3, sample_routing(2), "older")).error ==
          error_kind::version_conflict);
    CHECK(state.apply(5, change(3, sample_routing(9), "third")).error == error_kind::none);
    // A resend gets the stored acceptance although a later version is in force.
    CHECK(state.apply(6, change(0, sample_routing(3), "first")).answer->error == error_kind::none);
    CHECK(state.routes().version == 9);
}

TEST_CASE("routes survive a snapshot") {
    control_state state;
    state.apply(1, change(0, sample_routing(3), "first"));
    std::string reason;
    const auto read = control_state::decode(state.encode(), reason);
    REQUIRE_MESSAGE(read, reason);
    CHECK(read->routes() == state.routes());
    CHECK(read->earlier_answer("first"));
}

TEST_CASE("a target of a service without keys registers and ends without ranges") {
    // Guards against an unreadable snapshot after a target of a service without keys has ended.
    // Looking up its ranges must not create an empty list, which the decoder takes for lost ranges.
    control_state state;
    state.apply(1, change(0, sample_routing(3), "first"));
    command arrival{.actor = "node", .cause = "test"};
    arrival.body = register_target{{.name = "t", .service = "b"}};
    REQUIRE(state.apply(2, arrival).error == error_kind::none);
    const target_number number = state.find_target("t")->number;
    command end{.actor = "leases", .cause = "test"};
    end.body = expire_targets{{number}};
    REQUIRE(state.apply(3, end).error == error_kind::none);
    std::string reason;
    CHECK_MESSAGE(control_state::decode(state.encode(), reason), reason);
}

TEST_CASE("ordered keys fill the key space in order") {
    CHECK(ordered_key_hash(0) == 0);
    CHECK(ordered_key_at(ordered_key_hash(12345)) == 12345);
    CHECK(ordered_key_at(~0ULL) == max_ordered_key);
    CHECK(ordered_key_at(ordered_key_hash(7) - 1) == 6);
}
