#pragma once

#include "peppertack/transport/http/http_client_pool.hpp"
#include "peppertack/transport/http/http_head.hpp"
#include "peppertack/transport/http/http_server.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace peppertack {

/// The body of a request on its way through a node. Up to a limit it is kept, so that the request
/// can be sent once more; beyond it the body streams through, held back by whichever side is
/// slower.
class request_body {
public:
    request_body(http_exchange &from, std::size_t retained, std::size_t held_back);

    /// More has come. True if there is so much that sending should begin before all is here.
    bool take(std::string_view piece);
    void note_end();
    bool whole() const { return m_whole; }
    /// Whether sending may begin: all is here, or as much as is kept.
    bool sendable() const { return m_whole || m_paused || !m_replayable; }
    /// Whether the request can be sent from its beginning.
    bool replayable() const { return m_replayable; }
    /// Sets how `head` tells the end of the body.
    void frame(http_head &head) const;
    /// Whether the body may be begun: the node has room for as much as is held of it. Small ones
    /// always may.
    bool admitted() const;
    /// Whether what has come can't be held: the node holds as much as it may, and a body that is
    /// not small waits here, unsent. Whoever has the body refuses the request then.
    bool beyond_budget() const;
    /// Bytes kept so far.
    std::size_t kept() const { return m_kept.size(); }
    /// The first bytes, as many as are kept; all of the body where `replayable()` and `whole()`.
    std::string_view prefix() const { return std::string_view(m_kept).substr(0, m_retained); }
    /// Sends what is here over a call that has just begun, and from then on whatever comes. With
    /// `hold` only once the other side has asked for it, see `go_ahead`.
    void attach(std::shared_ptr<http_call> call, bool hold = false);
    void go_ahead();
    /// Whether the call has all of a body that is not empty still ahead of it, since the other side
    /// has not asked for it. That side can't have passed the request on: a node does so only once
    /// it has some of the body.
    bool held() const { return m_call && m_hold && !m_kept.empty(); }
    void detach() {
        m_call.reset();
        m_hold = false;
    }
    /// The call has written what was queued.
    void on_drained();

private:
    void keep(std::string_view piece);
    void drop_kept();
    void send(std::string_view piece);
    void send_kept();
    void end_call();
    bool flows() const { return m_call && !m_hold; }

    http_exchange *m_from;
    std::size_t m_retained;
    std::size_t m_held_back;
    body_framing m_framing;
    std::uint64_t m_length;
    std::string m_kept;
    byte_budget::charge m_charge; ///< for that
    std::shared_ptr<http_call> m_call;
    bool m_whole = false;
    bool m_replayable = true;
    bool m_paused = false;
    bool m_hold = false;    ///< the call waits to be asked for the body
    bool m_chunked = false; ///< towards the call
};

} // namespace peppertack
