#pragma once

#include "peppertack/transport/http/http_head.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace peppertack {

/// Takes what a reader finds in the bytes, in order: one head, pieces of the body, the end.
class http_message_sink {
public:
    virtual ~http_message_sink() = default;
    virtual void on_head(http_head head) = 0;
    virtual void on_body(std::string_view piece) = 0;
    virtual void on_message_end() = 0;
};

/// Reads HTTP/1.1 messages from a connection, one at a time. Strict: whatever two parties could
/// frame differently (two lengths, a length with chunks, folded lines, bare line feeds) is refused,
/// since that is how one request is smuggled inside another. So are responses whose status is not
/// one of HTTP (100 to 599), or 101, and names of fields that are no tokens. Not thread safe.
class http_reader {
public:
    enum class kind : std::uint8_t { requests, responses };
    enum class state : std::uint8_t {
        more,    ///< the message goes on
        ended,   ///< the message is whole; bytes that came after it are left unread
        paused,  ///< `pause` was called; the next `take` goes on
        refused, ///< the bytes are no message; `refusal_status` and `reason` say why
    };
    struct limits {
        std::size_t header_bytes = 16U << 10U;
        std::uint64_t body_bytes = 64U << 20U;

        friend bool operator==(const limits &, const limits &) = default;
    };

    http_reader(kind what, limits bounds);
    ~http_reader();

    /// Goes on to the next message, as `next`, under these limits.
    void next_under(limits bounds) {
        m_limits = bounds;
        next();
    }
    /// Takes bytes that came; keeps those that it can't use yet.
    state take(std::string_view bytes, http_message_sink &sink);
    /// Leaves what follows the head unread until `take` is called again. Only within `on_head`.
    void pause() { m_paused = true; }
    /// Goes on to the next message, which may be in the bytes kept.
    void next();
    /// The connection has ended. `ended` if that completes the message.
    state take_end(http_message_sink &sink);
    /// The next response answers a HEAD request: it has no body whatever its head says.
    void expect_no_body();

    const limits &bounds() const { return m_limits; }
    bool in_message() const; ///< some bytes of the message have come
    bool head_done() const;  ///< the head was reported
    bool has_unread() const { return !m_kept.empty(); }
    /// Bytes of memory that are used for bytes kept.
    std::size_t memory() const { return m_kept.capacity(); }
    int refusal_status() const { return m_refusal_status; }
    const std::string &reason() const { return m_reason; }

private:
    class request_parser;
    class response_parser;
    template <bool IsRequest> class parser;

    state refuse(int status, std::string why);
    state read(http_message_sink &sink);
    template <class Parser> state run(Parser &parser, http_message_sink &sink);
    bool head_is_plain(std::string_view head);

    kind m_kind;
    limits m_limits;
    std::unique_ptr<parser<true>> m_request;
    std::unique_ptr<parser<false>> m_response;
    std::string m_kept;
    bool m_head_whole = false; ///< the blank line has come and the head was looked over
    bool m_no_body = false;
    bool m_paused = false;
    int m_refusal_status = 0;
    std::string m_reason;
};

} // namespace peppertack
