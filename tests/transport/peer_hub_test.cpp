#include "local_cluster.hpp"
#include "peppertack/transport/peer_hub.hpp"

#include <asio.hpp>
#include <atomic>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

std::string own_address() {
    return "127.0.0.1:" + std::to_string(free_port());
}

/// Passes connections on to another address; existing ones can be made to swallow everything, as a
/// device between two ends does that has lost track of them.
class relay {
public:
    explicit relay(const std::string &to) : address(own_address()), m_to(to), m_acceptor(m_io) {
        const asio::ip::tcp::endpoint here = endpoint_of(address);
        m_acceptor.open(here.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(here);
        m_acceptor.listen();
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~relay() {
        m_io.stop();
        m_thread.join();
    }
    void swallow_open_connections() { m_swallowed = m_accepted.load(); }
    int accepted() const { return m_accepted; }

    const std::string address;

private:
    struct pipe : std::enable_shared_from_this<pipe> {
        pipe(asio::io_context &io, relay &owner) : in(io), out(io), owner(owner) {}
        asio::ip::tcp::socket in;
        asio::ip::tcp::socket out;
        relay &owner;
        int number = 0;
        std::array<char, 4096> forth{};
        std::array<char, 4096> back{};

        void pass(asio::ip::tcp::socket &from, asio::ip::tcp::socket &to,
                  std::array<char, 4096> &buffer) {
            from.async_read_some(
                asio::buffer(buffer), [self = shared_from_this(), &from, &to,
                                       &buffer](asio::error_code error, std::size_t size) {
                    if (error) {
                        return;
                    }
                    if (self->number > self->owner.m_swallowed) {
                        asio::error_code ignored;
                        asio::write(to, asio::buffer(buffer.data(), size), ignored);
                    }
                    self->pass(from, to, buffer);
                });
        }
    };

    static asio::ip::tcp::endpoint endpoint_of(const std::string &text) {
        const std::size_t colon = text.rfind(':');
        return {asio::ip::make_address(text.substr(0, colon)),
                static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
    }

    void accept() {
        auto next = std::make_shared<pipe>(m_io, *this);
        m_acceptor.async_accept(next->in, [this, next](asio::error_code error) {
            if (error) {
                return;
            }
            next->number = ++m_accepted;
            next->out.connect(endpoint_of(m_to));
            next->pass(next->in, next->out, next->forth);
            next->pass(next->out, next->in, next->back);
            accept();
        });
    }

    std::string m_to;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<int> m_accepted{0};
    std::atomic<int> m_swallowed{0};
    std::thread m_thread;
};

} // namespace

TEST_CASE("an open connection goes dead without being closed") {
    // Symptom: answers stop until somebody restarts a process. Sequence: two processes talk through
    // a device that forgets their connection and drops what comes on it; new connections work.
    // Cause it guards against: waiting for an error that never comes.
    std::string reason;
    const std::string b_address = own_address();
    const std::unique_ptr<peer_hub> a =
        peer_hub::make({.self = own_address(), .secret = "shared secret"}, reason);
    const std::unique_ptr<peer_hub> b =
        peer_hub::make({.self = b_address, .secret = "shared secret"}, reason);
    REQUIRE(a);
    REQUIRE(b);
    relay between(b_address);
    std::atomic<int> answers{0};
    std::atomic<int> downs{0};
    a->start([&](const node_address &, const message &) { ++answers; },
             [&](const node_address &) { ++downs; });
    b->start(
        [&](const node_address &from, const message &body) {
            if (std::holds_alternative<fate_query>(body)) {
                b->send({from, fate_reply{std::get<fate_query>(body).id}});
            }
        },
        [](const node_address &) {});
    a->send({between.address, fate_query{{1, 1}}});
    CHECK(local_cluster::wait_until(10s, [&] { return answers == 1; }));
    between.swallow_open_connections();
    a->send({between.address, fate_query{{1, 2}}});
    CHECK(local_cluster::wait_until(10s, [&] { return downs >= 1; }));
    CHECK(a->counters().silent_connections == 1);
    CHECK(answers == 1);
    // Asked in doubt, over a new connection, while the old one would still be trusted.
    a->send({between.address, fate_query{{1, 3}}, true});
    CHECK(local_cluster::wait_until(10s, [&] { return answers == 2; }));
    CHECK(between.accepted() >= 2);
}

TEST_CASE("a hub is stopped while peers connect to it") {
    // Guards against a listener that one thread closes while another accepts again, and against a
    // stop that waits for a connection it never closes.
    for (int round = 0; round < 500; ++round) {
        std::string reason;
        const std::string address = own_address();
        const std::unique_ptr<peer_hub> hub =
            peer_hub::make({.self = address, .secret = "shared secret"}, reason);
        const std::unique_ptr<peer_hub> peer =
            peer_hub::make({.self = own_address(), .secret = "shared secret"}, reason);
        REQUIRE(hub);
        REQUIRE(peer);
        hub->start([](const node_address &, const message &) {}, [](const node_address &) {});
        peer->start([](const node_address &, const message &) {}, [](const node_address &) {});
        for (std::uint64_t i = 1; i <= 4; ++i) {
            peer->send({address, fate_query{{1, i}}, true});
        }
        hub->stop();
        peer->stop();
        CHECK(hub->connections() == 0);
        CHECK(peer->connections() == 0);
    }
}

TEST_CASE("bytes that are no message end the connection and are counted") {
    std::string reason;
    const std::string address = own_address();
    const std::unique_ptr<peer_hub> hub =
        peer_hub::make({.self = address, .secret = "shared secret"}, reason);
    REQUIRE(hub);
    hub->start([](const node_address &, const message &) {}, [](const node_address &) {});
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<unsigned short>(std::stoi(address.substr(10)))});
    const std::string noise(64, '\x7f');
    asio::write(socket, asio::buffer(noise));
    CHECK(local_cluster::wait_until(10s, [&] { return hub->counters().bad_messages == 1; }));
    CHECK(local_cluster::wait_until(10s, [&] { return hub->connections() == 0; }));
    CHECK_FALSE(peer_hub::make({.self = address, .secret = "x"}, reason));
    CHECK_FALSE(reason.empty());
}
