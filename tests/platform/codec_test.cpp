#include "config_codec.hpp"
#include "heartbeat_codec.hpp"
#include "platform_settings.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace peppertack;
using namespace peppertack::platform;
using namespace std::chrono_literals;

namespace {

nlohmann::json sample_config() {
    return nlohmann::json::parse(R"({
        "version": "0000000a", "base_version": "00000005",
        "routes": {
            "r-one": {"host": "one.example", "path_prefix": "/a/", "type": "unsafe",
                      "timeout_s": 0.8, "target_latency_s": 0.25, "priority": 1,
                      "service": "plain", "max_attempts": 2},
            "r-two": {"host": "two.example", "path_prefix": "/b/", "type": "safe",
                      "timeout_s": 1.2, "target_latency_s": 0.2, "priority": 2, "extra": [1],
                      "traffic_split": [{"service": "keyed", "weight": 90},
                                        {"service": "plain", "weight": 10}]}},
        "services": {
            "keyed": {"health_path": "/healthz", "max_connections": 120, "sharded": true},
            "plain": {"health_path": "/healthz", "max_connections": 120}},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000000,
                   "header_timeout_s": 3, "idle_timeout_s": 15}})");
}

std::optional<routing_table> routing_of(const nlohmann::json &config, routing_problem &problem,
                                        const routing_table &current = {}, bool whole = true) {
    const auto change = config_change::make(config.dump(), whole, problem);
    return change ? change->apply(current, problem) : std::nullopt;
}

} // namespace

TEST_CASE("each service says how its keys are handed over") {
    const auto delivery_with = [](const nlohmann::json &word) {
        nlohmann::json config = sample_config();
        config["services"]["keyed"]["grants"] = word;
        routing_problem problem;
        const auto routing = routing_of(config, problem);
        REQUIRE_MESSAGE(routing, problem.reason);
        // What is not understood is read back all the same.
        CHECK(nlohmann::json::parse(config_text(*routing))["services"] == config["services"]);
        CHECK(routing->services.at("plain").delivery == hold_delivery::by_heartbeat);
        return routing->services.at("keyed").delivery;
    };
    CHECK(delivery_with("heartbeat") == hold_delivery::by_heartbeat);
    CHECK(delivery_with("rpc") == hold_delivery::by_call);
    CHECK(delivery_with("carrier-pigeon") == hold_delivery::unknown);
    CHECK(delivery_with(7) == hold_delivery::unknown);
}

TEST_CASE("a service says what its cold targets tolerate") {
    // Guards against bounds that are kept with the text of the service only.
    nlohmann::json config = sample_config();
    config["services"]["keyed"]["cold_start_s"] = 3.0;
    config["services"]["keyed"]["cold_per_s"] = 15.5;
    routing_problem problem;
    const auto routing = routing_of(config, problem);
    REQUIRE_MESSAGE(routing, problem.reason);
    CHECK(routing->services.at("keyed").cold_start == 3s);
    CHECK(routing->services.at("keyed").cold_rate == 15.5);
    CHECK(routing->services.at("plain").cold_rate == 0);
    for (const nlohmann::json &wrong : {nlohmann::json(-1), nlohmann::json("15"),
                                        nlohmann::json(nullptr), nlohmann::json(1e12)}) {
        config["services"]["keyed"]["cold_per_s"] = wrong;
        CHECK_FALSE(routing_of(config, problem));
        CHECK(problem.place == "service keyed");
    }
}

TEST_CASE("a configuration becomes a routing table, and is read back as it was written") {
    routing_problem problem;
    const auto routing = routing_of(sample_config(), problem);
    REQUIRE_MESSAGE(routing, problem.reason);
    CHECK(routing->version == 10);
    const route &one = routing->routes.at("r-one");
    CHECK(one.repeat == retry_policy::once);
    CHECK(one.timeout == 800ms);
    CHECK(one.latency_objective == 250ms);
    CHECK(one.max_attempts == 2);
    CHECK(one.split == std::vector<weighted_service>{{"plain", 1}});
    CHECK(routing->routes.at("r-two").split.size() == 2);
    CHECK(routing->services.at("keyed").keyed);
    CHECK_FALSE(routing->services.at("plain").keyed);
    CHECK(routing->limits.header_timeout == 3s);
    nlohmann::json expected = sample_config();
    expected.erase("base_version");
    CHECK(nlohmann::json::parse(config_text(*routing)) == expected);
}

