#include "peppertack/transport/traffic/hold_call_runner.hpp"

#include <array>
#include <asio.hpp>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace peppertack;
using namespace std::chrono_literals;

namespace {

constexpr const char *answer_to_grant = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr const char *answer_to_release =
    "HTTP/1.1 200 OK\r\nHandover: h\r\nContent-Length: 0\r\n\r\n";

class test_format final : public hold_call_format {
    whole_call request(const hold_call &call, const std::string &address, duration) const override {
        whole_call result;
        result.head.method = "POST";
        result.head.target = call.what == hold_call::kind::grant ? "/grant" : "/release";
        result.head.headers = {{"Host", address}};
        result.head.framing = body_framing::length;
        return result;
    }
    hold_call_end read_answer(const hold_call &, const http_head &head) const override {
        return {.result = hold_call_end::kind::done,
                .identified = head.find("Handover") != nullptr};
    }
};

/// A target whose answers the test writes, byte by byte.
class scripted_target {
public:
    struct link {
        explicit link(asio::io_context &io) : socket(io) {}
        asio::ip::tcp::socket socket;
        std::string received;
        std::array<char, 4096> buffer{};
        bool ended = false;
    };

    explicit scripted_target(asio::io_context &io)
        : m_io(io), m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}) {
        accept();
    }
    std::string address() const {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    static void write(link &to, std::string_view bytes) {
        asio::write(to.socket, asio::buffer(bytes));
    }
    std::vector<std::shared_ptr<link>> links; ///< in the order in which they were accepted

private:
    void accept() {
        const auto next = std::make_shared<link>(m_io);
        m_acceptor.async_accept(next->socket, [this, next](asio::error_code error) {
            if (!error) {
                links.push_back(next);
                read(next);
                accept();
            }
        });
    }
    static void read(const std::shared_ptr<link> &from) {
        from->socket.async_read_some(asio::buffer(from->buffer),
                                     [from](asio::error_code error, std::size_t size) {
                                         from->received.append(from->buffer.data(), size);
                                         from->ended = bool(error);
                                         if (!error) {
                                             read(from);
                                         }
                                     });
    }

    asio::io_context &m_io;
    asio::ip::tcp::acceptor m_acceptor;
};

struct runner_fixture {
    bool run_until(const std::function<bool()> &condition) {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            io.run_one_for(10ms);
            io.restart();
        }
        return condition();
    }
    bool ended(std::uint64_t id) const { return ends.count(id) != 0; }

    asio::io_context io;
    scripted_target target{io};
    http_client_pool pool{io, {}};
    std::map<std::uint64_t, hold_call_end> ends; ///< by call
    hold_call_runner runner{
        pool,
        std::make_shared<test_format>(),
        {.write = [](std::uint64_t) { return std::optional<duration>(1s); },
         .end = [this](const hold_call &call, const hold_call_end &how) { ends[call.id] = how; },
         .refused = [](instant) {}}};
};

} // namespace

// Guards against a late second answer to a grant that is taken for the answer to a release: the
// target was still at work on the keys when they went to another (review case 1).
TEST_CASE("a repeated answer to a grant is not one to the release behind it") {
    runner_fixture one;
    one.runner.start({.id = 1, .what = hold_call::kind::grant}, one.target.address());
    REQUIRE(one.run_until(
        [&] { return one.target.links.size() == 1 && !one.target.links[0]->received.empty(); }));
    scripted_target::link &link = *one.target.links[0];
    scripted_target::write(link, answer_to_grant);
    REQUIRE(one.run_until([&] { return one.ended(1); }));
    CHECK(one.ends[1].identified); // the first of its connection
    one.runner.start({.id = 2, .what = hold_call::kind::release}, one.target.address());
    REQUIRE(one.run_until([&] { return link.received.find("/release") != std::string::npos; }));
    SUBCASE("it comes before the release is carried out") {
        scripted_target::write(link, answer_to_grant);
        REQUIRE(one.run_until([&] { return one.ended(2); }));
        CHECK(!one.ends[2].identified);
        one.runner.start({.id = 3, .what = hold_call::kind::release, .alone = true},
                         one.target.address());
        REQUIRE(one.run_until([&] { return one.target.links.size() == 2; }));
        scripted_target::write(*one.target.links[1], answer_to_grant);
        REQUIRE(one.run_until([&] { return one.ended(3); }));
        CHECK(one.ends[3].identified);
        CHECK(one.ends[3].connection != one.ends[1].connection);
    }
    SUBCASE("it does not come") {
        scripted_target::write(link, answer_to_release);
        REQUIRE(one.run_until([&] { return one.ended(2); }));
        CHECK(one.ends[2].identified);
        CHECK(one.ends[2].connection == one.ends[1].connection);
    }
    CHECK(one.run_until([&] { return link.ended; })); // a release is the last call
}

// Guards against a call that waits for the answer behind one with a status that HTTP does not have.
TEST_CASE("an answer with a status that HTTP does not have loses the call for keys at once") {
    for (const auto what : {hold_call::kind::grant, hold_call::kind::release}) {
        runner_fixture one;
        one.runner.start({.id = 1, .what = what}, one.target.address());
        REQUIRE(one.run_until([&] {
            return one.target.links.size() == 1 && !one.target.links[0]->received.empty();
        }));
        scripted_target::write(*one.target.links[0],
                               "HTTP/1.1 000 No\r\nHandover: h\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(one.run_until([&] { return one.ended(1); }));
        CHECK(one.ends[1].result == hold_call_end::kind::lost);
    }
}
