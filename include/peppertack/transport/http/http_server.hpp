#pragma once

#include "peppertack/state/time.hpp"
#include "peppertack/transport/http/byte_stream.hpp"
#include "peppertack/transport/http/http_reader.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

class http_server;
class http_server_connection;

/// Handles one request of a caller. Made when its head has come, told of the rest.
class http_request_handler {
public:
    virtual ~http_request_handler() = default;
    virtual void on_request_body(std::string_view) {}
    virtual void on_request_end() {}
    /// The caller closed its connection before it had the whole answer: nobody wants it any more.
    virtual void on_caller_gone() {}
    /// What was queued towards the caller has been written.
    virtual void on_caller_drained() {}
};

/// A caller's connection: requests come one at a time and are answered in that order. Pipelined
/// ones wait until the one before is answered. Not thread safe; belongs to its server's thread.
class http_server_connection : public byte_stream::listener,
                               private http_message_sink,
                               public std::enable_shared_from_this<http_server_connection> {
public:
    http_server_connection(http_server &server, asio::ip::tcp::socket socket);
    ~http_server_connection() override;

    /// Head of the present request. Valid while it is handled.
    const http_head &request() const { return m_request; }
    /// Address of the caller.
    const asio::ip::address &peer() const { return m_peer; }
    /// Whether the caller sends the body only after it was told to, by `send_continue`.
    bool awaits_continue() const { return m_awaits_continue; }
    /// Tells the caller to send the body. Precondition: `awaits_continue()`.
    void send_continue();
    /// Begins the answer. `head.framing` says how its end is told.
    void send_head(http_head head);
    void send_body(std::string_view piece);
    /// The answer is whole.
    void finish();
    /// A whole answer at once.
    void respond(int status, std::vector<header_field> headers, std::string_view body);
    /// Ends the connection without completing the answer, so that it can't be taken for whole.
    void abort();
    /// Holds back the request's body.
    void pause_body(bool pause) { m_stream->pause_reading(pause); }
    std::size_t queued() const { return m_stream->queued(); }
    bool answer_begun() const { return m_answer_begun; }
    bool closed() const { return m_stream->closed(); }

private:
    friend class http_server;

    void start();
    void on_bytes(std::string_view bytes) override;
    void on_drained() override;
    void on_closed(bool in_order) override;
    void on_head(http_head head) override;
    void on_body(std::string_view piece) override;
    void on_message_end() override;
    void take(std::string_view bytes);
    void refuse(int status, const std::string &reason);
    bool beyond_unknown_limits(int status) const;
    void next_request();
    void drop();
    /// Ends what has waited longer than the limits allow.
    void check_time(instant now);
    bool idle() const { return !m_handling && !m_reader.in_message(); }
    /// Answers the next request, which may be on its way, and handles none. Precondition: none is
    /// being handled.
    void answer_unread(int status, std::vector<header_field> headers);
    /// Ends the connection once the answer is written.
    void end_after_writes();

    http_server *m_server; ///< null once the server is gone
    std::shared_ptr<byte_stream> m_stream;
    asio::ip::address m_peer;
    http_reader m_reader;
    http_head m_request;
    std::shared_ptr<http_request_handler> m_handler;
    bool m_handling = false;    ///< a request is being handled
    bool m_request_done = true; ///< its body has come whole
    bool m_answer_begun = false;
    bool m_answer_done = false;
    bool m_close_after = false;
    bool m_in_take = false;
    bool m_awaits_continue = false;
    body_framing m_answer_framing = body_framing::none;
    std::string m_waiting; ///< bytes of requests that wait for their turn
    instant m_since{};     ///< idle, or waiting for the rest of a head, since then
};

/// Accepts callers on one address. Not thread safe; belongs to one thread.
class http_server {
public:
    struct options {
        std::string address; ///< IP:port
        http_reader::limits limits;
        duration header_timeout = std::chrono::seconds(3);
        duration idle_timeout = std::chrono::seconds(15);
        std::size_t most_connections = 3000;
        /// A caller that waits for it is told to send the body at once; otherwise the handler
        /// chooses the moment.
        bool continue_at_once = true;
        /// Whether the limits above are known to be those in force. Until then what is beyond them
        /// is refused for now (503), not for good. Empty: they always are.
        std::function<bool()> limits_known;
    };
    using handler_factory = std::function<std::shared_ptr<http_request_handler>(
        const std::shared_ptr<http_server_connection> &)>;

    http_server(asio::io_context &io, options settings, handler_factory make_handler);
    ~http_server();

    /// Listens. False, with the reason, if the address can't be had.
    bool start(std::string &reason);
    /// Answers from now on end their connections.
    void begin_drain() { m_draining = true; }
    /// Takes no more connections and ends those that are idle.
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

private:
    friend class http_server_connection;

    void accept();
    void accept_waiting(asio::error_code &error);
    void take_in(asio::ip::tcp::socket socket);
    void sweep();
    void forget_ended();

    asio::io_context &m_io;
    options m_options;
    handler_factory m_make_handler;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_sweep;
    std::list<std::shared_ptr<http_server_connection>> m_connections;
    struct refusal {
        int status = 0;
        std::vector<header_field> headers;
    };
    std::optional<refusal> m_refusal;                 ///< of all further requests
    std::vector<std::weak_ptr<byte_stream>> m_ending; ///< after their last answer
    bool m_draining = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< ends with this server
};

} // namespace peppertack
