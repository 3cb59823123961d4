#include "peppertack/transport/http/byte_stream.hpp"

#include "peppertack/transport/http/http_head.hpp"

#include <array>
#include <asio/ip/address.hpp>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace peppertack {

namespace {

constexpr std::size_t read_size = 64U << 10U;
/// Room for usual heads and small bodies.
constexpr std::size_t kept_capacity = 4U << 10U;
/// Idle connections are probed so that one that was lost is not first noticed by a request.
constexpr int probe_after_s = 2;
constexpr int probe_interval_s = 1;
constexpr int probes_until_lost = 2;
constexpr auto pause_watch_interval = std::chrono::milliseconds(100);

std::array<char, read_size> &shared_buffer() {
    thread_local std::array<char, read_size> buffer;
    return buffer;
}

byte_stream::traffic &traffic_of_thread() {
    thread_local byte_stream::traffic sum;
    return sum;
}

void limit_unacknowledged(int fd, duration limit) {
    const auto ms = static_cast<unsigned int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

std::size_t &open_of_thread() {
    thread_local std::size_t count = 0;
    return count;
}

/// A buffer that once held a large body would keep its memory for as long as the connection lives.
void release_if_large(std::string &buffer) {
    if (buffer.capacity() > kept_capacity) {
        std::string().swap(buffer);
    } else {
        buffer.clear();
    }
}

} // namespace

void set_connection_options(asio::ip::tcp::socket &socket, duration unacknowledged_limit) {
    const int fd = socket.native_handle();
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_s, sizeof probe_after_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof probe_interval_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes_until_lost, sizeof probes_until_lost);
    limit_unacknowledged(fd, unacknowledged_limit);
}

asio::ip::tcp::endpoint endpoint_from(std::string_view address) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    asio::error_code error;
    const auto host = asio::ip::make_address(std::string(address.substr(0, colon)), error);
    const auto port = parse_decimal(address.substr(colon + 1));
    if (error || !port || *port == 0 || *port > 65535) {
        return {};
    }
    return {host, static_cast<unsigned short>(*port)};
}

byte_stream::byte_stream(asio::ip::tcp::socket socket, listener &owner,
                         std::shared_ptr<byte_budget> budget)
    : m_socket(std::move(socket)), m_owner(&owner), m_charge(std::move(budget)) {
    ++open_of_thread();
}

byte_stream::~byte_stream() {
    if (!m_closed) {
        --open_of_thread();
    }
}

std::size_t byte_stream::thread_open() {
    return open_of_thread();
}

const byte_stream::traffic &byte_stream::thread_traffic() {
    return traffic_of_thread();
}

void byte_stream::start() {
    asio::error_code ignored;
    m_socket.non_blocking(true, ignored);
    wait_readable();
}

void byte_stream::pause_reading(bool pause) {
    m_paused = pause;
    if (!pause) {
        wait_readable();
    } else if (m_watch_end) {
        watch_paused();
    }
}

void byte_stream::watch_paused() {
    if (m_closed || m_watching_pause) {
        return;
    }
    m_watching_pause = true;
    if (!m_pause_watch) {
        m_pause_watch.emplace(m_socket.get_executor());
    }
    m_pause_watch->expires_after(pause_watch_interval);
    m_pause_watch->async_wait([self = shared_from_this()](asio::error_code error) {
        self->m_watching_pause = false;
        if (error || self->m_closed || !self->m_paused) {
            return;
        }
        if (self->ended_behind_unread()) {
            self->note_error(self->pending_error());
            self->lost(false);
        } else {
            self->watch_paused();
        }
    });
}

