#include "request_body.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Bodies up to this size, in bytes, are taken in whatever else a node holds: most requests that
/// change something are no larger.
constexpr std::size_t small_body = 4U << 10U;

} // namespace

request_body::request_body(http_exchange &from, std::size_t retained, std::size_t held_back)
    : m_from(&from), m_retained(retained), m_held_back(held_back),
      m_framing(from.request().framing), m_length(from.request().content_length),
      m_charge(from.budget()) {}

bool request_body::admitted() const {
    if (m_framing == body_framing::none) {
        return true;
    }
    const std::uint64_t size = m_framing == body_framing::length
                                   ? std::min<std::uint64_t>(m_length, m_retained)
                                   : m_retained;
    return size <= small_body || m_charge.admits(size);
}

bool request_body::beyond_budget() const {
    return !flows() && m_kept.size() > small_body && m_charge.full();
}

void request_body::keep(std::string_view piece) {
    m_kept.append(piece);
    m_charge.set(m_kept.capacity());
}

void request_body::drop_kept() {
    m_replayable = false;
    std::string().swap(m_kept);
    m_charge.set(0);
}

bool request_body::take(std::string_view piece) {
    if (flows()) {
        send(piece);
    }
    if (!m_replayable) {
        return true;
    }
    keep(piece);
    if (m_kept.size() <= m_retained) {
        return false;
    }
    if (flows()) {
        drop_kept();
    } else if (!m_paused) {
        m_paused = true; // until there is somewhere to send it
        m_from->pause_body(true);
    }
    return true;
}

void request_body::note_end() {
    m_whole = true;
    if (flows()) {
        end_call();
    }
}

void request_body::end_call() {
    if (m_chunked) {
        m_call->send_body(last_chunk);
    }
    m_call->request_done();
}

void request_body::frame(http_head &head) const {
    head.framing = m_framing;
    head.content_length = m_length;
    if (m_whole && m_framing == body_framing::chunked) {
        head.framing = body_framing::length;
        head.content_length = m_kept.size();
    }
}

void request_body::attach(std::shared_ptr<http_call> call, bool hold) {
    m_call = std::move(call);
    m_chunked = m_framing == body_framing::chunked && !m_whole;
    m_hold = hold;
    if (!m_hold) {
        send_kept();
    }
}

void request_body::go_ahead() {
    if (m_call && m_hold) {
        m_hold = false;
        send_kept();
    }
}

void request_body::send_kept() {
    if (!m_kept.empty()) {
        send(m_kept);
    }
    if (m_kept.size() > m_retained || m_charge.full()) {
        drop_kept(); // a second attempt is given up before another request is refused
    }
    if (m_whole) {
        end_call();
        return;
    }
    if (m_paused && m_call->queued() <= m_charge.queue_limit(m_held_back)) {
        m_paused = false;
        m_from->pause_body(false);
    }
}

void request_body::send(std::string_view piece) {
    if (m_chunked) {
        m_call->send_body(chunk_bytes(piece));
    } else {
        m_call->send_body(piece);
    }
    if (m_call->queued() > m_charge.queue_limit(m_held_back) && !m_paused && !m_whole) {
        m_paused = true;
        m_from->pause_body(true);
    }
}

void request_body::on_drained() {
    if (m_paused && flows()) {
        m_paused = false;
        m_from->pause_body(false);
    }
}

} // namespace peppertack
