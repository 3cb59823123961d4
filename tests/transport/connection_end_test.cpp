#include "local_cluster.hpp"
#include "peppertack/transport/http/http_server.hpp"
#include "peppertack/transport/http/whole_request.hpp"

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

/// More than the system's buffers hold.
constexpr std::size_t large_answer = 16U << 20U;
constexpr const char *get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that answers all requests alike, on a loop that runs only when a test says so.
class paused_server {
public:
    explicit paused_server(http_server::options options = {})
        : m_address("127.0.0.1:" + std::to_string(free_port())),
          m_server(m_io, with_address(std::move(options)),
                   whole_request::factory([this](const auto &caller, const std::string &) {
                       caller->respond(m_status, {}, m_body);
                   })) {
        std::string reason;
        REQUIRE_MESSAGE(m_server.start(reason), reason);
    }

    http_server &server() { return m_server; }
    void answer_with(int status) { m_status = status; }
    void answer_at_length(std::size_t size) { m_body.assign(size, 'x'); }

    asio::ip::tcp::socket connect() {
        asio::ip::tcp::socket caller(m_io);
        caller.connect(endpoint_from(m_address));
        return caller;
    }

    /// A connection that the server has taken in.
    asio::ip::tcp::socket connect_kept() {
        asio::ip::tcp::socket caller = connect();
        const std::size_t before = m_server.connections();
        REQUIRE(run_until([&] { return m_server.connections() > before; }));
        return caller;
    }

    /// Handles whatever is ready, and goes on for a while.
    void run() { run_for(30ms); }
    void run_for(duration time) {
        m_io.restart();
        m_io.run_for(time);
    }

    /// Reads an answer to its end, so many bytes at a time with a pause after each. Yields its size
    /// with the head, or what came of it before the connection ended.
    std::size_t read_all(asio::ip::tcp::socket &caller, std::size_t piece, duration pause,
                         duration patience = 20s) {
        std::string buffer(piece, '\0');
        std::size_t size = 0;
        asio::error_code error;
        caller.non_blocking(true, error);
        const auto limit = std::chrono::steady_clock::now() + patience;
        while (size <= m_body.size() && std::chrono::steady_clock::now() < limit) {
            size += caller.read_some(asio::buffer(buffer), error);
            if (error && error != asio::error::would_block) {
                break;
            }
            m_io.restart();
            m_io.run_for(std::max<duration>(pause, 1ms));
        }
        return size;
    }

    bool run_until(const std::function<bool()> &condition) {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_io.restart();
            m_io.run_one_for(20ms);
        }
        return condition();
    }

    /// First line of what a caller has received by now, or how its connection ended.
    static std::string received(asio::ip::tcp::socket &caller) {
        std::string bytes(4096, '\0');
        asio::error_code error;
        caller.non_blocking(true, error);
        bytes.resize(caller.read_some(asio::buffer(bytes), error));
        return error ? error.message() : bytes.substr(0, bytes.find("\r\n"));
    }

private:
    http_server::options with_address(http_server::options options) {
        options.address = m_address;
        return options;
    }

    asio::io_context m_io;
    std::string m_address;
    int m_status = 200;
    std::string m_body = "told";
    http_server m_server;
};

void send(asio::ip::tcp::socket &caller, std::string_view bytes) {
    asio::write(caller, asio::buffer(bytes));
}

} // namespace

// Guards against connections that are closed with a request unread in them when a process ends.
TEST_CASE("requests that the system holds when a server stops are answered") {
    paused_server paused;
    asio::ip::tcp::socket kept = paused.connect_kept();
    asio::ip::tcp::socket idle = paused.connect_kept();
    send(kept, get);
    asio::ip::tcp::socket waiting = paused.connect();
    send(waiting, get);
    paused.answer_with(503);
    paused.server().begin_drain();
    paused.server().stop_accepting();
    paused.run();
    CHECK(paused_server::received(kept) == "HTTP/1.1 503 Service Unavailable");
    CHECK(paused_server::received(waiting) == "HTTP/1.1 503 Service Unavailable");
    CHECK(paused_server::received(idle) == "End of file");
}

// Guards against a stop that waits for a caller who never ceases to send.
TEST_CASE("blank lines do not keep a server from its end") {
    paused_server paused;
    asio::ip::tcp::socket caller = paused.connect_kept();
    std::atomic<bool> over = false;
    std::thread flood([&] {
        const std::string lines(64U << 10U, '\n');
        asio::error_code error;
        caller.non_blocking(true, error);
        while (!over && (!error || error == asio::error::would_block)) {
            caller.write_some(asio::buffer(lines), error);
        }
    });
    paused.run();
    const std::uint64_t before = byte_stream::thread_traffic().read;
    paused.server().stop_accepting();
    const std::uint64_t read = byte_stream::thread_traffic().read - before;
    over = true;
    flood.join();
    CHECK(read <= 256U << 10U);
    CHECK(paused.server().connections() == 0);
}

// Guards against closing a connection as idle, or its request as late, with the bytes unread in it.
TEST_CASE("what has come in time is not ended as late by a server that stood still") {
    paused_server paused;
    constexpr std::size_t count = 400; // more than the loop reads before it looks at its timers
    std::vector<asio::ip::tcp::socket> callers;
    while (callers.size() < count) {
        callers.push_back(paused.connect_kept());
    }
    const std::string_view request = get;
    std::size_t sent = 0;
    SUBCASE("connections that are idle") {}
    SUBCASE("heads of which a part was read") {
        sent = request.size() / 2;
    }
    for (asio::ip::tcp::socket &caller : callers) {
        send(caller, request.substr(0, sent));
    }
    paused.run();
    paused.server().set_limits({}, 500ms, 500ms);
    std::this_thread::sleep_for(1s); // the server's next look at the time is due
    for (asio::ip::tcp::socket &caller : callers) {
        send(caller, request.substr(sent));
    }
    paused.run();
    const auto served =
        std::count_if(callers.begin(), callers.end(), [](asio::ip::tcp::socket &caller) {
            return paused_server::received(caller) == "HTTP/1.1 200 OK";
        });
    CHECK(served == count);
}

