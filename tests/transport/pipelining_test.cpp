#include "local_cluster.hpp"
#include "peppertack/transport/http/http_server.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr const char *large = "/large"; ///< idempotent, with a large answer

std::string get(const std::string &path, const std::string &more = {}) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

std::string post(const std::string &path, const std::string &body) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::size_t count_of(const std::string &text, const std::string &part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

/// A server whose requests are answered when the test says so, and one connection to it. GET
/// requests may overlap.
class pipelined_connection {
public:
    explicit pipelined_connection(http_server::options options = {})
        : m_server(m_io, with_defaults(std::move(options)),
                   [this](const auto &exchange) { return handle(exchange); }),
          m_socket(m_io) {
        std::string reason;
        REQUIRE_MESSAGE(m_server.start(reason), reason);
        m_socket.connect(endpoint_from(m_address));
        read();
    }

    void send(const std::string &bytes) { asio::write(m_socket, asio::buffer(bytes)); }
    /// Sends `bytes`, which must outlive this object, as the server takes them.
    void send_all_in_background(const std::string &bytes) {
        asio::async_write(m_socket, asio::buffer(bytes), [](asio::error_code, std::size_t) {});
    }
    void close() { m_socket.close(); }
    http_server &server() { return m_server; }
    const std::string &received() const { return m_received; }
    bool ended() const { return m_ended; }
    /// Does this when a handler is told that what was queued has been written.
    void on_drained(std::function<void(const std::string &path)> reaction) {
        m_on_drained = std::move(reaction);
    }
    /// Does this when a handler is told that its caller has gone.
    void on_gone(std::function<void(const std::string &path)> reaction) {
        m_on_gone = std::move(reaction);
    }
    /// Does this with each request as soon as its head has come.
    void on_started(std::function<void(http_exchange &)> reaction) {
        m_on_started = std::move(reaction);
    }
    /// Does this with each request as soon as it is whole.
    void on_whole(std::function<void(http_exchange &)> reaction) {
        m_on_whole = std::move(reaction);
    }
    /// Stops or resumes reading what the server sends.
    void pause_reading(bool pause) {
        m_reading_paused = pause;
        if (!pause) {
            read();
        }
    }
    const std::vector<std::string> &started() const { return m_started; }
    const std::vector<std::string> &gone() const { return m_gone; }
    const std::string &body_of(const std::string &path) { return m_bodies[path]; }
    http_exchange &operator[](const std::string &path) { return *m_open.at(path); }

    void answer(const std::string &path, const std::string &body) {
        m_open.at(path)->respond(200, {}, body);
    }
    bool until(const std::function<bool()> &condition) {
        const auto limit = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            m_io.restart();
            m_io.run_one_for(20ms);
        }
        return condition();
    }
    bool until_started(std::size_t count) {
        return until([&] { return m_started.size() >= count; });
    }
    /// Handles whatever is ready.
    void step() {
        m_io.restart();
        m_io.run_for(30ms);
    }

private:
    struct handler final : http_request_handler {
        handler(pipelined_connection &owner, std::shared_ptr<http_exchange> exchange)
            : m_owner(owner), m_exchange(std::move(exchange)) {}
        void on_request_body(std::string_view piece) override {
            m_owner.m_bodies[m_exchange->request().target].append(piece);
        }
        void on_request_end() override {
            if (m_owner.m_on_whole) {
                m_owner.m_on_whole(*m_exchange);
            }
        }
        void on_caller_gone() override {
            m_owner.m_gone.push_back(m_exchange->request().target);
            if (m_owner.m_on_gone) {
                m_owner.m_on_gone(m_exchange->request().target);
            }
        }
        void on_caller_drained() override {
            if (m_owner.m_on_drained) {
                m_owner.m_on_drained(m_exchange->request().target);
            }
        }
        pipelined_connection &m_owner;
        std::shared_ptr<http_exchange> m_exchange;
    };

    http_server::options with_defaults(http_server::options options) {
        m_address = "127.0.0.1:" + std::to_string(free_port());
        options.address = m_address;
        options.kind_of = [](const http_head &head) {
            using kind = pipelining_policy::request_kind;
            if (head.method != "GET") {
                return kind::exclusive;
            }
            return head.target == large ? kind::idempotent_large : kind::idempotent;
        };
        return options;
    }

    std::shared_ptr<http_request_handler> handle(const std::shared_ptr<http_exchange> &exchange) {
        m_started.push_back(exchange->request().target);
        m_open[exchange->request().target] = exchange;
        if (m_on_started) {
            m_on_started(*exchange);
        }
        return std::make_shared<handler>(*this, exchange);
    }

    void read() {
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [this](asio::error_code error, std::size_t size) {
                                     m_received.append(m_buffer.data(), size);
                                     if (error) {
                                         m_ended = true;
                                         return;
                                     }
                                     if (!m_reading_paused) {
                                         read();
                                     }
                                 });
    }

    asio::io_context m_io;
    std::string m_address;
    std::map<std::string, std::shared_ptr<http_exchange>> m_open;
    std::map<std::string, std::string> m_bodies;
    std::vector<std::string> m_started;
    std::vector<std::string> m_gone;
    http_server m_server;
    asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    bool m_ended = false;
    bool m_reading_paused = false;
    std::function<void(const std::string &)> m_on_drained;
    std::function<void(const std::string &)> m_on_gone;
    std::function<void(http_exchange &)> m_on_started;
    std::function<void(http_exchange &)> m_on_whole;
};

