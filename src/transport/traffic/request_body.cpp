#include "request_body.hpp"

namespace peppertack {

request_body::request_body(http_exchange &from, std::size_t retained, std::size_t held_back)
    : m_from(&from), m_retained(retained), m_held_back(held_back),
      m_framing(from.request().framing), m_length(from.request().content_length) {}

bool request_body::take(std::string_view piece) {
    if (flows()) {
        send(piece);
    }
    if (!m_replayable) {
        return true;
    }
    m_kept.append(piece);
    if (m_kept.size() <= m_retained) {
        return false;
    }
    if (flows()) {
        m_replayable = false;
        m_kept.clear();
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
    if (m_whole) {
        end_call();
        return;
    }
    if (m_kept.size() > m_retained) {
        m_replayable = false;
        m_kept.clear();
    }
    if (m_paused && m_call->queued() <= m_held_back) {
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
    if (m_call->queued() > m_held_back && !m_paused && !m_whole) {
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
