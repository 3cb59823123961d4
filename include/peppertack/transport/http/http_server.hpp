#pragma once

#include "peppertack/coordination/pipelining.hpp"
#include "peppertack/state/time.hpp"
#include "peppertack/transport/http/byte_stream.hpp"
#include "peppertack/transport/http/connection_end.hpp"
#include "peppertack/transport/http/http_exchange.hpp"
#include "peppertack/transport/http/http_reader.hpp"
#include "peppertack/transport/request_log.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

class http_server_connection;

/// Accepts callers on one address. Not thread safe; belongs to one thread.
class http_server {
public:
    struct options {
        std::string address; ///< IP:port
        http_reader::limits limits;
        duration header_timeout = std::chrono::seconds(3);
        duration idle_timeout = std::chrono::seconds(15);
        std::size_t most_connections = 3000;
        /// Connections are taken only while the thread has fewer streams open than this, those of
        /// other servers and of client pools included.
        std::size_t most_streams = std::numeric_limits<std::size_t>::max();
        /// Further headers of the answer to a connection that is not taken. Empty: none.
        std::function<std::vector<header_field>()> turned_away_headers;
        /// A caller that waits for it is told to send the body at once; otherwise the handler
        /// chooses the moment.
        bool continue_at_once = true;
        /// Whether the limits above are known to be those in force. Until then what is beyond them
        /// is refused for now (503), not for good. Empty: they always are.
        std::function<bool()> limits_known;
        /// What may be handled while others on the same connection are in progress, by the head of
        /// a request. Empty: one request at a time.
        std::function<pipelining_policy::request_kind(const http_head &)> kind_of;
        pipelining_policy::options pipelining;
        held_answer_budget::options held_answers;
        /// Bounds what all connections hold; null: nothing does.
        std::shared_ptr<byte_budget> budget;
    };
    using handler_factory = std::function<std::shared_ptr<http_request_handler>(
        const std::shared_ptr<http_exchange> &)>;

    http_server(asio::io_context &io, options settings, handler_factory make_handler);
    ~http_server();

    /// Listens. False, with the reason, if the address can't be had.
    bool start(std::string &reason);
    /// Answers from now on end their connections.
    void begin_drain() { m_draining = true; }
    /// Takes no more connections and ends those that are idle. Requests that the system holds, on
    /// open connections and on ones that wait to be accepted, are read first and handled.
    void stop_accepting();
    /// Takes no more connections. The next request on each of them, even if it was sent already,
    /// has this answer and is not handled. Answers that are under way are finished.
    void refuse_further(int status, std::vector<header_field> headers);
    /// In force for requests that begin from now on.
    void set_limits(http_reader::limits limits, duration header_timeout, duration idle_timeout);
    std::size_t connections() const { return m_connections.size(); }
    /// Connections on which a request is being handled.
    std::size_t busy() const;
    /// Connections that the other side has not closed, also after their last answer.
    std::size_t open_streams();
    /// Connections to which bytes are still to be written.
    std::size_t unsent();
    /// Requests that were handled while an earlier one of their connection was in progress.
    std::uint64_t overlapped() const { return m_overlapped; }
    /// Bytes charged for answers that wait for those before them.
    std::size_t held_answer_bytes() const { return m_held_answers.charged(); }
    /// Connections that were answered 503 and closed since there were too many.
    std::uint64_t turned_away() const { return m_turned_away; }
    /// Connections that have ended, by cause.
    const connection_end_counts &ends() const { return m_ends; }

private:
    friend class http_server_connection;

    void accept();
    void accept_waiting(asio::error_code &error);
    void take_in(asio::ip::tcp::socket socket);
    void turn_away(asio::ip::tcp::socket socket);
    void end_lingering(instant now);
    void close_listener();
    void sweep();
    void end_stuck(instant now);
    void forget_ended();

    asio::io_context &m_io;
    options m_options;
    handler_factory m_make_handler;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_sweep;
    pipelining_policy m_pipelining;
    held_answer_budget m_held_answers;
    std::list<std::shared_ptr<http_server_connection>> m_connections;
    struct refusal {
        int status = 0;
        std::vector<header_field> headers;
    };
    std::optional<refusal> m_refusal; ///< of all further requests
    /// A connection after its last answer, which its caller is to close.
    struct ending_stream {
        std::weak_ptr<byte_stream> stream;
        std::uint64_t taken = 0; ///< bytes, at the last look
        instant moved{};         ///< when bytes were last seen to be taken
    };
    std::vector<ending_stream> m_ending;
    std::uint64_t m_turned_away = 0;
    bool m_draining = false;
    std::uint64_t m_overlapped = 0;
    connection_end_counts m_ends;
    request_log m_end_log{{.lines_a_second = 10, .burst = 100}};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< ends with this server
};

} // namespace peppertack
