#include "node_under_test.hpp"

#include <sys/socket.h>

using namespace peppertack;
using namespace peppertack::testing;

namespace {

constexpr const char *distant_peer = "127.0.0.3:2";
constexpr int unavailable = 503;

/// Of a node under test: where it sends what is meant for `distant_peer`.
std::string distant_address(const node_under_test &node) {
    const std::string own = node.node_address();
    return "127.0.0.3" + own.substr(own.rfind(':'));
}

/// An address on which connections are neither accepted nor rejected: its queue of connections is
/// full.
class full_listener {
public:
    explicit full_listener(const std::string &address) : m_acceptor(m_io) {
        const auto here = endpoint_from(address);
        m_acceptor.open(here.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(here);
        m_acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            m_fillers.emplace_back(m_io, here.protocol());
            m_fillers.back().non_blocking(true);
            // Asio's own function would wait for the connection.
            ::connect(m_fillers.back().native_handle(), here.data(),
                      static_cast<socklen_t>(here.size()));
        }
    }

private:
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_fillers;
};

/// A node that never asks for the body of a request.
class reluctant_node {
public:
    reluctant_node(asio::io_context &io, const std::string &address)
        : m_server(io, {.address = address, .continue_at_once = false},
                   [this](const auto &exchange) {
                       ++requests;
                       exchanges.push_back(exchange);
                       return std::make_shared<listener>(*this);
                   }) {
        std::string reason;
        REQUIRE_MESSAGE(m_server.start(reason), reason);
    }
    int requests = 0;
    std::size_t body_bytes = 0;
    int gone = 0; ///< requests that their sender has given up
    std::vector<std::shared_ptr<http_exchange>> exchanges;

private:
    struct listener final : http_request_handler {
        explicit listener(reluctant_node &owner) : owner(owner) {}
        void on_request_body(std::string_view piece) override { owner.body_bytes += piece.size(); }
        void on_request_end() override {}
        void on_caller_gone() override { ++owner.gone; }
        reluctant_node &owner;
    };
    http_server m_server;
};

void know_distant_target(node_under_test &node) {
    node.beat("old", plain);
    node.answer(node.registering("old"), old_number,
                {{.number = neighbour_number,
                  .name = "other",
                  .service = plain,
                  .address = distant_peer,
                  .slots = 4}});
}

void know_own_target(node_under_test &node, const std::string &service) {
    node.beat("old", service);
    node.answer(node.registering("old"), old_number,
                {{.number = old_number,
                  .name = "old",
                  .service = service,
                  .address = own_peer,
                  .slots = 4}});
}

std::vector<header_field> waiting_for(node_under_test &node, std::chrono::milliseconds time) {
    return {{node.host().options().headers.deadline_ms, std::to_string(time.count())}};
}

/// A request with a body that nodes announce to each other before they send it.
class announced_request {
public:
    announced_request(node_under_test &node, std::vector<header_field> headers)
        : m_pool(node.io(), {}), m_answer(std::make_shared<seen_answer>()) {
        const std::string body(64U << 10U, 'x');
        http_head head;
        head.method = "POST";
        head.target = "/";
        head.headers = std::move(headers);
        head.headers.push_back({"Host", plain});
        head.framing = body_framing::length;
        head.content_length = body.size();
        m_call = m_pool.start(node.caller_address(), head, m_answer, true);
        m_call->send_body(body);
        m_call->request_done();
    }
    const seen_answer &answer() const { return *m_answer; }

private:
    http_client_pool m_pool;
    std::shared_ptr<seen_answer> m_answer;
    std::shared_ptr<http_call> m_call;
};

void check_promise(const http_head &head) {
    CHECK(head.status == unavailable);
    CHECK(head.find("Retry-After") != nullptr);
}

std::vector<header_field> hop_to_own_target(duration time) {
    return {{std::string(hop_header), encode(hop_request{.target = old_number,
                                                         .service = plain,
                                                         .route = "to-plain",
                                                         .objective_left = 60s,
                                                         .time_left = time})}};
}

} // namespace

// Guards against a 504, after which a caller can't send its request again, for a request of which
// no byte was written: the connection to the node beside the target was still being made.
TEST_CASE("a deadline that passes while the node connects is answered as not run") {
    node_under_test node;
    const full_listener stuck(distant_address(node));
    know_distant_target(node);
    check_promise(node.ask(plain, waiting_for(node, 70ms)));
    // What could write the request later ends without doing so.
    CHECK(node.run_until(
        [&] { return node.host().pool().connections_to(distant_address(node)) == 0; }));
}

