#include "peppertack/transport/http/http_server.hpp"

#include "../wall_clock.hpp"
#include "http_server_connection.hpp"
#include "peppertack/transport/json_log.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peppertack {

namespace {

constexpr int listen_backlog = 1024;
/// Keeps the event loop responsive to connections that are open already.
constexpr int most_accepted_at_once = 64;
constexpr duration sweep_interval = std::chrono::milliseconds(500);
constexpr int unavailable = 503;
constexpr const char *turned_away_retry_after = "0.5";
/// For a caller to read its last answer and close, or to end a body that is passed over.
constexpr duration linger_limit = std::chrono::seconds(2);
/// Where memory is short, a caller that takes nothing for so long gives way to others.
constexpr duration stuck_limit = std::chrono::seconds(1);
constexpr duration accept_pause = std::chrono::milliseconds(20);

} // namespace

http_server::http_server(asio::io_context &io, options settings, handler_factory make_handler)
    : m_io(io), m_options(std::move(settings)), m_make_handler(std::move(make_handler)),
      m_acceptor(io), m_sweep(io), m_pipelining(m_options.pipelining),
      m_held_answers(m_options.held_answers) {}

http_server::~http_server() {
    for (const auto &connection : m_connections) {
        connection->release();
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
    const bool room = m_connections.size() < m_options.most_connections &&
                      byte_stream::thread_open() < m_options.most_streams;
    if (!room) {
        turn_away(std::move(socket));
    } else {
        auto connection = std::make_shared<http_server_connection>(*this, std::move(socket));
        m_connections.push_back(connection);
        connection->start();
        if (m_refusal) {
            connection->answer_unread(m_refusal->status, m_refusal->headers);
        }
    }
}

/// Answers before anything is read, which therefore has not run, and keeps no descriptor for it.
void http_server::turn_away(asio::ip::tcp::socket socket) {
    ++m_turned_away;
    http_head head;
    head.status = unavailable;
    if (m_options.turned_away_headers) {
        head.headers = m_options.turned_away_headers();
    }
    head.headers.push_back({"Retry-After", turned_away_retry_after});
    head.framing = body_framing::length;
    head.keep_alive = false;
    const std::string bytes = response_bytes(head);
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(bytes), ignored);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
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
        end_lingering(now);
        end_stuck(now);
        sweep();
    });
}

/// Closes what has been answered for the last time and is not closed by its caller.
void http_server::end_lingering(instant now) {
    for (ending_stream &ending : m_ending) {
        const auto stream = ending.stream.lock();
        if (!stream) {
            continue;
        }
        if (std::exchange(ending.taken, stream->taken()) != stream->taken()) {
            ending.moved = now;
        }
        const bool delivered = stream->queued() == 0 && stream->acknowledged();
        const duration allowed = delivered ? linger_limit : late_reader_limit;
        if (ending.moved + allowed < now) {
            stream->close();
        }
    }
}

/// Ends connections whose callers take nothing, those that have done so for longest first, until
/// the process holds less than it may.
void http_server::end_stuck(instant now) {
    if (!m_options.budget || !m_options.budget->full()) {
        return;
    }
    std::vector<std::pair<instant, std::shared_ptr<http_server_connection>>> stuck;
    for (const auto &connection : m_connections) {
        const auto since = connection->stuck_since();
        if (since && *since + stuck_limit < now) {
            stuck.emplace_back(*since, connection);
        }
    }
    std::sort(stuck.begin(), stuck.end());
    for (const auto &[since, connection] : stuck) {
        if (!m_options.budget->full()) {
            return;
        }
        connection->end_now(connection_end::no_memory);
    }
}

void http_server::stop_accepting() {
    close_listener();
    const std::vector<std::shared_ptr<http_server_connection>> all(m_connections.begin(),
                                                                   m_connections.end());
    for (const auto &connection : all) {
        connection->end_if_idle(connection_end::server_stopped);
    }
}

/// Takes in the connections that the system has accepted: they would be reset with the listening
/// socket, and their requests count as perhaps handled.
void http_server::close_listener() {
    asio::error_code error;
    for (int taken = 0; taken < 2 * listen_backlog && !error; taken += most_accepted_at_once) {
        accept_waiting(error);
    }
    m_acceptor.close(error);
}

void http_server::refuse_further(int status, std::vector<header_field> headers) {
    m_draining = true;
    const std::vector<std::shared_ptr<http_server_connection>> all(m_connections.begin(),
                                                                   m_connections.end());
    for (const auto &connection : all) {
        if (!connection->busy()) {
            connection->answer_unread(status, headers);
        }
    }
    m_refusal = refusal{.status = status, .headers = std::move(headers)};
    close_listener();
}

void http_server::forget_ended() {
    std::erase_if(m_ending, [](const ending_stream &item) {
        const auto stream = item.stream.lock();
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
        std::count_if(m_ending.begin(), m_ending.end(), [](const ending_stream &item) {
            const auto stream = item.stream.lock();
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
                      [](const auto &connection) { return connection->busy(); }));
}

} // namespace peppertack