using paths = std::vector<std::string>;

} // namespace

// Guards against the last of ten reads taking ten times as long as one, and against answers that
// come in the order in which they are ready.
TEST_CASE("pipelined reads run at the same time and are answered in their order") {
    pipelined_connection client({.pipelining = {.max_concurrent = 10}});
    std::string all;
    for (int i = 0; i < 10; ++i) {
        all += get("/" + std::to_string(i));
    }
    client.send(all);
    REQUIRE(client.until_started(10));
    for (int i = 9; i > 0; --i) {
        client.answer("/" + std::to_string(i), "<" + std::to_string(i) + ">");
    }
    client.step();
    CHECK(client.received().empty());
    client.answer("/0", "<0>");
    REQUIRE(client.until([&] { return count_of(client.received(), "HTTP/1.1 200") == 10; }));
    std::size_t last = 0;
    for (int i = 0; i < 10; ++i) {
        const std::size_t at = client.received().find("<" + std::to_string(i) + ">");
        REQUIRE(at != std::string::npos);
        CHECK(at >= last);
        last = at;
    }
    CHECK(client.server().held_answer_bytes() == 0);
}

// Guards against bytes of one request being taken for another, wherever the network cuts them.
TEST_CASE("pipelined requests are the same however their bytes are cut") {
    const std::string bytes = get("/a") + get("/b") + post("/c", "body") + get("/d");
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        CAPTURE(cut);
        pipelined_connection client;
        client.send(bytes.substr(0, cut));
        client.step();
        client.send(bytes.substr(cut));
        REQUIRE(client.until_started(2));
        client.answer("/b", "b");
        client.answer("/a", "a");
        REQUIRE(client.until_started(3));
        REQUIRE(client.until([&] { return client.body_of("/c") == "body"; }));
        client.answer("/c", "c");
        REQUIRE(client.until_started(4));
        client.answer("/d", "d");
        REQUIRE(client.until([&] { return count_of(client.received(), "HTTP/1.1 200") == 4; }));
        CHECK(client.started() == paths{"/a", "/b", "/c", "/d"});
    }
}

// Guards against a request that takes effect once being run although an earlier answer ends the
// connection, which makes its caller send it again.
TEST_CASE("a write waits until the reads before it are answered, and reads wait for it") {
    pipelined_connection client;
    client.send(get("/a") + get("/b") + post("/write", "w") + get("/c"));
    REQUIRE(client.until_started(2));
    client.step();
    CHECK(client.started() == paths{"/a", "/b"});
    client.answer("/a", "a");
    client.step();
    CHECK(client.started() == paths{"/a", "/b"});
    client.answer("/b", "b");
    REQUIRE(client.until_started(3));
    client.step();
    CHECK(client.started() == paths{"/a", "/b", "/write"});
    client.answer("/write", "w");
    REQUIRE(client.until_started(4));
    CHECK(client["/c"].ahead() == 0);
}