// Guards against a deployment whose every configuration is refused for a type of route that it
// uses.
TEST_CASE("each type of route says whether its requests may be repeated") {
    const std::map<std::string, retry_policy> rules{{"safe", retry_policy::idempotent},
                                                    {"download", retry_policy::idempotent_large},
                                                    {"unsafe", retry_policy::once},
                                                    {"upload", retry_policy::once_large}};
    for (const auto &[type, rule] : rules) {
        CAPTURE(type);
        nlohmann::json config = sample_config();
        config["routes"]["r-one"]["type"] = type;
        routing_problem problem;
        const auto routing = routing_of(config, problem);
        REQUIRE_MESSAGE(routing, problem.reason);
        CHECK(routing->routes.at("r-one").repeat == rule);
    }
}

TEST_CASE("what is invalid is refused with its place") {
    struct fault {
        std::function<void(nlohmann::json &)> make;
        const char *place;
    };
    const std::vector<fault> faults{
        {[](auto &in) { in["routes"]["r-one"]["service"] = "nowhere"; }, "route r-one"},
        {[](auto &in) { in["routes"]["r-one"]["type"] = "odd"; }, "route r-one"},
        {[](auto &in) { in["routes"]["r-one"].erase("timeout_s"); }, "route r-one"},
        {[](auto &in) { in["routes"]["r-one"]["target_latency_s"] = 61.0; }, "route r-one"},
        {[](auto &in) {
             in["routes"]["r-two"]["traffic_split"][0]["weight"] = 0;
             in["routes"]["r-two"]["traffic_split"][1]["weight"] = 0;
         },
         "route r-two"},
        {[](auto &in) { in["version"] = "zz"; }, "configuration"},
        {[](auto &in) { in.erase("base_version"); }, "configuration"},
        {[](auto &in) { in["routes"] = nlohmann::json::array(); }, "routes"},
        {[](auto &in) { in["limits"].erase("max_body_bytes"); }, "limits"}};
    for (const fault &item : faults) {
        nlohmann::json config = sample_config();
        item.make(config);
        routing_problem problem;
        CHECK_FALSE(routing_of(config, problem));
        CHECK(problem.place == item.place);
        CHECK_FALSE(problem.reason.empty());
    }
    routing_problem problem;
    const std::string cut = sample_config().dump().substr(0, 300);
    CHECK_FALSE(config_change::make(cut, true, problem));
}

TEST_CASE("named items are changed and the rest stays") {
    routing_problem problem;
    const auto before = routing_of(sample_config(), problem);
    REQUIRE(before);
    nlohmann::json change{{"version", "0000000c"}, {"base_version", "0000000a"}};
    change["upsert"]["routes"]["r-one"] = sample_config()["routes"]["r-one"];
    change["upsert"]["routes"]["r-one"]["timeout_s"] = 2;
    change["remove"]["routes"] = {"r-two"};
    const auto after = routing_of(change, problem, *before, false);
    REQUIRE_MESSAGE(after, problem.reason);
    CHECK(after->version == 12);
    CHECK(after->routes.size() == 1);
    CHECK(after->routes.at("r-one").timeout == 2s);
    CHECK(after->services == before->services);
    CHECK(after->limits == before->limits);
    change["version"] = "0000000a";
    CHECK_FALSE(routing_of(change, problem, *before, false));
}

TEST_CASE("changed bytes of a configuration never do more than refuse it") {
    const std::string text = sample_config().dump();
    rc::check("changed bytes", [&] {
        std::string changed = text;
        const auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
        changed[at] = *rc::gen::arbitrary<char>();
        routing_problem problem;
        if (const auto change = config_change::make(changed, true, problem)) {
            change->apply({}, problem);
        }
    });
}

TEST_CASE("a heartbeat is read, and its answer says what to hold") {
    std::string reason;
    const auto beat = read_heartbeat("i-1", R"({"address": "10.0.0.1:80",
        "info": {"service": "s", "version": "v1", "zone": "z", "slots": 13},
        "status": {"state": "draining", "sequence": 4, "cold_remaining_s": 1.5},
        "holds": [[0, 99, 7]], "freed": [[100, 199, "h"]]})",
                                     reason);
    REQUIRE_MESSAGE(beat, reason);
    CHECK(beat->name == "i-1");
    CHECK(beat->slots == 13);
    CHECK(beat->draining);
    CHECK(beat->cold_left == 1500ms);
    CHECK(beat->report.holds == std::vector<held_span>{{0, 99, 7, ""}});
    CHECK(beat->report.freed == std::vector<released_span>{{100, 199, "h"}});
    for (const char *bad : {"", "{}", "[]", R"({"address":1,"info":{},"status":{}})"}) {
        CHECK_FALSE(read_heartbeat("i-1", bad, reason));
    }
    CHECK(grant_text({}) == "{}");
    const auto answer = nlohmann::json::parse(
        grant_text({.renews = true, .holds = {{0, 9, 5, "h"}}, .length = 1500ms}));
    CHECK(answer["hold_s"] == 1.5);
    CHECK(answer["holds"] == nlohmann::json::parse(R"([[0, 9, 5, "h"]])"));
}

