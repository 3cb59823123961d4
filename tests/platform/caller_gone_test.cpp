#include "cluster_checks.hpp"

#include <asio.hpp>
#include <csignal>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

/// Connections whose requests have been written, and whose answers nobody waits for.
class leaving_callers {
public:
    leaving_callers(const platform_cluster &cluster, std::size_t node, std::size_t count,
                    const std::string &host) {
        const asio::ip::tcp::endpoint place = endpoint_from(cluster.caller_address(node));
        for (std::size_t i = 0; i < count; ++i) {
            asio::ip::tcp::socket socket(m_io);
            socket.connect(place);
            asio::write(socket, asio::buffer("GET /a/x HTTP/1.1\r\nHost: " + host +
                                             "\r\nX-Request-Id: gone-" + std::to_string(i) +
                                             "\r\nX-Deadline-Ms: 5000\r\nX-Shard-Key: " +
                                             std::to_string(i * 977) + "\r\n\r\n"));
            m_sockets.push_back(std::move(socket));
        }
    }
    void leave() { m_sockets.clear(); }

private:
    asio::io_context m_io;
    std::vector<asio::ip::tcp::socket> m_sockets;
};

std::uint64_t requests(platform_cluster &cluster) {
    std::uint64_t all = 0;
    for (std::size_t place = 0; place < cluster.nodes(); ++place) {
        all += cluster.target(place).requests();
    }
    return all;
}

constexpr std::size_t callers = 20;

} // namespace

// Guards against targets that work for nobody: a node that was short of its processor read requests
// whose callers had left, and passed them on before it read that they had.
TEST_CASE("requests whose callers left before they were read reach no target") {
    for (const char *host : {"keyed-safe", "plain-safe"}) {
        CAPTURE(host);
        platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
        bring_up(cluster);
        cluster.run_for(200ms);
        cluster.signal_node(0, SIGSTOP);
        leaving_callers gone(cluster, 0, callers, host);
        cluster.run_for(50ms);
        gone.leave();
        cluster.run_for(100ms);
        const std::uint64_t before = requests(cluster);
        cluster.signal_node(0, SIGCONT);
        cluster.run_for(1s);
        CHECK(requests(cluster) == before);
        check_all(cluster);
    }
}

TEST_CASE("requests whose callers left before a hop was read reach no target") {
    platform_cluster cluster({.programs = PEPPERTACK_PROGRAMS});
    bring_up(cluster);
    cluster.run_for(200ms);
    for (const std::size_t beside_plain : {3U, 4U}) {
        cluster.signal_node(beside_plain, SIGSTOP);
    }
    leaving_callers gone(cluster, 0, callers, "plain-safe");
    cluster.run_for(100ms);
    gone.leave();
    cluster.run_for(200ms);
    const std::uint64_t before = requests(cluster);
    for (const std::size_t beside_plain : {3U, 4U}) {
        cluster.signal_node(beside_plain, SIGCONT);
    }
    cluster.run_for(1s);
    CHECK(requests(cluster) == before);
    check_all(cluster);
}
