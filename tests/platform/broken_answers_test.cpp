#include "cluster_checks.hpp"
#include "hostile_crowd.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t upload_size = 32U << 20U; ///< more than the system buffers on the way
constexpr std::size_t other_node = 0;
constexpr std::size_t own_node = 1; ///< beside the target

/// Long enough for an upload that nobody reads to stand still on the whole way.
constexpr duration upload_stalls = 600ms;

/// A cluster whose only target without keys answers each request with these bytes.
class broken_target_cluster {
public:
    explicit broken_target_cluster(byte_plan answer,
                                   hostile_server::ending end = hostile_server::ending::open,
                                   bool unhealthy = false)
        : m_cluster({.programs = PEPPERTACK_PROGRAMS,
                     .services = {"keyed", "plain"},
                     .link_mbps = 1000,
                     .max_body = 2 * upload_size}) {
        bring_up(m_cluster);
        const std::string instance = m_cluster.target(own_node).name();
        m_server.emplace(
            m_cluster.io(),
            hostile_server::options{
                .address = m_cluster.target(own_node).leave_address(),
                .instance = instance,
                .answer = std::move(answer),
                .end = end,
                .end_after = end == hostile_server::ending::open ? duration{} : upload_stalls,
                .unhealthy = unhealthy});
        std::string reason;
        REQUIRE_MESSAGE(m_server->start(reason), reason);
    }

    /// Waits for the answer to a request that reaches the target, and checks that none of the
    /// target's bytes pass as an answer, nor as a promise that the request did not run.
    void check_not_answered(const std::shared_ptr<caller_attempt> &attempt) {
        REQUIRE(m_cluster.run_until([&] { return attempt->status != 0; }));
        CAPTURE(attempt->status);
        CHECK((attempt->status == 502 || attempt->status == -1));
        CHECK(m_server->answers() > 0);
    }
    /// The target listens again, and requests are served.
    void check_serves_afterwards() {
        m_server.reset();
        m_cluster.target(own_node).start();
        CHECK(m_cluster.serves());
        check_all(m_cluster);
    }
    platform_cluster &operator*() { return m_cluster; }

private:
    platform_cluster m_cluster;
    std::optional<hostile_server> m_server;
};

} // namespace

TEST_CASE("an answer without a length that is reset during the upload is no success") {
    // Guards against a part of an answer that reaches the caller as all of it.
    byte_plan answer{.begin = "HTTP/1.1 200 OK\r\n\r\n", .unit = "part", .units = 1};
    SUBCASE("short") {}
    SUBCASE("longer than a node holds back") {
        answer.units = 64U << 10U;
    }
    broken_target_cluster broken(answer, hostile_server::ending::reset);
    (*broken).set_deadline(2000ms);
    for (const std::size_t node : {other_node, own_node, other_node, own_node}) {
        broken.check_not_answered((*broken).upload(node, upload_size));
    }
    broken.check_serves_afterwards();
}

TEST_CASE("an answer with a status that HTTP does not have is no answer") {
    // Guards against bytes that are no answer in the protocol and reach the caller as one.
    bool unhealthy = false;
    SUBCASE("to requests") {}
    SUBCASE("to requests and health checks") {
        unhealthy = true;
    }
    broken_target_cluster broken({.begin = "HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nno"},
                                 hostile_server::ending::open, unhealthy);
    for (const std::size_t node : {other_node, own_node}) {
        const auto begun = platform_cluster::now();
        broken.check_not_answered((*broken).send(node, false, true, 0));
        CHECK(platform_cluster::now() - begun < 1s); // of a deadline of 1.5 s
    }
    broken.check_serves_afterwards();
}

TEST_CASE("an answer with a field name that is no token is no answer") {
    // Guards against a line that is passed on though it is no field.
    std::string name;
    SUBCASE("a blank") {
        name = "Bad Name";
    }
    SUBCASE("a control byte") {
        name = "Bad\x01Name";
    }
    SUBCASE("a blank before the colon of a length") {
        name = "Content-Length ";
    }
    broken_target_cluster broken(
        {.begin = "HTTP/1.1 200 OK\r\n" + name + ": 1\r\nContent-Length: 2\r\n\r\nok"},
        hostile_server::ending::open, true);
    for (const std::size_t node : {other_node, own_node}) {
        broken.check_not_answered((*broken).send(node, false, true, 0));
    }
    broken.check_serves_afterwards();
}
