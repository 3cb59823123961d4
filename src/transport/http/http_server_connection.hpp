#pragma once

#include "peppertack/transport/http/byte_stream.hpp"
#include "peppertack/transport/http/http_reader.hpp"
#include "peppertack/transport/http/http_server.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

/// A caller's connection: reads its requests, and sends their answers in the same order. Which
/// requests are in progress at the same time is decided by the server's `pipelining_policy`. Not
/// thread safe; belongs to its server's thread.
class http_server_connection : public byte_stream::listener,
                               private http_message_sink,
                               public std::enable_shared_from_this<http_server_connection> {
public:
    http_server_connection(http_server &server, asio::ip::tcp::socket socket);
    ~http_server_connection() override;

    void start() { m_stream->start(); }
    const asio::ip::address &peer() const { return m_peer; }
    bool closed() const { return m_stream->closed(); }
    std::size_t queued() const { return m_stream->queued(); }
    /// Whether a request is in progress.
    bool busy() const { return !m_exchanges.empty(); }
    /// Whether no request is in progress, waits for its turn or is partly here, and all answers are
    /// written.
    bool idle() const {
        return m_exchanges.empty() && !m_stalled && !m_reader.in_message() && queued() == 0;
    }
    /// Answers the next request, which may be on its way, and handles none. Precondition: not
    /// `busy()`.
    void answer_unread(int status, std::vector<header_field> headers);
    /// Ends what has waited longer than the limits allow.
    void check_time(instant now);
    /// Since when the caller has taken nothing of what is queued for it; nothing if none is queued.
    std::optional<instant> stuck_since() const;
    /// Ends the connection once the answers that are queued have been written. Requests in progress
    /// are told that their caller has gone.
    void end_after_writes(connection_end cause);
    /// Ends the connection at once. Requests in progress are told that their caller has gone.
    void end_now(connection_end cause);
    /// Reads what the system holds and ends the connection if it is `idle()` then.
    void end_if_idle(connection_end cause);
    /// The server is going: nothing is handled or told any more.
    void release();

    // ---- for the exchanges ----
    held_answer_budget &held_answers();
    const std::shared_ptr<byte_budget> &budget() const;
    /// Bytes that may wait for the caller to read them before their source is paused.
    std::size_t queue_limit(std::size_t usual) const;
    void write(std::string_view bytes) { m_stream->write(bytes); }
    bool in_front(const http_exchange &exchange) const;
    /// Whether requests behind it are in progress.
    bool has_behind(const http_exchange &exchange) const;
    /// Whether the answer of this exchange is the last on the connection.
    bool ends_with(const http_exchange &exchange) const;
    /// The answer of this exchange is whole.
    void answered(const http_exchange &exchange);
    void pause_body(const http_exchange &exchange, bool pause);

private:
    void on_bytes(std::string_view bytes) override;
    void on_drained() override;
    void on_closed(bool in_order) override;
    void on_head(http_head head) override;
    void on_body(std::string_view piece) override;
    void on_message_end() override;

    // A request goes through `read` (bytes to the reader), `on_head` (start it or let it wait),
    // `begin` and `settle` (its answer is whole and in front). Where a request may not be read yet,
    // reading stalls: bytes wait in `m_waiting`, a head that was read in `m_held_request`, until
    // `settle` or `on_drained` has `resume` called from the event loop.

    /// The exchange whose request is not whole yet; null if there is none.
    http_exchange *receiving() const;
    pipelining_policy::connection_state state() const;
    bool may_read() const;
    bool may_resume() const;
    void begin(http_head head, http_exchange::origin from);
    void read(std::string_view bytes);
    void hold_back(std::string_view bytes, instant now);
    void put_back(std::string_view bytes);
    void update_reading();
    void charge_unhandled();
    void resume();
    void schedule_resume();
    void refuse(int status, const std::string &reason);
    bool beyond_unknown_limits(int status) const;
    void settle();
    void bring_forward(http_exchange &exchange);
    void note_end(connection_end cause);
    void cancel_exchanges();
    void drop();

    /// Bytes that came while no request was read.
    struct held_bytes {
        std::string bytes;
        instant at{};
    };
    /// A request that waits until all before it are answered.
    struct held_request {
        http_head head;
        http_exchange::origin from;
    };

    http_server *m_server; ///< null once the connection is over
    std::shared_ptr<byte_stream> m_stream;
    asio::ip::address m_peer;
    http_reader m_reader;
    std::deque<std::shared_ptr<http_exchange>> m_exchanges; ///< in progress, in their order
    std::optional<held_request> m_held_request;
    std::deque<held_bytes> m_waiting;
    std::size_t m_waiting_bytes = 0;
    byte_budget::charge m_charge; ///< for what has come and is not handled yet
    bool m_stalled = false;       ///< what comes in is held back
    bool m_reading = false;       ///< within `read`
    bool m_resume_posted = false; ///< `resume` follows from the event loop
    bool m_body_paused = false;   ///< by the handler of the request that is coming
    bool m_input_refused = false; ///< after bytes that are no request
    instant m_since{};            ///< idle, or waiting for the rest of a head, since then
    std::uint64_t m_taken = 0;    ///< bytes written until the last look at the time
    instant m_taken_at{};         ///< when that last grew, or nothing was queued
    instant m_read_at{};          ///< when the bytes that are being read came
};

} // namespace peppertack
