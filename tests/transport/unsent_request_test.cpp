#include "node_under_test.hpp"

#include <sys/socket.h>

using namespace peppertack;
using namespace peppertack::testing;

namespace {

/// A server that answers by hand, outside the event loop, so that a connection can break between
/// two steps of the loop.
class blocking_server {
public:
    explicit blocking_server(const std::string &host = "127.0.0.1", int port = free_port())
        : address(loopback(host, port)), m_acceptor(m_io) {
        const auto here = endpoint_from(address);
        m_acceptor.open(here.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(here);
        m_acceptor.listen();
        m_acceptor.non_blocking(true);
    }

    /// Takes what has come, and answers each request with `answer`.
    void step(const std::string &answer) {
        asio::error_code error;
        asio::ip::tcp::socket next(m_io);
        if (!m_acceptor.accept(next, error)) {
            next.non_blocking(true);
            m_links.push_back(std::move(next));
        }
        for (asio::ip::tcp::socket &link : m_links) {
            if (!link.is_open()) {
                continue;
            }
            std::array<char, 4096> buffer{};
            const std::size_t size = link.read_some(asio::buffer(buffer), error);
            if (!error && std::string_view(buffer.data(), size).ends_with("\r\n\r\n")) {
                ++requests;
                asio::write(link, asio::buffer(answer));
            }
        }
    }

    std::size_t links() const { return m_links.size(); }
    /// Answers on the connection that was accepted at that place.
    void answer(std::size_t place, const std::string &text) {
        asio::write(m_links.at(place), asio::buffer(text));
    }
    /// Breaks one connection.
    void reset(std::size_t place) {
        m_links.at(place).set_option(asio::socket_base::linger(true, 0));
        m_links.at(place).close();
    }
    /// Breaks all connections; a client learns of it with its next system call.
    void reset_all() {
        for (asio::ip::tcp::socket &link : m_links) {
            link.set_option(asio::socket_base::linger(true, 0));
            link.close();
        }
        m_links.clear();
    }

    const std::string address;
    int requests = 0;

private:
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<asio::ip::tcp::socket> m_links;
};

constexpr const char *empty_answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

struct call_end final : http_response_handler {
    void on_response_head(http_head) override {}
    void on_response_body(std::string_view) override {}
    void on_response_end() override { answered = true; }
    void on_call_failed(call_failure why, const std::string &) override { failure = why; }
    bool answered = false;
    std::optional<call_failure> failure;
};

http_head get_root() {
    http_head head;
    head.method = "GET";
    head.target = "/";
    head.headers = {{"Host", plain}};
    return head;
}

bool run_until(asio::io_context &io, const std::function<bool()> &condition) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < limit) {
        io.restart();
        io.run_one_for(5ms);
    }
    return condition();
}

} // namespace

// Guards against a request counted as perhaps run because an idle connection, on which the system
// took none of its bytes, had broken.
TEST_CASE("a call on a connection that broke before the request was written has sent nothing") {
    asio::io_context io;
    blocking_server server;
    http_client_pool pool(io, {});
    const auto first = std::make_shared<call_end>();
    const auto open = pool.start(server.address, get_root(), first);
    open->request_done();
    REQUIRE(run_until(io, [&] {
        server.step(empty_answer);
        return first->answered;
    }));
    REQUIRE(pool.idle_to(server.address) == 1);
    server.reset_all();
    const auto second = std::make_shared<call_end>();
    const auto broken = pool.start(server.address, get_root(), second);
    broken->request_done();
    CHECK(broken->reused());
    CHECK_FALSE(broken->sent());
    REQUIRE(run_until(io, [&] { return second->failure.has_value(); }));
    CHECK(second->failure == call_failure::not_sent);
    CHECK(server.requests == 1);
}

// Guards against the contrary: a promise for a request that the other side may have read.
TEST_CASE("a call whose connection breaks after the request was written has sent something") {
    asio::io_context io;
    blocking_server server;
    http_client_pool pool(io, {});
    const auto end = std::make_shared<call_end>();
    const auto open = pool.start(server.address, get_root(), end);
    open->request_done();
    CHECK_FALSE(open->sent()); // still being connected
    REQUIRE(run_until(io, [&] {
        server.step({});
        return server.requests == 1;
    }));
    CHECK(open->sent());
    server.reset_all();
    REQUIRE(run_until(io, [&] { return end->failure.has_value(); }));
    CHECK(end->failure == call_failure::no_answer);
}

// Guards against a caller that is told nothing certain (502) although the connection to the target
// broke before its request was written.
TEST_CASE("a target's connection that broke before the request was written promises no run") {
    node_under_test node;
    blocking_server target;
    int beats = 0;
    const auto beat = [&](std::uint32_t slots) {
        node.agent().heartbeat({.name = "old",
                                .address = target.address,
                                .service = plain,
                                .slots = slots,
                                .sequence = static_cast<std::uint64_t>(++beats)},
                               test_moment(), [](const hold_grant &) {});
    };
    beat(2);
    node.answer(node.registering("old"), old_number, {});
    http_client_pool pool(node.io(), {});
    struct forwarded {
        std::shared_ptr<seen_answer> answer;
        std::shared_ptr<http_call> call;
    };
    const auto forward = [&] {
        http_head head = get_root();
        head.headers.push_back({node.host().options().headers.request_id, "r"});
        head.headers.push_back({std::string(hop_header), encode(hop_request{.target = old_number,
                                                                            .service = plain,
                                                                            .route = "to-plain",
                                                                            .objective_left = 50s,
                                                                            .time_left = 60s})});
        forwarded result{.answer = std::make_shared<seen_answer>(), .call = nullptr};
        result.call = pool.start(node.node_address(), head, result.answer, true);
        result.call->request_done();
        return result;
    };
    const auto run_step = [&](const std::function<bool()> &condition) {
        return node.run_until([&] {
            target.step({});
            return condition();
        });
    };
    // Two connections, the second of which becomes idle.
    const forwarded first = forward();
    REQUIRE(run_step([&] { return target.requests == 1; }));
    const forwarded second = forward();
    REQUIRE(run_step([&] { return target.requests == 2; }));
    target.answer(1, empty_answer);
    REQUIRE(run_step([&] { return second.answer->over; }));
    REQUIRE(node.host().pool().idle_to(target.address) == 1);
    // One that waits for the only slot that is left, and starts with the end of the first.
    beat(1);
    REQUIRE(run_step([&] { return node.agent().queue().limit() == 1; }));
    const forwarded third = forward();
    REQUIRE(run_step([&] { return node.agent().queue().waiting() == 1; }));
    target.answer(0, empty_answer);
    target.reset(1);
    REQUIRE(run_step([&] { return third.answer->over; }));
    const std::string *hop = third.answer->head.find(hop_header);
    const auto told = hop == nullptr ? std::nullopt : decode_hop_reply(*hop);
    REQUIRE(told);
    CHECK_FALSE(told->may_have_run);
    CHECK(told->refused == error_kind::target_unreachable);
    CHECK(target.requests == 2);
}
