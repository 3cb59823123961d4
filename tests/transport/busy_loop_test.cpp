#include "local_cluster.hpp"
#include "peppertack/transport/http/http_server.hpp"
#include "peppertack/transport/http/whole_request.hpp"
#include "peppertack/transport/read_delay_probe.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

/// Work that is always due, as on a busy thread; counts the turns of the event loop.
class turn_counter {
public:
    explicit turn_counter(asio::io_context &io) : m_io(io) { again(); }
    int turns() const { return m_turns; }

private:
    void again() {
        asio::post(m_io, [this] {
            ++m_turns;
            again();
        });
    }

    asio::io_context &m_io;
    int m_turns = 0;
};

void run_until(asio::io_context &io, const std::function<bool()> &condition) {
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!condition() && std::chrono::steady_clock::now() < limit) {
        io.run_one();
    }
    REQUIRE(condition());
}

} // namespace

// Guards against callers who wait until they give up because one connection is accepted in each
// turn of a busy event loop.
TEST_CASE("connections that wait are accepted many at a time") {
    constexpr std::size_t callers = 200;
    asio::io_context io(1);
    const std::string address = "127.0.0.1:" + std::to_string(free_port());
    http_server server(io, {.address = address},
                       whole_request::factory([](const auto &, const std::string &) {}));
    std::string reason;
    REQUIRE_MESSAGE(server.start(reason), reason);
    std::vector<asio::ip::tcp::socket> waiting;
    for (std::size_t i = 0; i < callers; ++i) {
        waiting.emplace_back(io).connect(endpoint_from(address));
    }
    const turn_counter busy(io);
    run_until(io, [&] { return server.open_streams() == callers; });
    CHECK(busy.turns() < static_cast<int>(callers) / 4);
}

// Guards against a measure that misses what callers wait, as timers do, which run ahead of reads.
TEST_CASE("a probe of the read delay takes its turn behind connections that were readable before") {
    constexpr std::size_t count = 500;
    asio::io_context io(1);
    std::size_t read = 0;
    std::vector<std::unique_ptr<asio::posix::stream_descriptor>> readers;
    std::vector<int> writers;
    for (std::size_t i = 0; i < count; ++i) {
        int ends[2];
        REQUIRE(::pipe(ends) == 0);
        readers.push_back(std::make_unique<asio::posix::stream_descriptor>(io, ends[0]));
        readers.back()->async_wait(asio::posix::stream_descriptor::wait_read,
                                   [&read](asio::error_code) { ++read; });
        writers.push_back(ends[1]);
    }
    std::optional<std::size_t> read_before;
    read_delay_probe probe(io, [&](duration delay, instant) {
        CHECK(delay >= duration{});
        read_before = read;
    });
    std::string reason;
    REQUIRE_MESSAGE(probe.start(reason), reason);
    for (const int writer : writers) {
        REQUIRE(::write(writer, "x", 1) == 1);
    }
    probe.probe(instant(1s));
    run_until(io, [&] { return read_before.has_value(); });
    CHECK(*read_before == count);
    for (const int writer : writers) {
        ::close(writer);
    }
}