// Guards against a 504 for a request whose body was never sent to the node beside the target, which
// can't have given it to the target.
TEST_CASE("a deadline that passes before an announced body is asked for is answered as not run") {
    node_under_test node;
    reluctant_node distant(node.io(), distant_address(node));
    know_distant_target(node);
    const announced_request request(node, waiting_for(node, 600ms));
    REQUIRE(node.run_until([&] { return request.answer().over; }));
    CHECK(distant.requests == 1);
    check_promise(request.answer().head);
    CHECK(node.run_until([&] { return distant.gone == 1; }));
    CHECK(distant.body_bytes == 0);
}

// Guards against a 502 for a request whose body was never sent to a node that was lost.
TEST_CASE("a node that is lost before it asks for an announced body has not run the request") {
    node_under_test node;
    reluctant_node distant(node.io(), distant_address(node));
    know_distant_target(node);
    const announced_request request(node, waiting_for(node, 20s));
    REQUIRE(node.run_until([&] { return distant.requests == 1; }));
    SUBCASE("without an answer") {
        distant.exchanges.front()->abort();
    }
    SUBCASE("with an answer that is not a node's") {
        distant.exchanges.front()->respond(500, {}, {});
    }
    REQUIRE(node.run_until([&] { return request.answer().over; }));
    check_promise(request.answer().head);
    CHECK(distant.body_bytes == 0);
}

// Guards against a promise for a request that was written: the other node may have passed it on.
TEST_CASE("a deadline that passes after the request was written promises nothing") {
    node_under_test node;
    node.know_neighbour();
    node.neighbour_refuses = error_kind::none;
    // On a busy machine the deadline may pass before the request is written.
    CHECK(node.run_until([&] {
        const int before = node.neighbour_asked;
        const http_head head = node.ask(plain, waiting_for(node, 300ms));
        if (node.neighbour_asked > before) {
            CHECK(head.status == answer_for(error_kind::deadline_after_target).status);
        }
        return node.neighbour_asked > before;
    }));
}

// Guards against a 504 for a request that waited at the node beside the target, whose word that it
// did not start it came after the deadline.
TEST_CASE("a request that waits beside its target until the deadline is answered as not run") {
    node_under_test node;
    know_own_target(node, plain);
    // The queue rejects what can't be answered in time, by how long requests take: not at all.
    for (int i = 0; i < 150; ++i) {
        node.forward(hop_to_own_target(60s));
    }
    std::vector<std::shared_ptr<http_call>> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(node.forward_without_end(hop_to_own_target(60s)));
    }
    const int started = node.runs;
    // A stall of this process may let a single one miss its time.
    CHECK(node.run_until([&] {
        const http_head head = node.ask(plain, waiting_for(node, 900ms));
        return head.status == unavailable && head.find("Retry-After") != nullptr;
    }));
    // Nothing may start once a slot is free.
    for (const auto &call : running) {
        call->cancel();
    }
    REQUIRE(node.run_until([&] { return node.agent().queue().in_flight() == 0; }));
    const auto after = std::chrono::steady_clock::now() + 100ms;
    node.run_until([&] { return std::chrono::steady_clock::now() > after; });
    CHECK(node.runs == started);
}

// Guards against a request that is held back up to its deadline by a target that takes no
// connection, where the word that it was not sent comes after the deadline.
TEST_CASE("a request that waits for a connection to its target is rejected before its deadline") {
    node_under_test node;
    const std::string address = loopback("127.0.0.1", free_port());
    const full_listener stuck(address);
    node.agent().heartbeat(
        {.name = "old", .address = address, .service = plain, .slots = 4, .sequence = 1},
        test_moment(), [](const hold_grant &) {});
    node.answer(node.registering("old"), old_number, {});
    constexpr auto time = 100ms;
    CHECK(node.run_until([&] {
        const auto begun = std::chrono::steady_clock::now();
        const http_head head = node.forward(hop_to_own_target(time));
        const bool in_time = std::chrono::steady_clock::now() - begun < time;
        const std::string *hop = head.find(hop_header);
        const auto told = hop == nullptr ? std::nullopt : decode_hop_reply(*hop);
        REQUIRE(told);
        return in_time && told->refused == error_kind::deadline_before_target;
    }));
    CHECK(node.run_until([&] { return node.host().pool().connections_to(address) == 0; }));
}
