#include "node_under_test.hpp"

using namespace peppertack;
using namespace peppertack::testing;

namespace {

std::vector<header_field> hop_to_target(duration time_left) {
    return {{std::string(hop_header), encode(hop_request{.target = old_number,
                                                         .service = plain,
                                                         .route = "to-plain",
                                                         .objective_left = 1s,
                                                         .time_left = time_left})}};
}

std::optional<hop_reply> reply_of(const http_head &head) {
    const std::string *hop = head.find(hop_header);
    return hop == nullptr ? std::nullopt : decode_hop_reply(*hop);
}

/// Far longer than a step of a test takes, even on a busy machine.
void stop_slowly(traffic_options &options) {
    options.stop.acceptance = 60s;
    options.stop.refusal = 60s;
    options.stop.limit = 120s;
}

} // namespace

// Guards against giving up a request at which the target is at work.
TEST_CASE("a node that stops refuses what may outlast it, as not run") {
    node_under_test node(stop_slowly);
    node.beat("old", plain);
    node.answer(node.registering("old"), old_number, {});
    node.host().begin_stop([] {});
    const auto refused = reply_of(node.forward(hop_to_target(200s)));
    REQUIRE(refused);
    CHECK(refused->refused == error_kind::draining);
    CHECK_FALSE(refused->may_have_run);
    CHECK(node.runs == 0);
    const auto served = reply_of(node.forward(hop_to_target(30s)));
    REQUIRE(served);
    CHECK(served->refused == error_kind::none);
    CHECK(node.runs == 1);
}

TEST_CASE("a node that gives up a request says that it stops") {
    node_under_test node;
    node.beat("old", plain);
    node.answer(node.registering("old"), old_number, {});
    const auto running = node.forward_without_end(hop_to_target(60s));
    node.host().begin_stop([] {});
    REQUIRE(node.run_until([&] { return node.open_answer().over; }));
    const auto told = reply_of(node.open_answer().head);
    REQUIRE(told);
    CHECK(told->may_have_run);
    CHECK(told->failure == error_kind::draining);
    CHECK(node.host().metrics().text().find("peppertack_given_up_total{state=\"running\"} 1") !=
          std::string::npos);
}

// Guards against answers that say that a request may have run where it reached no target.
TEST_CASE("a request that crosses the end of its connection is refused as not run") {
    node_under_test node;
    node.beat("old", plain);
    node.answer(node.registering("old"), old_number, {});
    asio::ip::tcp::socket peer(node.io());
    peer.connect(endpoint_from(node.node_address()));
    http_head head;
    head.method = "GET";
    head.target = "/";
    head.headers = hop_to_target(100ms);
    head.headers.push_back({"Host", plain});
    const std::string request = request_bytes(head);
    std::size_t sent = 0;
    SUBCASE("sent after the node has read all") {}
    SUBCASE("sent in part before") {
        sent = request.size() / 2;
        asio::write(peer, asio::buffer(request, sent));
    }
    bool stopped = false;
    node.host().begin_stop([&] { stopped = true; });
    REQUIRE(node.run_until(
        [&] { return node.host().stop().current() == graceful_stop::phase::closing; }));
    asio::write(peer, asio::buffer(std::string_view(request).substr(sent)));
    std::string answer;
    asio::error_code end;
    asio::read(peer, asio::dynamic_buffer(answer), end);
    CHECK(end == asio::error::eof);
    CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(answer.find(std::string(hop_header)) != std::string::npos);
    CHECK(node.run_until([&] { return stopped; }));
    CHECK(node.runs == 0);
}

// Guards against ending a request of a caller that came while the node told others that it ends.
TEST_CASE("a node that closes its connections takes nothing more of callers") {
    node_under_test node;
    node.know_neighbour();
    asio::ip::tcp::socket caller(node.io());
    caller.connect(endpoint_from(node.caller_address()));
    const std::string_view half = "GET / HTTP/1.1\r\n";
    asio::write(caller, asio::buffer(half));
    bool stopped = false;
    node.host().begin_stop([&] { stopped = true; });
    REQUIRE(node.run_until(
        [&] { return node.host().stop().current() == graceful_stop::phase::closing; }));
    asio::write(caller, asio::buffer(std::string_view("Host: plain\r\n\r\n")));
    CHECK(node.run_until([&] { return stopped; }));
    CHECK(node.neighbour_asked == 0);
}
