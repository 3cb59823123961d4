#pragma once

#include "peppertack/state/time.hpp"
#include "peppertack/transport/http/byte_stream.hpp"
#include "peppertack/transport/http/http_reader.hpp"

#include <asio/steady_timer.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

/// Why a call ended without a whole answer. No byte of the request is sent after a failure.
enum class call_failure : std::uint8_t {
    not_connected, ///< no connection could be made: nothing was sent
    not_sent,      ///< the connection broke before the system took any byte of the request
    refused,       ///< as before, and the other side says that nobody listens there
    no_answer,     ///< something was sent, and no answer has begun
    bad_answer,    ///< the answer ended early or is none
};

/// Whether a call that failed so certainly sent nothing. Thread safe.
constexpr bool sent_nothing(call_failure why) {
    return why == call_failure::not_connected || why == call_failure::refused ||
           why == call_failure::not_sent;
}

/// Takes the answer to one call.
class http_response_handler {
public:
    virtual ~http_response_handler() = default;
    virtual void on_response_head(http_head head) = 0;
    virtual void on_response_body(std::string_view piece) = 0;
    virtual void on_response_end() = 0;
    virtual void on_call_failed(call_failure why, const std::string &reason) = 0;
    /// The other side asks for the body of a request that said it would wait for that.
    virtual void on_continue() {}
    /// What was queued towards the other side has been written.
    virtual void on_call_drained() {}
};

/// A request that is written at once.
struct whole_call {
    http_head head;
    std::string body;
};

/// Makes a request at the moment at which a connection can take it; nothing if it is not to be made
/// any more.
using call_maker = std::function<std::optional<whole_call>()>;

class http_client_pool;

/// One request on its way to a server and its answer back. Whoever wants the answer keeps it: the
/// call is cancelled when the last reference goes. Not thread safe.
class http_call : public std::enable_shared_from_this<http_call> {
public:
    /// Sends more of the request's body.
    void send_body(std::string_view piece);
    /// The request is whole. A connection whose request was not sent whole is never used again.
    void request_done();
    /// Ends the call: its connection is closed, which tells the other side to stop working.
    void cancel();
    void pause_answer(bool pause);
    std::size_t queued() const;
    /// Whether any byte of the request may have reached the other side. While it is false, `cancel`
    /// ensures that none does.
    bool sent() const;
    /// Whether the call goes over a connection that served others before.
    bool reused() const;
    /// Number of the connection of the call, unique within its pool.
    std::uint64_t connection_number() const;
    /// When the connection of the call was begun to be made. If it is refused, nobody listened at
    /// some moment after that.
    instant connection_begun() const;

private:
    friend class http_client_pool;
    class connection;
    explicit http_call(std::shared_ptr<connection> link) : m_link(std::move(link)) {}

    std::shared_ptr<connection> m_link;
};

/// Keeps connections to servers and makes calls over them, one at a time on each. An answer that
/// names another request than the one that waits is dropped, and bytes after an answer end the
/// connection. Not thread safe; belongs to one thread.
class http_client_pool {
public:
    struct options {
        duration connect_timeout = std::chrono::milliseconds(400);
        duration idle_timeout = std::chrono::seconds(8); ///< where the server names none
        /// A connection is not used in the last part of the time for which the server keeps it: it
        /// may be closing it at this moment.
        duration idle_margin = std::chrono::milliseconds(700);
        /// Header by which an answer is matched to its request. A call without it shares its
        /// connection with no other. Empty: answers are matched by their order.
        std::string id_header;
        http_reader::limits limits{.header_bytes = 32U << 10U, .body_bytes = 256U << 20U};
        /// Connections are made only while the thread has fewer streams open than this; idle ones
        /// give way first.
        std::size_t most_streams = std::numeric_limits<std::size_t>::max();
        /// Charged for what waits to be sent; null: nothing is.
        std::shared_ptr<byte_budget> budget;
    };

    http_client_pool(asio::io_context &io, options settings);
    ~http_client_pool();

    /// Begins a call with `head` to "IP:port". The handler is told of everything from the event
    /// loop, never within this call. `fresh`: over a new connection, not one that was idle.
    std::shared_ptr<http_call> start(const std::string &address, const http_head &head,
                                     std::weak_ptr<http_response_handler> handler,
                                     bool fresh = false);
    /// Begins a call whose request is made directly before it is written, on the event loop: what
    /// it says of time then holds, however long the connection took. A call that is not made in the
    /// end fails as `not_connected`. `fresh`: over a new connection, not one that was idle.
    std::shared_ptr<http_call> start_late(const std::string &address, call_maker make,
                                          std::weak_ptr<http_response_handler> handler,
                                          bool fresh = false);
    /// Connections to `address`, idle ones included.
    std::size_t connections_to(const std::string &address) const;
    /// Of these, the ones that the server has accepted and, as far as is known, not closed.
    std::size_t established_to(const std::string &address) const;
    std::size_t idle_to(const std::string &address) const;
    /// Closes the idle connections to an address whose server is gone.
    void forget(const std::string &address);
    std::uint64_t connections_made() const { return m_made; }

private:
    friend class http_call::connection;
    using connection_ptr = std::shared_ptr<http_call::connection>;

    connection_ptr take_idle(const std::string &address);
    void give_back(const connection_ptr &link);
    bool make_room();
    void sweep();

    asio::io_context &m_io;
    options m_options;
    std::map<std::string, std::vector<connection_ptr>, std::less<>>
        m_idle; ///< last used at the end
    std::map<std::string, std::size_t, std::less<>> m_open;
    std::map<std::string, std::size_t, std::less<>> m_established;
    asio::steady_timer m_sweep;
    std::uint64_t m_made = 0;
    std::size_t m_connecting = 0; ///< sockets that are no streams yet
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peppertack