// Guards against a deadline that begins only when a request's turn comes: the target would be given
// more time than its caller waits.
TEST_CASE("the time of a request that waits for its turn begins when it could be read") {
    pipelined_connection client({.pipelining = {.max_concurrent = 1}});
    client.send(get("/a"));
    REQUIRE(client.until_started(1));
    client.send(get("/b"));
    client.step();
    pipelined_connection later;
    later.send(get("/later"));
    REQUIRE(later.until_started(1));
    client.answer("/a", "a");
    REQUIRE(client.until_started(2));
    CHECK(client["/b"].received() <= later["/later"].received());
    CHECK(client["/b"].received() >= client["/a"].received());
}

// Guards against requests that count as not read going on for nobody.
TEST_CASE("an answer that ends the connection cancels the requests behind it") {
    pipelined_connection client;
    client.send(get("/a") + get("/last", "Connection: close\r\n") + get("/b"));
    REQUIRE(client.until_started(2));
    client.step();
    CHECK(client.started() == paths{"/a", "/last"});
    SUBCASE("in order") {
        client.answer("/a", "a");
        client.answer("/last", "last");
        CHECK(client.until([&] { return client.ended(); }));
        CHECK(count_of(client.received(), "HTTP/1.1 200") == 2);
        CHECK(client.gone().empty());
    }
    SUBCASE("the answer in front breaks off") {
        client["/a"].send_head(
            {.status = 200, .framing = body_framing::length, .content_length = 100});
        client["/a"].send_body("half");
        client["/a"].abort();
        client.answer("/last", "last");
        CHECK(client.until([&] { return client.ended(); }));
        CHECK(count_of(client.received(), "HTTP/1.1 502") == 1);
        CHECK(count_of(client.received(), "HTTP/1.1 200") == 1);
        CHECK(client.received().find("half") == std::string::npos);
        CHECK(client.gone().empty());
    }
    CHECK(client.server().connections() == 0);
    CHECK(client.server().held_answer_bytes() == 0);
}

// Guards against requests at sound targets that get no answer since the answer before them broke
// off (review case 5).
TEST_CASE("nothing is started behind an answer that can't be replaced any more") {
    const http_head head{.status = 200, .framing = body_framing::length, .content_length = 400};
    SUBCASE("a part of it is sent") {
        pipelined_connection client;
        client.send(get("/a"));
        REQUIRE(client.until_started(1));
        client["/a"].send_head(head);
        client["/a"].send_body(std::string(200, 'x'));
        client.send(get("/b"));
        client.step();
        CHECK(client.started() == paths{"/a"});
        client["/a"].send_body(std::string(200, 'x'));
        client["/a"].finish();
        CHECK(client.until_started(2));
    }
    SUBCASE("it is large by its kind") {
        pipelined_connection client;
        client.send(get("/a") + get(large) + get("/b"));
        REQUIRE(client.until_started(2));
        client.answer("/a", "a");
        client.step();
        CHECK(client.started() == paths{"/a", large});
        client.answer(large, "l");
        CHECK(client.until_started(3));
    }
    SUBCASE("it outgrows the budget") {
        pipelined_connection client({.held_answers = {.limit = 300, .reserve = 100}});
        client.send(get("/a") + get("/b"));
        REQUIRE(client.until_started(2));
        client["/a"].send_head(head);
        client["/a"].send_body(std::string(50, 'x'));
        client.step();
        CHECK(client.received().empty());
        client["/a"].send_body(std::string(250, 'x'));
        REQUIRE(client.until([&] { return count_of(client.received(), "x") == 300; }));
        client.send(get("/c"));
        client.step();
        CHECK(client.started() == paths{"/a", "/b"});
        client["/a"].send_body(std::string(100, 'x'));
        client["/a"].finish();
        CHECK(client.until_started(3));
    }
}