bool byte_stream::ended_behind_unread() {
    pollfd here{.fd = m_socket.native_handle(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&here, 1, 0) > 0 && (here.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void byte_stream::wait_readable() {
    if (m_closed || m_paused || m_waiting_read) {
        return;
    }
    m_waiting_read = true;
    m_socket.async_wait(asio::socket_base::wait_read,
                        [self = shared_from_this()](asio::error_code error) {
                            self->m_waiting_read = false;
                            if (error || self->m_closed || self->m_paused) {
                                return;
                            }
                            self->read_some();
                        });
}

void byte_stream::read_some() {
    std::array<char, read_size> &buffer = shared_buffer();
    const ssize_t size =
        ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
        traffic_of_thread().read += static_cast<std::uint64_t>(size);
        m_peer_ended = m_watch_end && end_is_next();
        if (!m_closing) {
            m_owner->on_bytes({buffer.data(), static_cast<std::size_t>(size)});
        }
        if (m_peer_ended) {
            lost(ended_in_order());
        } else {
            wait_readable();
        }
    } else if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        wait_readable();
    } else {
        note_error(size < 0 ? errno : 0);
        lost(size == 0 && ended_in_order());
    }
}

void byte_stream::read_now() {
    const auto self = shared_from_this(); // the listener may drop the last reference
    if (!m_closed) {
        read_some();
    }
}

bool byte_stream::has_unread() {
    pollfd here{.fd = m_socket.native_handle(), .events = POLLIN, .revents = 0};
    return !m_closed && ::poll(&here, 1, 0) > 0 && (here.revents & POLLIN) != 0;
}

bool byte_stream::end_is_next() {
    char next = 0;
    const ssize_t size =
        ::recv(m_socket.native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    if (size < 0 && errno != EAGAIN && errno != EINTR) {
        note_error(errno);
        return true;
    }
    return size == 0;
}

/// Keeps the first: the system tells an error once.
void byte_stream::note_error(int error) {
    m_error = m_error == 0 ? error : m_error;
}

/// The system tells an error once, to whichever call comes first: once `send` has been told of a
/// reset, `recv` returns 0 as at an end in order. EPIPE tells of a reset behind such an end.
bool byte_stream::ended_in_order() const {
    return m_error == 0 || m_error == EPIPE;
}

int byte_stream::pending_error() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

void byte_stream::set_unacknowledged_limit(duration limit) {
    limit_unacknowledged(m_socket.native_handle(), limit);
}

bool byte_stream::acknowledged() const {
    int unacknowledged = 0;
    const int fd = const_cast<asio::ip::tcp::socket &>(m_socket).native_handle();
    const bool known = ::ioctl(fd, SIOCOUTQ, &unacknowledged) == 0;
    return queued() == 0 && (!known || unacknowledged == 0);
}

void byte_stream::write(std::string_view bytes) {
    if (m_closed || m_closing) {
        return;
    }
    m_out.append(bytes);
    if (!m_waiting_write) {
        write_some();
    }
    m_charge.set(queued() == 0 ? 0 : m_out.capacity());
}

void byte_stream::write_some() {
    while (m_sent < m_out.size()) {
        const ssize_t size = ::send(m_socket.native_handle(), m_out.data() + m_sent,
                                    m_out.size() - m_sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size > 0) {
            m_sent += static_cast<std::size_t>(size);
            m_taken += static_cast<std::uint64_t>(size);
            traffic_of_thread().written += static_cast<std::uint64_t>(size);
        } else if (size < 0 && errno == EINTR) {
            continue;
        } else if (size < 0 && errno == EAGAIN) {
            wait_writable();
            return;
        } else {
            // Reported from the event loop: the owner may be in the middle of a step. What came in
            // before the loss is still read first, since it may be the answer.
            note_error(errno);
            std::string().swap(m_out);
            m_sent = 0;
            m_charge.set(0);
            asio::post(m_socket.get_executor(), [self = shared_from_this()] {
                if (!self->m_closed && self->m_paused) {
                    self->lost(false);
                }
            });
            return;
        }
    }
    m_sent = 0;
    release_if_large(m_out);
    m_charge.set(0);
}

void byte_stream::wait_writable() {
    if (m_waiting_write || m_closed) {
        return;
    }
    m_waiting_write = true;
    m_socket.async_wait(asio::socket_base::wait_write,
                        [self = shared_from_this()](asio::error_code error) {
                            self->m_waiting_write = false;
                            if (error || self->m_closed) {
                                return;
                            }
                            self->write_some();
                            if (self->m_out.empty() && !self->m_closed && !self->m_closing) {
                                self->m_owner->on_drained();
                            } else if (self->m_out.empty() && self->m_closing) {
                                self->close_after_writes();
                            }
                        });
}

void byte_stream::close() {
    if (m_closed) {
        return;
    }
    m_closed = true;
    --open_of_thread();
    if (m_pause_watch) {
        m_pause_watch->cancel();
    }
    std::string().swap(m_out);
    m_sent = 0;
    m_charge.set(0);
    asio::error_code ignored;
    m_socket.close(ignored);
}

void byte_stream::close_after_writes() {
    if (m_closed) {
        return;
    }
    m_closing = true;
    if (!m_out.empty()) {
        return;
    }
    // Closing with unread bytes resets the connection, and the last answer could be lost with it:
    // end this side only and read on until the other side ends too.
    asio::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_paused = false;
    wait_readable();
}

void byte_stream::detach() {
    if (!m_closing) {
        close();
    }
}

void byte_stream::lost(bool in_order) {
    if (m_closed) {
        return;
    }
    const bool tell = !m_closing;
    close();
    if (tell) {
        m_owner->on_closed(in_order);
    }
}

} // namespace peppertack