// Guards against a reset, by the bound for silent servers, of a caller that is there and reads
// late.
TEST_CASE("a caller that reads nothing for a while gets its answer") {
    paused_server paused;
    paused.answer_at_length(large_answer);
    asio::ip::tcp::socket caller = paused.connect_kept();
    send(caller, get);
    paused.run_for(3s); // several times the bound for servers
    CHECK(paused.read_all(caller, 1U << 20U, {}) > large_answer);
    CHECK(paused.server().ends().count(connection_end::unacknowledged, false) == 0);
}

// Guards against ending a connection as idle while the system's buffer, out of which its caller
// reads, is still full.
TEST_CASE("a caller that reads very slowly is not idle") {
    paused_server paused({.idle_timeout = 300ms});
    paused.answer_at_length(large_answer);
    asio::ip::tcp::socket caller = paused.connect_kept();
    send(caller, get);
    CHECK(paused.read_all(caller, 4U << 10U, 20ms, 3s) > 0);
    CHECK(paused.server().connections() == 1);
}

// Guards against an answer that is cut off when its server stops.
TEST_CASE("a connection with an answer that is not read yet is not idle") {
    paused_server paused;
    paused.answer_at_length(large_answer);
    asio::ip::tcp::socket caller = paused.connect_kept();
    send(caller, get);
    paused.run();
    REQUIRE(paused.server().unsent() == 1);
    paused.server().stop_accepting();
    CHECK(paused.server().unsent() == 1);
    CHECK(paused.read_all(caller, 1U << 20U, {}) > large_answer);
}

// Guards against ending a connection as idle while its caller still takes an answer.
TEST_CASE("a caller that reads slowly is not idle") {
    paused_server paused({.idle_timeout = 300ms});
    paused.answer_at_length(large_answer);
    asio::ip::tcp::socket caller = paused.connect_kept();
    send(caller, get);
    CHECK(paused.read_all(caller, 1U << 20U, 100ms) > large_answer);
    CHECK(paused.run_until([&] { return paused.server().connections() == 0; }));
    CHECK(paused.server().ends().count(connection_end::idle, false) == 1);
}

// Guards against connections that are closed without a word when there are too many.
TEST_CASE("a connection beyond the limit is told that nothing has run") {
    paused_server paused(
        {.most_streams = byte_stream::thread_open() + 1, .turned_away_headers = [] {
             return std::vector<header_field>{{"Why", "full"}};
         }});
    asio::ip::tcp::socket taken = paused.connect_kept();
    asio::ip::tcp::socket beyond = paused.connect();
    send(beyond, get);
    REQUIRE(paused.run_until([&] { return paused.server().turned_away() == 1; }));
    std::string answer;
    asio::error_code end;
    asio::read(beyond, asio::dynamic_buffer(answer), end);
    CHECK(answer.rfind("HTTP/1.1 503", 0) == 0);
    CHECK(answer.find("Why: full\r\n") != std::string::npos);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    send(taken, get);
    REQUIRE(paused.run_until([&] { return taken.available() > 0; }));
    CHECK(paused_server::received(taken) == "HTTP/1.1 200 OK");
}

TEST_CASE("the ends of connections are counted by cause") {
    paused_server paused;
    const connection_end_counts &ends = paused.server().ends();
    SUBCASE("ended in order by a caller that has nothing open") {
        paused.connect_kept().close();
        REQUIRE(paused.run_until([&] { return paused.server().connections() == 0; }));
        CHECK(ends.count(connection_end::peer_ended, false) == 1);
    }
    SUBCASE("reset by a caller") {
        asio::ip::tcp::socket caller = paused.connect_kept();
        caller.set_option(asio::socket_base::linger(true, 0));
        caller.close();
        REQUIRE(paused.run_until([&] { return paused.server().connections() == 0; }));
        CHECK(ends.count(connection_end::peer_reset, false) == 1);
    }
    SUBCASE("reset with bytes that are read before") {
        asio::ip::tcp::socket caller = paused.connect_kept();
        send(caller, "GET ");
        caller.set_option(asio::socket_base::linger(true, 0));
        caller.close();
        REQUIRE(paused.run_until([&] { return paused.server().connections() == 0; }));
        CHECK(ends.count(connection_end::peer_reset, false) == 1);
    }
    SUBCASE("after an answer that says so") {
        asio::ip::tcp::socket caller = paused.connect_kept();
        send(caller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        REQUIRE(paused.run_until([&] { return paused.server().connections() == 0; }));
        CHECK(ends.count(connection_end::answered, false) == 1);
        CHECK(ends.text("callers") == "peppertack_connections_ended_total{side=\"callers\",cause="
                                      "\"answered\",unanswered=\"no\"} 1\n");
    }
    SUBCASE("by a server that stops") {
        const asio::ip::tcp::socket caller = paused.connect_kept();
        paused.server().stop_accepting();
        CHECK(ends.count(connection_end::server_stopped, false) == 1);
    }
}