// Guards against whole answers that are dropped with one behind them that breaks off.
TEST_CASE("answers before one that breaks off reach a caller that reads late") {
    constexpr std::size_t size = 8U << 20U; // more than the system's buffers take
    pipelined_connection client({.pipelining = {.max_unsent = 2 * size}});
    client.pause_reading(true);
    client.send(get("/a") + get(large));
    REQUIRE(client.until_started(2));
    client.answer("/a", std::string(size, 'x'));
    client[large].send_head({.status = 200, .framing = body_framing::length, .content_length = 9});
    client[large].send_body("cut");
    client.send(get("/unread"));
    client.step();
    client[large].abort();
    client.pause_reading(false);
    REQUIRE(client.until([&] { return client.ended(); }));
    CHECK(count_of(client.received(), "x") == size);
    CHECK(client.received().find("cut") != std::string::npos);
}

// Guards against the same where the answer that breaks off had waited for one before it.
TEST_CASE("an answer that comes to the front half ready is held until it is whole") {
    pipelined_connection client({.held_answers = {.limit = 2000, .reserve = 100}});
    client.send(get("/a") + get("/b") + get("/c"));
    REQUIRE(client.until_started(3));
    client["/b"].send_head({.status = 200, .framing = body_framing::length, .content_length = 400});
    client["/b"].send_body(std::string(200, 'x'));
    CHECK(client["/b"].backlogged(1U << 20U));
    client.answer("/a", "a");
    CHECK_FALSE(client["/b"].backlogged(1U << 20U));
    client.step();
    CHECK(count_of(client.received(), "x") == 0);
    SUBCASE("it becomes whole") {
        client["/b"].send_body(std::string(200, 'x'));
        client["/b"].finish();
        CHECK(client.until([&] { return count_of(client.received(), "x") == 400; }));
    }
    SUBCASE("it breaks off") {
        client["/b"].abort();
        CHECK(client.until([&] { return count_of(client.received(), "HTTP/1.1 502") == 1; }));
    }
    client.answer("/c", "c");
    CHECK(client.until([&] { return count_of(client.received(), "HTTP/1.1 200") >= 2; }));
    CHECK_FALSE(client.ended());
    CHECK(client.server().held_answer_bytes() == 0);
}

// Guards against the answers of others being lost with one that broke off before its caller had
// seen any of it.
TEST_CASE("an answer that breaks off while it waits is replaced by a failure") {
    pipelined_connection client;
    client.send(get("/a") + get("/b") + get("/c"));
    REQUIRE(client.until_started(3));
    client["/b"].send_head({.status = 200, .framing = body_framing::length, .content_length = 100});
    client["/b"].send_body("half");
    client["/b"].abort();
    client.answer("/c", "c");
    client.answer("/a", "a");
    REQUIRE(client.until([&] { return count_of(client.received(), "HTTP/1.1 200") == 2; }));
    CHECK(count_of(client.received(), "HTTP/1.1 502") == 1);
    CHECK(client.received().find("half") == std::string::npos);
    CHECK_FALSE(client.ended());
}

// Guards against work for callers that have left.
TEST_CASE("a caller that leaves ends all its pipelined requests") {
    pipelined_connection client;
    client.send(get("/a") + get("/b") + post("/write", "w"));
    REQUIRE(client.until_started(2));
    client.answer("/b", "b");
    client.close();
    REQUIRE(client.until([&] { return !client.gone().empty(); }));
    CHECK(client.gone() == paths{"/a"});
    CHECK(client.started() == paths{"/a", "/b"});
    CHECK(client.server().held_answer_bytes() == 0);
}

// Guards against a request that is being run when its connection is closed under it, as a stop of
// the node would do with an answer that ends the connection in front of it.
TEST_CASE("a server that stops answers what is in progress and starts nothing behind it") {
    pipelined_connection client;
    client.send(get("/a") + get("/b"));
    REQUIRE(client.until_started(2));
    client.server().begin_drain();
    client.send(get("/c"));
    client.step();
    CHECK(client.started() == paths{"/a", "/b"});
    client.answer("/a", "a");
    client.answer("/b", "b");
    REQUIRE(client.until([&] { return client.ended(); }));
    CHECK(count_of(client.received(), "HTTP/1.1 200") == 2);
    CHECK(count_of(client.received(), "Connection: close") == 1);
    CHECK(client.started() == paths{"/a", "/b"});
}

