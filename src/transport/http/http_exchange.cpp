#include "peppertack/transport/http/http_exchange.hpp"

#include "http_server_connection.hpp"

namespace peppertack {

namespace {

constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int bad_gateway = 502;

} // namespace

http_exchange::http_exchange(http_server_connection &connection, http_head head, origin from)
    : m_connection(&connection), m_peer(connection.peer()), m_request(std::move(head)),
      m_origin(from) {
    if (from.ahead > 0) {
        m_held.emplace(connection.held_answers());
    }
    const std::string *expect = m_request.find("Expect");
    m_awaits_continue = expect != nullptr && same_header_name(*expect, "100-continue");
}

bool http_exchange::closed() const {
    return m_connection == nullptr || m_connection->closed();
}

void http_exchange::write(std::string_view bytes) {
    if (m_held) {
        m_held->append(bytes);
        if (m_connection != nullptr && m_connection->in_front(*this) &&
            m_connection->held_answers().exceeded()) {
            send_held();
        }
    } else if (m_connection != nullptr) {
        m_connection->write(bytes);
    }
}

/// Precondition: it is in front.
void http_exchange::send_held() {
    const std::string bytes = m_held->take();
    m_held.reset();
    if (!bytes.empty()) {
        m_connection->write(bytes);
    }
}

bool http_exchange::replaceable() const {
    const bool large = m_origin.kind == pipelining_policy::request_kind::idempotent_large;
    return m_answer_done || (!large && (m_held || !m_answer_begun));
}

void http_exchange::send_continue() {
    m_awaits_continue = false;
    write(go_on);
}

void http_exchange::send_head(http_head head) {
    m_answer_begun = true;
    m_framing = head.framing;
    m_close_after = m_close_after || !m_request.keep_alive || m_connection == nullptr ||
                    m_connection->ends_with(*this) || head.framing == body_framing::until_close;
    head.keep_alive = !m_close_after;
    if (!m_held && m_connection != nullptr && m_connection->has_behind(*this)) {
        m_held.emplace(m_connection->held_answers());
    }
    write(response_bytes(head));
}

void http_exchange::send_body(std::string_view piece) {
    if (piece.empty()) {
        return;
    }
    if (m_framing == body_framing::chunked) {
        write(chunk_bytes(piece));
    } else {
        write(piece);
    }
}

void http_exchange::finish() {
    if (m_answer_done || closed()) {
        return;
    }
    if (m_framing == body_framing::chunked) {
        write(last_chunk);
    }
    const auto self = shared_from_this(); // handler and connection may drop the last references
    if (m_held && m_connection->in_front(*this)) {
        send_held();
    }
    m_answer_done = true;
    m_handler.reset();
    m_connection->answered(*this);
}

void http_exchange::respond(int status, std::vector<header_field> headers, std::string_view body) {
    if (m_answer_done || closed()) {
        return;
    }
    http_head head;
    head.status = status;
    head.headers = std::move(headers);
    head.framing = body_framing::length;
    head.content_length = body.size();
    m_answer_begun = true;
    m_close_after = m_close_after || !m_request.keep_alive || m_connection->ends_with(*this);
    head.keep_alive = !m_close_after;
    m_framing = body_framing::length;
    std::string bytes = response_bytes(head);
    if (m_request.method != "HEAD") {
        bytes.append(body);
    }
    write(bytes);
    finish();
}

void http_exchange::abort() {
    if (m_answer_done) {
        return;
    }
    const auto self = shared_from_this(); // as in `finish`
    m_handler.reset();
    if (closed()) {
        m_answer_done = true;
    } else if (m_held) {
        m_held->replace({});
        respond(bad_gateway, {}, {});
    } else {
        m_answer_done = true;
        // Whole answers before it may still be queued.
        m_connection->end_after_writes(connection_end::answer_cut);
    }
}

void http_exchange::pause_body(bool pause) {
    if (m_connection != nullptr) {
        m_connection->pause_body(*this, pause);
    }
}

bool http_exchange::backlogged(std::size_t limit) const {
    if (m_held) {
        return !m_connection->in_front(*this) && m_held->full();
    }
    return m_connection != nullptr && m_connection->queued() > m_connection->queue_limit(limit);
}

const std::shared_ptr<byte_budget> &http_exchange::budget() const {
    return m_connection->budget();
}

void http_exchange::detach() {
    m_connection = nullptr;
    m_held.reset();
}

} // namespace peppertack