namespace {

nlohmann::json sample_heartbeat() {
    return nlohmann::json::parse(R"({"address": "10.0.0.1:80", "born": 1796262318453,
        "info": {"service": "s", "version": "v1", "zone": "z", "slots": 13},
        "status": {"state": "ready", "sequence": 4, "cold_remaining_s": 0},
        "holds": [[0, 99, 7]], "freed": [[100, 199, "h"]]})");
}

} // namespace

// What another writer sends names no target to use. A heartbeat with a state that is not known was
// taken for one of a target that is ready, a sequence of -1 for one that no later call can reach,
// and a fraction was cut to a whole number.
TEST_CASE("a heartbeat of another writer is refused with its place") {
    struct fault {
        const char *place;
        nlohmann::json value; ///< null: the field is left out
    };
    const std::vector<fault> faults{{"/address", {}},
                                    {"/address", 1},
                                    {"/address", "10.0.0.1"},
                                    {"/address", "10.0.0.1:port"},
                                    {"/born", 1.5},
                                    {"/born", -1},
                                    {"/born", "1796262318453"},
                                    {"/info", nlohmann::json::array()},
                                    {"/info/service", {}},
                                    {"/info/service", ""},
                                    {"/info/slots", "13"},
                                    {"/info/slots", 0},
                                    {"/info/slots", -1},
                                    {"/info/slots", 1ULL << 40U},
                                    {"/status", "ready"},
                                    {"/status/state", {}},
                                    {"/status/state", "odd"},
                                    {"/status/state", true},
                                    {"/status/sequence", {}},
                                    {"/status/sequence", -1},
                                    {"/status/sequence", 1.5},
                                    {"/status/cold_remaining_s", "0"},
                                    {"/status/cold_remaining_s", -1},
                                    {"/status/cold_remaining_s", 1e300},
                                    {"/holds", nlohmann::json::object()},
                                    {"/holds/0", nlohmann::json::array({0, 99})},
                                    {"/holds/0/1", 65536},
                                    {"/holds/0/0", 100},
                                    {"/holds/0/2", -7},
                                    {"/freed/0/2", 5}};
    for (const fault &item : faults) {
        nlohmann::json body = sample_heartbeat();
        const nlohmann::json::json_pointer place(item.place);
        if (item.value.is_null()) {
            body.at(place.parent_pointer()).erase(place.back());
        } else {
            body.at(place) = item.value;
        }
        CAPTURE(body.dump());
        std::string reason;
        CHECK_FALSE(read_heartbeat("i-1", body.dump(), reason));
        CHECK_FALSE(reason.empty());
    }
    std::string reason;
    CHECK(read_heartbeat("i-1", sample_heartbeat().dump(), reason)->born == 1796262318453U);
    for (const char *bad : {"null", "7", "\"ready\"", "[{}]", "{\"address\": \"\xff\"}", "{"}) {
        CHECK_FALSE(read_heartbeat("i-1", bad, reason));
    }
}

TEST_CASE("changed bytes of a heartbeat never do more than refuse it") {
    const std::string text = sample_heartbeat().dump();
    rc::check("changed bytes of a heartbeat", [&] {
        std::string changed = text;
        const auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
        changed[at] = *rc::gen::arbitrary<char>();
        std::string reason;
        const auto beat = read_heartbeat("i-1", changed, reason);
        RC_ASSERT(beat.has_value() == reason.empty());
        if (beat) {
            RC_ASSERT(beat->slots > 0);
            RC_ASSERT(beat->cold_left >= duration{});
            for (const held_span &span : beat->report.holds) {
                RC_ASSERT(span.from <= span.to);
                RC_ASSERT(span.to <= 65535U);
            }
        }
    });
}

namespace {

constexpr const char *node_settings =
    "peer-address = 10.0.0.1:7600\nmetrics-address = 10.0.0.1:7601\n"
    "failure-domain = z\nservice = s\ntarget-address = 10.0.0.1:80\n"
    "caller-address = 10.0.0.1:81\nnode-address = 10.0.0.1:82\n"
    "ready-address = 10.0.0.1:83\ncontrol-address = 10.0.0.1:84\n"
    "seeds = 10.0.0.2:84,10.0.0.3:84\ndata-folder =\nfounding = true\n"
    "losses = 2\nheartbeat-interval-s = 1.5\nmost-hold-s = 10\n"
    "grace-s = 6\nlink-mbps = 7.9\nretry-ratio = 0.1\nretry-slack = 100\n";

}

