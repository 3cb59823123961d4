#include "peppertack/transport/http/http_server.hpp"

#include "../wall_clock.hpp"
#include "peppertack/transport/json_log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr int listen_backlog = 1024;
/// Keeps the event loop responsive to connections that are open already.
constexpr int most_accepted_at_once = 64;
constexpr duration sweep_interval = std::chrono::milliseconds(500);
constexpr duration accept_pause = std::chrono::milliseconds(20);
constexpr int request_timeout = 408;
constexpr int body_too_large = 413;
constexpr int header_too_large = 431;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
/// A node that starts knows the limits in force after about a renewal and an election.
constexpr const char *limits_retry_after = "0.5";
constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
/// Requests that wait behind one that is being answered; more is held back on the connection.
constexpr std::size_t most_waiting_bytes = 64U << 10U;

} // namespace

http_server_connection::http_server_connection(http_server &server, asio::ip::tcp::socket socket)
    : m_server(&server), m_reader(http_reader::kind::requests, server.m_options.limits),
      m_since(steady_instant()) {
    asio::error_code ignored;
    m_peer = socket.remote_endpoint(ignored).address();
    set_connection_options(socket);
    m_stream = std::make_shared<byte_stream>(std::move(socket), *this);
    m_stream->watch_end();
}

http_server_connection::~http_server_connection() {
    // Unless it ends by itself, with the last answer still on its way, the stream must not call
    // back.
    m_stream->detach();
}

void http_server_connection::start() {
    m_stream->start();
}

void http_server_connection::on_bytes(std::string_view bytes) {
    const auto self = shared_from_this(); // the handler may drop the last reference
    if (m_handling && m_request_done) {
        m_waiting.append(bytes);
        if (m_waiting.size() > most_waiting_bytes) {
            m_stream->pause_reading(true);
        }
        return;
    }
    take(bytes);
}

void http_server_connection::take(std::string_view bytes) {
    if (m_server == nullptr) {
        return; // the last answer has ended the connection; nothing after it is a request
    }
    if (!m_handling && m_stream->peer_ended()) {
        // A process that was short of its processor reads requests whose callers have long gone;
        // passed on, each would cost a target its work.
        return;
    }
    if (!m_reader.in_message()) {
        m_since = steady_instant();
        // A limit that was raised since the connection was opened would else deny what is allowed.
        if (!(m_reader.bounds() == m_server->m_options.limits)) {
            m_reader.next_under(m_server->m_options.limits);
        }
    }
    m_in_take = true;
    const http_reader::state state = m_reader.take(bytes, *this);
    m_in_take = false;
    if (state == http_reader::state::refused) {
        refuse(m_reader.refusal_status(), m_reader.reason());
    } else if (m_handling && m_answer_done && m_request_done) {
        next_request();
    }
}

void http_server_connection::on_head(http_head head) {
    m_request = std::move(head);
    m_handling = true;
    m_request_done = false;
    m_answer_begun = false;
    m_answer_done = false;
    const std::string *expect = m_request.find("Expect");
    m_awaits_continue = expect != nullptr && same_header_name(*expect, "100-continue");
    if (m_awaits_continue && m_server->m_options.continue_at_once) {
        send_continue();
    }
    const auto self = shared_from_this();
    m_handler = m_server->m_make_handler(self);
    if (m_answer_done) {
        m_handler.reset(); // answered at once; handler and connection would keep each other alive
    }
}

void http_server_connection::on_body(std::string_view piece) {
    if (m_handler && !m_answer_done) {
        const auto handler = m_handler;
        handler->on_request_body(piece);
    }
}

void http_server_connection::on_message_end() {
    m_request_done = true;
    if (m_handler && !m_answer_done) {
        const auto handler = m_handler;
        handler->on_request_end();
    }
}