// Guards against bytes that are no request costing their caller the answers before them.
TEST_CASE("bytes that are no request are refused behind the answers before them") {
    pipelined_connection client;
    client.send(get("/a") + "no request\r\n\r\n" + get("/b"));
    REQUIRE(client.until_started(1));
    client.step();
    CHECK(client.received().empty());
    client.answer("/a", "a");
    REQUIRE(client.until([&] { return client.ended(); }));
    CHECK(client.received().find("HTTP/1.1 200") < client.received().find("HTTP/1.1 400"));
    CHECK(count_of(client.received(), "HTTP/1.1 400") == 1);
    CHECK(client.started() == paths{"/a"});
}

// Guards against memory that grows with what callers can't be sent yet.
TEST_CASE("an answer that waits is paused at its bound and goes on in front") {
    pipelined_connection client({.held_answers = {.limit = 1000, .reserve = 100}});
    client.send(get("/a") + get("/b"));
    REQUIRE(client.until_started(2));
    client["/b"].send_head({.status = 200, .framing = body_framing::length, .content_length = 400});
    client["/b"].send_body(std::string(200, 'x'));
    CHECK(client["/b"].backlogged(1U << 20U));
    client.answer("/a", "a");
    CHECK_FALSE(client["/b"].backlogged(1U << 20U));
    client["/b"].send_body(std::string(200, 'x'));
    client["/b"].finish();
    REQUIRE(client.until([&] { return count_of(client.received(), "x") == 400; }));
    SUBCASE("a full budget lets no further request overlap") {
        pipelined_connection full({.held_answers = {.limit = 99, .reserve = 100}});
        full.send(get("/a") + get("/b"));
        REQUIRE(full.until_started(1));
        full.step();
        CHECK(full.started() == paths{"/a"});
        full.answer("/a", "a");
        CHECK(full.until_started(2));
    }
}

// Guards against answers that belong to other requests: bytes that came at different times were put
// back behind later ones when the connection stalled again.
TEST_CASE("requests that come apart while they wait keep their order") {
    pipelined_connection client({.pipelining = {.max_concurrent = 1}});
    client.send(get("/0"));
    REQUIRE(client.until_started(1));
    paths expected{"/0"};
    for (int i = 1; i < 6; ++i) {
        expected.push_back("/" + std::to_string(i));
        client.send(get(expected.back()));
        client.step(); // longer than bytes are taken to have come together
    }
    for (std::size_t i = 0; i < expected.size(); ++i) {
        REQUIRE(client.until_started(i + 1));
        REQUIRE(client.started()[i] == expected[i]);
        client.answer("/" + std::to_string(i), "<" + std::to_string(i) + ">");
    }
    REQUIRE(client.until([&] { return count_of(client.received(), "HTTP/1.1 200") == 6; }));
    CHECK(client.started() == expected);
}

// Guards against a node that reads 64 KB more of a caller's requests with each one that it answers.
TEST_CASE("a caller whose requests are answered one by one is still held back") {
    const std::string more(1000, 'x');
    std::string many;
    for (int i = 0; i < 10000; ++i) {
        many += get("/" + std::to_string(i), "More: " + more + "\r\n");
    }
    pipelined_connection client({.pipelining = {.max_concurrent = 1}});
    client.send_all_in_background(many);
    client.step();
    const std::uint64_t before = byte_stream::thread_traffic().read;
    for (int i = 0; i < 20; ++i) {
        REQUIRE(client.until_started(static_cast<std::size_t>(i) + 1));
        client.answer("/" + std::to_string(i), "x");
        client.step();
    }
    CHECK(byte_stream::thread_traffic().read - before <= 4 * (64U << 10U));
}

