#pragma once

#include "peppertack/state/time.hpp"
#include "peppertack/transport/http/http_reader.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace peppertack::testing {

/// What a hostile party writes: `begin`, then `units` times `unit`, then `end`.
struct byte_plan {
    std::string begin;
    std::string unit;
    std::uint64_t units = 0;
    std::string end;
    std::size_t at_once = 64U << 10U; ///< bytes that it hands to the system at most at a time

    std::uint64_t size() const { return begin.size() + unit.size() * units + end.size(); }
    /// Up to `at_once` bytes from `place` on, an offset below `size()`.
    std::string piece(std::uint64_t place) const;
};

/// Callers that mean harm: each writes what a plan says as the system takes it, and stays open
/// until the crowd goes. Not thread safe; belongs to one loop.
class hostile_crowd {
public:
    struct options {
        std::string address; ///< "IP:port"
        std::size_t connections = 0;
        std::function<byte_plan(std::size_t number)> plan; ///< of each connection
        duration writes_for = std::chrono::seconds(5);     ///< from the start; then nothing more
        bool reads = false;
        /// An answer that came whole; only if it reads.
        std::function<void(std::size_t number, const http_head &head, const std::string &body)>
            on_answer;
    };

    /// Begins to connect.
    hostile_crowd(asio::io_context &io, options settings);
    /// Closes all connections.
    ~hostile_crowd();
    hostile_crowd(const hostile_crowd &) = delete;
    hostile_crowd &operator=(const hostile_crowd &) = delete;

    /// Whether no connection will write any more: each has written all, has ended, or its time is
    /// over.
    bool done_writing() const;
    std::size_t connected() const; ///< ever
    std::size_t written() const;   ///< connections that have written all
    std::size_t ended() const;     ///< seen as ended by the other side
    std::uint64_t bytes() const;   ///< that the system has taken

private:
    class connection;

    options m_options;
    instant m_until;
    std::vector<std::shared_ptr<connection>> m_connections;
};

/// Takes the place of a server: answers calls without an X-Request-Id as a healthy server does
/// unless told otherwise, and each request with what a plan says, as soon as its head has come and
/// without reading its body. Not thread safe; belongs to one loop.
class hostile_server {
public:
    /// What becomes of the connection once the answer is written.
    enum class ending : std::uint8_t {
        open,
        closed,
        ended, ///< the sending side only
        reset,
        ended_and_reset, ///< the sending side ends in order, and a reset follows
    };
    struct options {
        std::string address;  ///< "IP:port"
        std::string instance; ///< that it tells
        byte_plan answer;
        ending end = ending::open;
        duration end_after{};   ///< from when the answer is written
        bool unhealthy = false; ///< health checks are answered as requests are
    };

    hostile_server(asio::io_context &io, options settings);
    ~hostile_server();
    hostile_server(const hostile_server &) = delete;
    hostile_server &operator=(const hostile_server &) = delete;

    /// Begins to listen; false with the reason if it can't.
    bool start(std::string &reason);
    std::size_t answers() const; ///< begun
    std::uint64_t bytes() const; ///< of answers that the system has taken

private:
    class connection;
    void accept();

    options m_options;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peppertack::testing