/// Bytes that are no request, or one beyond the limits: after them nobody knows where the next
/// begins.
void http_server_connection::refuse(int status, const std::string &reason) {
    const bool for_now = beyond_unknown_limits(status);
    if (for_now) {
        // What was handed on may have run already: nothing is promised then.
        status = m_handling ? bad_gateway : unavailable;
    }
    log_event(log_level::info, "request_refused",
              {{"status", status}, {"reason", reason}, {"peer", m_peer.to_string()}});
    const auto handler = std::exchange(m_handler, nullptr);
    m_close_after = true;
    if (!m_handling) {
        m_request = {};
    }
    if (handler) {
        handler->on_caller_gone();
    }
    if (m_answer_begun) {
        abort();
        return;
    }
    m_handling = true;
    m_request_done = true;
    std::vector<header_field> headers{{"Content-Type", "application/problem+json"}};
    if (status == unavailable) {
        headers.push_back({"Retry-After", limits_retry_after});
    }
    respond(status, std::move(headers),
            nlohmann::json{{"status", status}, {"detail", reason}}.dump(
                -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

/// By limits that may not be those in force a request that is allowed would be denied for good.
bool http_server_connection::beyond_unknown_limits(int status) const {
    const bool by_limits = status == body_too_large || status == header_too_large;
    if (!by_limits || m_server == nullptr) {
        return false;
    }
    const http_server::options &now = m_server->m_options;
    const bool replaced = !(m_reader.bounds() == now.limits); // since the request began
    return replaced || (now.limits_known && !now.limits_known());
}

void http_server_connection::send_continue() {
    m_awaits_continue = false;
    m_stream->write(go_on);
}

void http_server_connection::send_head(http_head head) {
    m_answer_begun = true;
    m_answer_framing = head.framing;
    m_close_after = m_close_after || !m_request.keep_alive || m_server == nullptr ||
                    m_server->m_draining || head.framing == body_framing::until_close;
    head.keep_alive = !m_close_after;
    m_stream->write(response_bytes(head));
}

void http_server_connection::send_body(std::string_view piece) {
    if (piece.empty()) {
        return;
    }
    if (m_answer_framing == body_framing::chunked) {
        m_stream->write(chunk_bytes(piece));
    } else {
        m_stream->write(piece);
    }
}

void http_server_connection::finish() {
    if (m_answer_done || closed()) {
        return;
    }
    if (m_answer_framing == body_framing::chunked) {
        m_stream->write(last_chunk);
    }
    m_answer_done = true;
    m_handler.reset();
    if (m_close_after) {
        end_after_writes();
        return;
    }
    m_stream->pause_reading(false);
    if (m_request_done && !m_in_take) {
        // From the event loop: the caller of this function is still at work on the request.
        asio::post(m_stream->socket().get_executor(), [self = shared_from_this()] {
            if (self->m_handling && self->m_answer_done && !self->closed()) {
                self->next_request();
            }
        });
    }
}

void http_server_connection::end_after_writes() {
    m_stream->close_after_writes();
    if (m_server != nullptr) {
        m_server->m_ending.push_back(m_stream);
    }
    drop();
}

void http_server_connection::answer_unread(int status, std::vector<header_field> headers) {
    m_handling = true;
    m_request_done = true;
    m_close_after = true;
    m_request = {};
    respond(status, std::move(headers), {});
}

void http_server_connection::next_request() {
    m_handling = false;
    m_reader.next();
    m_since = steady_instant();
    if (m_server != nullptr && m_server->m_refusal) {
        answer_unread(m_server->m_refusal->status, m_server->m_refusal->headers);
        return;
    }
    const std::string waiting = std::exchange(m_waiting, {});
    if (!waiting.empty() || m_reader.has_unread()) {
        take(waiting);
    }
}

void http_server_connection::respond(int status, std::vector<header_field> headers,
                                     std::string_view body) {
    if (closed()) {
        return;
    }
    http_head head;
    head.status = status;
    head.headers = std::move(headers);
    head.framing = body_framing::length;
    head.content_length = body.size();
    m_answer_begun = true;
    m_close_after =
        m_close_after || !m_request.keep_alive || m_server == nullptr || m_server->m_draining;
    head.keep_alive = !m_close_after;
    m_answer_framing = body_framing::length;
    std::string bytes = response_bytes(head);
    if (m_request.method != "HEAD") {
        bytes.append(body);
    }
    m_stream->write(bytes);
    finish();
}

void http_server_connection::abort() {
    m_handler.reset();
    m_answer_done = true;
    m_stream->close();
    drop();
}

void http_server_connection::on_drained() {
    if (m_handler) {
        const auto handler = m_handler;
        handler->on_caller_drained();
    }
}

void http_server_connection::on_closed(bool) {
    const auto self = shared_from_this();
    if (const auto handler = std::exchange(m_handler, nullptr)) {
        handler->on_caller_gone();
    }
    drop();
}

void http_server_connection::drop() {
    if (m_server == nullptr) {
        return;
    }
    auto &all = m_server->m_connections;
    m_server = nullptr;
    const auto place = std::find_if(all.begin(), all.end(),
                                    [this](const auto &item) { return item.get() == this; });
    if (place == all.end()) {
        return;
    }
    // Kept until the event loop is reached: this may be running inside one of its own functions.
    asio::post(m_stream->socket().get_executor(), [kept = *place] {});
    all.erase(place);
}

void http_server_connection::check_time(instant now) {
    if (m_handling) {
        return;
    }
    if (m_reader.in_message() && m_since + m_server->m_options.header_timeout < now) {
        refuse(request_timeout, "the head of the request did not come in time");
    } else if (!m_reader.in_message() && m_since + m_server->m_options.idle_timeout < now) {
        m_stream->close();
        drop();
    }
}

http_server::http_server(asio::io_context &io, options settings, handler_factory make_handler)
    : m_io(io), m_options(std::move(settings)), m_make_handler(std::move(make_handler)),
      m_acceptor(io), m_sweep(io) {}

http_server::~http_server() {
    for (const auto &connection : m_connections) {
        connection->m_server = nullptr;
        connection->m_handler.reset();
        connection->m_stream->close();
    }
}

bool http_server::start(std::string &reason) {
    const asio::ip::tcp::endpoint endpoint = endpoint_from(m_options.address);
    asio::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(listen_backlog, error);
    }
    if (!error) {
        m_acceptor.non_blocking(true, error);
    }
    if (error) {
        reason = m_options.address + ": " + error.message();
        return false;
    }
    accept();
    sweep();
    return true;
}

void http_server::accept() {
    m_acceptor.async_wait(asio::socket_base::wait_read, [this, alive = std::weak_ptr(m_alive)](
                                                            asio::error_code error) {
        // Once the listening socket is closed, `refuse_further` has taken what was waiting.
        if (error || alive.expired() || !m_acceptor.is_open()) {
            return;
        }
        accept_waiting(error);
        if (!error || error == asio::error::would_block || error == asio::error::try_again) {
            accept();
            return;
        }
        // Out of descriptors, mostly: trying at once again would only spin.
        log_event(log_level::warning, "accept_failed",
                  {{"address", m_options.address}, {"reason", error.message()}});
        auto timer = std::make_shared<asio::steady_timer>(m_io, accept_pause);
        timer->async_wait([this, timer, alive](asio::error_code stopped) {
            if (!stopped && !alive.expired() && m_acceptor.is_open()) {
                accept();
            }
        });
    });
}

/// Takes in the connections that wait, up to a bound. If a busy process took one in each turn of
/// the event loop, hundreds would wait until their callers give up.
void http_server::accept_waiting(asio::error_code &error) {
    for (int i = 0; i < most_accepted_at_once && !error; ++i) {
        asio::ip::tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        if (!error) {
            take_in(std::move(socket));
        }
    }
}

void http_server::take_in(asio::ip::tcp::socket socket) {
    if (m_connections.size() < m_options.most_connections) {
        auto connection = std::make_shared<http_server_connection>(*this, std::move(socket));
        m_connections.push_back(connection);
        connection->start();
        if (m_refusal) {
            connection->answer_unread(m_refusal->status, m_refusal->headers);
        }
    }
}

void http_server::sweep() {
    m_sweep.expires_after(sweep_interval);
    m_sweep.async_wait([this, alive = std::weak_ptr(m_alive)](asio::error_code error) {
        if (error || alive.expired()) {
            return;
        }
        const std::vector<std::shared_ptr<http_server_connection>> all(m_connections.begin(),
                                                                       m_connections.end());
        const instant now = steady_instant();
        for (const auto &connection : all) {
            connection->check_time(now);
        }
        forget_ended();
        sweep();
    });
}

void http_server::stop_accepting() {
    asio::error_code ignored;
    m_acceptor.close(ignored);
    const std::vector<std::shared_ptr<http_server_connection>> all(m_connections.begin(),
                                                                   m_connections.end());
    for (const auto &connection : all) {
        if (connection->idle()) {
            connection->m_stream->close();
            connection->drop();
        }
    }
}

void http_server::refuse_further(int status, std::vector<header_field> headers) {
    m_draining = true;
    const std::vector<std::shared_ptr<http_server_connection>> all(m_connections.begin(),
                                                                   m_connections.end());
    for (const auto &connection : all) {
        if (!connection->m_handling) {
            connection->answer_unread(status, headers);
        }
    }
    m_refusal = refusal{.status = status, .headers = std::move(headers)};
    // Connections that the kernel has accepted would be reset with the listening socket, and their
    // requests count as perhaps handled.
    asio::error_code error;
    while (!error) {
        accept_waiting(error);
    }
    m_acceptor.close(error);
}

void http_server::forget_ended() {
    std::erase_if(m_ending, [](const std::weak_ptr<byte_stream> &item) {
        const auto stream = item.lock();
        return !stream || stream->closed();
    });
}

std::size_t http_server::open_streams() {
    forget_ended();
    return m_connections.size() + m_ending.size();
}

std::size_t http_server::unsent() {
    forget_ended();
    const auto ending =
        std::count_if(m_ending.begin(), m_ending.end(), [](const std::weak_ptr<byte_stream> &item) {
            const auto stream = item.lock();
            return stream && stream->queued() != 0;
        });
    const auto others =
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &connection) { return connection->queued() != 0; });
    return static_cast<std::size_t>(ending + others);
}

void http_server::set_limits(http_reader::limits limits, duration header_timeout,
                             duration idle_timeout) {
    m_options.limits = limits;
    m_options.header_timeout = header_timeout;
    m_options.idle_timeout = idle_timeout;
}

std::size_t http_server::busy() const {
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &connection) { return connection->m_handling; }));
}

} // namespace peppertack