// Guards against the use of a connection that a handler has ended from within a callback.
TEST_CASE("a handler may end its connection when it is told that its answer is in front") {
    pipelined_connection client;
    client.on_drained([&](const std::string &path) { client[path].abort(); });
    client.send(get("/a") + get("/b"));
    REQUIRE(client.until_started(2));
    client["/b"].send_head({.status = 200, .framing = body_framing::length, .content_length = 100});
    client.answer("/a", "a");
    CHECK(client.until([&] { return client.ended(); }));
    CHECK(client.server().connections() == 0);
    CHECK(client.server().held_answer_bytes() == 0);
}

// Guards against the use of a connection that a handler has ended from within a callback.
TEST_CASE("a handler may end its connection when its request turns out to be none") {
    pipelined_connection client;
    client.on_gone([&](const std::string &path) { client[path].abort(); });
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n");
    CHECK(client.until([&] { return client.ended(); }));
    CHECK(client.server().connections() == 0);
}

// Guards against a request that is handled although its server has said that it takes none.
TEST_CASE("a request behind an answer that had begun is refused with all further ones") {
    pipelined_connection client;
    client.on_started([](http_exchange &exchange) {
        exchange.send_head({.status = 200, .framing = body_framing::length, .content_length = 0});
    });
    client.on_whole([](http_exchange &exchange) { exchange.finish(); });
    const std::string first = post("/a", "body");
    client.send(first.substr(0, first.size() - 1));
    REQUIRE(client.until_started(1));
    client.server().refuse_further(503, {});
    client.send(first.substr(first.size() - 1) + post("/b", "body"));
    REQUIRE(client.until([&] { return client.ended(); }));
    CHECK(client.started() == paths{"/a"});
    CHECK(count_of(client.received(), "HTTP/1.1 200") == 1);
    CHECK(count_of(client.received(), "HTTP/1.1 503") == 1);
}

// Guards against the loss of a request that was read, without a word whether it was handled.
TEST_CASE("a connection with a request that waits for its turn is not idle") {
    pipelined_connection client({.pipelining = {.max_concurrent = 1}});
    client.send(get("/a"));
    REQUIRE(client.until_started(1));
    client.send(post("/write", "w"));
    client.step();
    client.answer("/a", "a"); // the next request is started from the event loop
    client.server().stop_accepting();
    CHECK(client.until_started(2));
    CHECK(client.server().connections() == 1);
}

// Guards against a second answer in the place of the next request's.
TEST_CASE("an answer that is whole can't be given up or given again") {
    pipelined_connection client;
    client.send(get("/a") + get("/b"));
    REQUIRE(client.until_started(2));
    client.answer("/b", "b");
    client["/b"].abort();
    client["/b"].respond(500, {}, {});
    client.answer("/a", "a");
    REQUIRE(client.until([&] { return count_of(client.received(), "HTTP/1.1 200") == 2; }));
    CHECK(count_of(client.received(), "HTTP/1.1") == 2);
}

// Guards against memory that grows with the answers that a caller does not read.
TEST_CASE("no further request is read from a caller that does not read its answers") {
    pipelined_connection client;
    client.send(get("/a"));
    REQUIRE(client.until_started(1));
    client.pause_reading(true);
    client.answer("/a", std::string(24U << 20U, 'x')); // more than the system buffers
    client.send(get("/b"));
    client.step();
    CHECK(client.started() == paths{"/a"});
    client.pause_reading(false);
    REQUIRE(client.until_started(2));
    client.answer("/b", "the end");
    CHECK(client.until([&] { return client.received().ends_with("the end"); }));
}

// Guards against work that goes on for nobody, for a request that begins as its connection ends.
TEST_CASE("a handler whose making ends the connection is told so") {
    pipelined_connection client;
    client.on_started([&](http_exchange &exchange) {
        if (exchange.request().target == "/b") {
            client["/a"].abort();
        }
    });
    client.send(get("/a") + get("/b"));
    REQUIRE(client.until([&] { return client.ended(); }));
    CHECK(client.gone() == paths{"/b"}); // /a gave up by itself
    CHECK(client.server().connections() == 0);
}
