#include "node_under_test.hpp"

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

/// A caller that sends requests without waiting for answers.
class pipelining_caller {
public:
    explicit pipelining_caller(node_under_test &node) : m_node(node), m_socket(node.io()) {
        m_socket.connect(endpoint_from(node.caller_address()));
        read();
    }

    void send(const std::string &host, const std::vector<header_field> &headers = {}) {
        std::string bytes = "GET / HTTP/1.1\r\nHost: " + host + "\r\n";
        for (const header_field &field : headers) {
            bytes += field.name + ": " + field.value + "\r\n";
        }
        asio::write(m_socket, asio::buffer(bytes + "\r\n"));
    }
    const std::string &received() const { return m_received; }
    /// Lets the node handle what it has, and some time pass.
    void wait(duration time) {
        const auto end = std::chrono::steady_clock::now() + time;
        m_node.run_until([&] { return std::chrono::steady_clock::now() >= end; });
    }

private:
    void read() {
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [this](asio::error_code error, std::size_t size) {
                                     m_received.append(m_buffer.data(), size);
                                     if (!error) {
                                         read();
                                     }
                                 });
    }

    node_under_test &m_node;
    asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
};

} // namespace

// Guards against reads that wait for each other although the table says that they may be repeated,
// and against writes that don't.
TEST_CASE("requests overlap where the route says that they may be repeated") {
    node_under_test node;
    node.know_neighbour();
    node.neighbour_refuses = error_kind::none; // it never answers
    pipelining_caller caller(node);
    SUBCASE("reads") {
        caller.send(reads);
        caller.send(reads);
        caller.send(plain);
        REQUIRE(node.run_until([&] { return node.neighbour_asked == 2; }));
        caller.wait(50ms);
        CHECK(node.neighbour_asked == 2);
        const std::string metrics = node.host().metrics_text();
        CHECK(metrics.find("peppertack_pipelined_overlapped_total 1\n") != std::string::npos);
        CHECK(metrics.find("peppertack_held_answer_bytes 65536\n") != std::string::npos);
    }
    SUBCASE("writes") {
        caller.send(plain);
        caller.send(reads);
        REQUIRE(node.run_until([&] { return node.neighbour_asked == 1; }));
        caller.wait(50ms);
        CHECK(node.neighbour_asked == 1);
    }
}

// Guards against a target that works for a caller whose time was over before its turn came.
TEST_CASE("a request whose time has passed behind another is refused as not run") {
    node_under_test node(
        [](traffic_options &options) { options.policy.overlap_pipelined = false; });
    node.know_neighbour();
    node.neighbour_refuses = error_kind::none; // it never answers
    pipelining_caller caller(node);
    const std::string &deadline = node.host().options().headers.deadline_ms;
    caller.send(reads, {{deadline, "200"}});
    caller.send(reads, {{deadline, "200"}});
    REQUIRE(node.run_until([&] { return node.neighbour_asked == 1; }));
    REQUIRE(node.run_until(
        [&] { return caller.received().find("HTTP/1.1 503") != std::string::npos; }));
    CHECK(caller.received().find("HTTP/1.1 504") < caller.received().find("HTTP/1.1 503"));
    CHECK(caller.received().find("Retry-After") != std::string::npos);
    CHECK(node.neighbour_asked == 1);
}