TEST_CASE("settings are checked, and voters are found at the port that processes share") {
    std::vector<settings_problem> problems;
    const auto settings =
        read_platform_settings(node_settings, process_role::beside_target, problems);
    REQUIRE(settings);
    CHECK(settings->seeds == std::vector<node_address>{"10.0.0.2:7600", "10.0.0.3:7600"});
    const traffic_options options = traffic_options_of(*settings, 1);
    CHECK(options.node.lease.length == 4s);
    // A hold outlasts two heartbeats that were lost.
    CHECK(options.node.lease.node_length() > 2 * settings->heartbeat_interval);
    // 0.1 s of such a link is less than two bodies; fewer than two would leave it idle in between.
    CHECK(options.body_turns == 2);
    CHECK(options.retries.share == doctest::Approx(0.08));
    CHECK(options.retry_slack == doctest::Approx(80));
    CHECK(options.cold_overrun == 1);
    CHECK(options.cold_slack == 0);
    CHECK_FALSE(read_platform_settings(node_settings, process_role::voter, problems));
    CHECK(problems.size() == 1);
    CHECK(problems[0].setting == "data-folder");
    problems.clear();
    CHECK_FALSE(read_platform_settings(std::string(node_settings) + "surprise = 1\n",
                                       process_role::beside_target, problems));
    CHECK(problems[0].setting == "line 20");
    problems.clear();
    std::string bad = node_settings;
    bad.replace(bad.find("10.0.0.1:81"), 11, "10.0.0.1:xx");
    CHECK_FALSE(read_platform_settings(bad, process_role::beside_target, problems));
    CHECK(problems[0].setting == "caller-address");
}

TEST_CASE("the bound on cold targets is read from the settings") {
    std::vector<settings_problem> problems;
    const std::string with_bound = std::string(node_settings) + "cold-over = 1.5\ncold-slack = 8\n";
    const auto settings = read_platform_settings(with_bound, process_role::beside_target, problems);
    REQUIRE(settings);
    CHECK(traffic_options_of(*settings, 1).cold_overrun == 1.5);
    CHECK(traffic_options_of(*settings, 1).cold_slack == 8);
    CHECK_FALSE(read_platform_settings(std::string(node_settings) + "cold-slack = -1\n",
                                       process_role::beside_target, problems));
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].setting == "cold-slack");
}

TEST_CASE("what a process may use is read from the settings") {
    std::vector<settings_problem> problems;
    const auto unstated =
        read_platform_settings(node_settings, process_role::beside_target, problems);
    REQUIRE(unstated);
    CHECK(unstated->memory_mb == 256);
    CHECK(unstated->max_descriptors == 4096);
    const auto settings = read_platform_settings(std::string(node_settings) +
                                                     "memory-mb = 160\nmax-descriptors = 4100\n",
                                                 process_role::beside_target, problems);
    REQUIRE(settings);
    CHECK(settings->memory_mb == 160);
    CHECK(settings->max_descriptors == 4100);
}

// Guards against a request that is taken just before the refusal and is still running when the
// process has to end: the platform excuses that for requests of the first three seconds of a stop.
TEST_CASE("a node that stops refuses new requests while those taken can still be finished") {
    std::vector<settings_problem> problems;
    const auto settings =
        read_platform_settings(node_settings, process_role::beside_target, problems);
    REQUIRE(settings);
    constexpr duration excused = 3s;
    constexpr duration on_its_way = 100ms; // the signal, or the request
    CHECK(traffic_options_of(*settings, 1).stop.refusal + on_its_way <= excused);
}

TEST_CASE("mechanisms are switched off by name, and a name that is none is told") {
    std::vector<settings_problem> problems;
    const std::string two = std::string(node_settings) + "switched-off = ejection,near-choice\n";
    const auto settings = read_platform_settings(two, process_role::beside_target, problems);
    REQUIRE(settings);
    CHECK(settings->policy == traffic_policy{.near_choice = false, .ejection = false});
    CHECK_FALSE(traffic_options_of(*settings, 1).selector.near_choice);
    CHECK_FALSE(read_platform_settings(std::string(node_settings) + "switched-off = gravity\n",
                                       process_role::beside_target, problems));
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().setting == "switched-off");
}
