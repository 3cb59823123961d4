#pragma once

#include "peppertack/coordination/byte_budget.hpp"
#include "peppertack/state/time.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace peppertack {

/// A TCP connection as a stream of bytes with events, on one thread. Bytes are read into a buffer
/// that all streams of the thread share, so an idle connection holds none. Not thread safe:
/// everything runs on the thread of its `io_context`.
class byte_stream : public std::enable_shared_from_this<byte_stream> {
public:
    /// Owner of a stream. A stream calls it until `close` or `on_closed`, whichever comes first.
    class listener {
    public:
        virtual ~listener() = default;
        virtual void on_bytes(std::string_view bytes) = 0;
        /// What was queued has been handed to the system.
        virtual void on_drained() {}
        /// The other side is gone. `in_order`: it ended its stream, with nothing lost on the way,
        /// whatever became of the connection afterwards.
        virtual void on_closed(bool in_order) = 0;
    };

    /// `budget`: charged for what is queued; may be null.
    byte_stream(asio::ip::tcp::socket socket, listener &owner,
                std::shared_ptr<byte_budget> budget = nullptr);

    /// Bytes that all streams of this thread have read and written.
    struct traffic {
        std::uint64_t read = 0;
        std::uint64_t written = 0;
    };
    static const traffic &thread_traffic();
    /// Streams of this thread that are not closed. Each has a descriptor.
    static std::size_t thread_open();

    ~byte_stream();
    byte_stream(const byte_stream &) = delete;
    byte_stream &operator=(const byte_stream &) = delete;

    /// Begins to read. Precondition: connected.
    void start();
    /// From now on the end of the connection is looked for behind all that is read, see
    /// `peer_ended`, which costs a system call with each event, and now and then while reading is
    /// paused.
    void watch_end() { m_watch_end = true; }
    /// Whether the other side had ended the connection when the bytes of the current event were
    /// read. `on_closed` follows.
    bool peer_ended() const { return m_peer_ended; }
    /// Whether the system holds bytes, or the end of the stream, that were not read yet.
    bool has_unread();
    /// Reads now what the system holds, up to the size of the buffer. Precondition: not paused.
    void read_now();
    /// The system's error number that ended the stream; 0 if there was none. EPIPE: the other side
    /// ended in order and reset the connection afterwards.
    int error() const { return m_error; }
    /// Bound on how long bytes that were sent may go unacknowledged, or the other side may take
    /// none. The system ends the connection then.
    void set_unacknowledged_limit(duration limit);
    /// Whether the other side has acknowledged all that was written.
    bool acknowledged() const;
    /// Stops and resumes reading; the other side is held back by its full window.
    void pause_reading(bool pause);
    /// Writes at once what the system takes and queues the rest.
    void write(std::string_view bytes);
    std::size_t queued() const { return m_out.size() - m_sent; }
    /// Bytes that the system has taken in the life of the stream. They may reach the other side
    /// even after `close`; no other bytes do.
    std::uint64_t taken() const { return m_taken; }
    /// Ends the connection; no event comes afterwards. What is queued is lost.
    void close();
    /// Closes once what is queued has been written, and the other side has had time to read it.
    void close_after_writes();
    /// The owner is going: no event comes any more. A stream that is ending goes on to its end.
    void detach();
    bool closed() const { return m_closed; }
    asio::ip::tcp::socket &socket() { return m_socket; }

private:
    void wait_readable();
    void read_some();
    void wait_writable();
    void write_some();
    bool end_is_next();
    void watch_paused();
    bool ended_behind_unread();
    void note_error(int error);
    bool ended_in_order() const;
    int pending_error();
    void lost(bool in_order);

    asio::ip::tcp::socket m_socket;
    listener *m_owner;
    std::optional<asio::steady_timer> m_pause_watch;
    byte_budget::charge m_charge;
    std::string m_out;
    std::size_t m_sent = 0; ///< bytes of `m_out` that the system has taken
    std::uint64_t m_taken = 0;
    int m_error = 0;
    bool m_waiting_read = false;
    bool m_waiting_write = false;
    bool m_paused = false;
    bool m_watch_end = false;
    bool m_watching_pause = false;
    bool m_peer_ended = false;
    bool m_closed = false;
    bool m_closing = false; ///< what comes in is dropped; closed when the other side ends
};

/// Sets what every connection of this system needs: no delay of small writes, probes while it is
/// idle, and a bound on how long sent bytes may go unacknowledged. Without the bound a connection
/// that something on the way has lost track of hangs for minutes, and only the requests on it would
/// show it. The bound also ends connections whose other side is there and reads nothing, and takes
/// the place of the number of probes. Zero: no bound.
void set_connection_options(asio::ip::tcp::socket &socket, duration unacknowledged_limit);

/// Bound for connections to servers: several round trips and one retransmission within an instance
/// group; far below the deadlines.
inline constexpr duration silent_server_limit = std::chrono::milliseconds(800);
/// For an other side that may read late, and is owed what it has asked for: more than any deadline
/// that callers tell.
inline constexpr duration late_reader_limit = std::chrono::seconds(30);

/// Endpoint of "IP:port"; a default endpoint with port 0 if the text is no such address.
asio::ip::tcp::endpoint endpoint_from(std::string_view address);

} // namespace peppertack
