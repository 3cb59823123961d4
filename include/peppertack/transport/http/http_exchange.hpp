#pragma once

#include "peppertack/coordination/byte_budget.hpp"
#include "peppertack/coordination/pipelining.hpp"
#include "peppertack/state/time.hpp"
#include "peppertack/transport/http/http_head.hpp"

#include <asio/ip/address.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

class http_server_connection;

/// Handles one request of a caller. Made when its head has come, told of the rest.
class http_request_handler {
public:
    virtual ~http_request_handler() = default;
    virtual void on_request_body(std::string_view) {}
    virtual void on_request_end() {}
    /// The caller closed its connection before it had the whole answer, or an earlier answer on
    /// the connection has ended it: nobody wants this one any more.
    virtual void on_caller_gone() {}
    /// What was queued towards the caller has been written.
    virtual void on_caller_drained() {}
};

/// A request on a caller's connection, and its answer. Several may be in progress on a connection;
/// answers are sent in the order of the requests, and wait here for those before them. Not thread
/// safe; belongs to the thread of its server.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    struct origin {
        instant received{};    ///< when the whole head could be read
        std::size_t ahead = 0; ///< requests before it whose answers are not sent yet
        pipelining_policy::request_kind kind = pipelining_policy::request_kind::exclusive;
    };

    http_exchange(http_server_connection &connection, http_head head, origin from);

    const http_head &request() const { return m_request; }
    /// Address of the caller.
    const asio::ip::address &peer() const { return m_peer; }
    /// When the request could be read. Its turn may have come later.
    instant received() const { return m_origin.received; }
    /// Requests before it on its connection whose answers were not sent when its turn came.
    std::size_t ahead() const { return m_origin.ahead; }
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
    /// Gives up an answer that has begun. If the caller has seen a part of it, the connection ends,
    /// so that it can't be taken for whole; otherwise the caller gets a failure (502) in its place.
    /// While requests behind it are in progress, the caller sees it only when it is whole, as far
    /// as the budget for held answers goes.
    void abort();
    /// Holds back the request's body.
    void pause_body(bool pause);
    /// Whether more than `limit` bytes wait for the caller to read them, or the answer waits for
    /// those before it and as much is held as may be. An answer in front is held whole.
    bool backlogged(std::size_t limit) const;
    /// Bounds what is held of the request and its answer; null if nothing does. Precondition: not
    /// `closed()`.
    const std::shared_ptr<byte_budget> &budget() const;
    bool answer_begun() const { return m_answer_begun; }
    /// Whether no answer can be sent any more.
    bool closed() const;

private:
    friend class http_server_connection;

    void write(std::string_view bytes);
    void send_held();
    /// Whether a failure can be sent in its place if it breaks off.
    bool replaceable() const;
    void detach();

    http_server_connection *m_connection; ///< null once the connection is over
    asio::ip::address m_peer;
    http_head m_request;
    origin m_origin;
    std::shared_ptr<http_request_handler> m_handler;
    /// While others are in front of it, or behind it and in progress.
    std::optional<held_answer> m_held;
    bool m_request_done = false; ///< its body has come whole
    bool m_answer_begun = false;
    bool m_answer_done = false;
    bool m_close_after = false;
    bool m_awaits_continue = false;
    body_framing m_framing = body_framing::none; ///< of the answer
};

} // namespace peppertack
