#include "peppertack/transport/peer_hub.hpp"

#include "peppertack/coordination/voter_roster.hpp"
#include "peppertack/protocol/codec.hpp"
#include "peppertack/transport/json_log.hpp"

#include <array>
#include <asio.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace peppertack {

namespace {

using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

constexpr std::size_t usual_read = 4U << 10U;   ///< held by each connection; there may be thousands
constexpr std::size_t first_frame_limit = 4096; ///< before the secret was seen
constexpr auto watch_interval = std::chrono::milliseconds(50);
constexpr auto fresh_interval = std::chrono::milliseconds(50);
constexpr int listen_backlog = 4096;

std::optional<tcp::endpoint> endpoint_of(const node_address &identity) {
    const node_address address = address_of(identity);
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    asio::error_code error;
    const auto host = asio::ip::make_address(address.substr(0, colon), error);
    const int port = std::atoi(address.c_str() + colon + 1);
    if (error || port <= 0 || port > 65535) {
        return std::nullopt;
    }
    return tcp::endpoint(host, static_cast<unsigned short>(port));
}

/// Whether the other side will say something after it. Replies only end an exchange.
bool expects_answer(const message &body) {
    return !std::holds_alternative<renew_reply>(body) &&
           !std::holds_alternative<forward_reply>(body) &&
           !std::holds_alternative<fate_reply>(body) &&
           !std::holds_alternative<remember_reply>(body) &&
           !std::holds_alternative<recall_reply>(body) &&
           !std::holds_alternative<append_reply>(body) &&
           !std::holds_alternative<vote_reply>(body) && !std::holds_alternative<map_update>(body);
}

/// Takes the same time wherever the first difference is, so that a secret can't be found by trials.
bool same_secret(const std::string &a, const std::string &b) {
    unsigned char difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

} // namespace

class peer_hub::impl : public std::enable_shared_from_this<peer_hub::impl> {
public:
    explicit impl(peer_hub_options options)
        : m_options(std::move(options)), m_work(asio::make_work_guard(m_io)),
          m_strand(asio::make_strand(m_io)), m_acceptor(m_strand), m_watch(m_strand) {}

    bool listen(std::string &reason);
    void start(message_handler on_message, down_handler on_down);
    void send(const outgoing &item);
    void stop();

    peer_hub_counters counters;
    std::size_t connections() {
        const std::lock_guard lock(m_mutex);
        return m_all.size();
    }

private:
    class connection;
    using connection_ptr = std::shared_ptr<connection>;

    void accept();
    void watch();
    connection_ptr connection_to(const node_address &address, bool fresh);
    void adopt(const node_address &address, const connection_ptr &link);
    void drop(const node_address &address, const connection_ptr &link);

    peer_hub_options m_options;
    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    asio::strand<asio::io_context::executor_type> m_strand; ///< of the next two, also their end
    tcp::acceptor m_acceptor;
    asio::steady_timer m_watch;
    std::vector<std::thread> m_threads;
    message_handler m_on_message;
    down_handler m_on_down;
    std::mutex m_mutex;
    std::map<node_address, connection_ptr> m_newest;
    std::set<connection_ptr> m_all;
    bool m_stopped = false;
};

/// One TCP connection. The public functions may be called from any thread; the rest runs on its
/// strand.
class peer_hub::impl::connection : public std::enable_shared_from_this<peer_hub::impl::connection> {
public:
    connection(std::shared_ptr<impl> hub, tcp::socket socket, node_address address)
        : m_hub(std::move(hub)), m_socket(std::move(socket)), m_timer(m_socket.get_executor()),
          m_address(std::move(address)), m_opened(steady::now()) {}

    steady::time_point opened() const { return m_opened; }

    void connect() {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->connect_now(); });
    }

    void begin_inbound() {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->m_inbound = true;
            self->begin();
        });
    }

    /// Writes on the calling thread if nothing is queued: a change of thread costs more than the
    /// write. Whatever the socket does not take at once is left to the strand.
    void send(std::string frame, bool expects_answer) {
        const std::lock_guard lock(m_write_mutex);
        if (m_closed) {
            return;
        }
        if (expects_answer && !m_unanswered_since) {
            m_unanswered_since = steady::now();
        }
        if (m_open && !m_writing && m_outbox.empty()) {
            const ssize_t sent = ::send(m_socket.native_handle(), frame.data(), frame.size(),
                                        MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent > 0) {
                m_hub->counters.bytes_out += static_cast<std::uint64_t>(sent);
                frame.erase(0, static_cast<std::size_t>(sent));
            }
            if (frame.empty()) {
                return;
            }
        }
        m_queued_bytes += frame.size();
        m_outbox.push_back(std::move(frame));
        const bool overfull = m_queued_bytes > m_hub->m_options.most_queued_bytes;
        asio::post(m_socket.get_executor(), [self = shared_from_this(), overfull] {
            overfull ? self->close() : self->write();
        });
    }

    /// Pings when traffic has gone unanswered, and gives up when that does too.
    void check() {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->check_now(); });
    }

    void shut() {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
    }

private:
    void connect_now() {
        const auto endpoint = endpoint_of(m_address);
        if (!endpoint) {
            close();
            return;
        }
        if (is_closed()) {
            return;
        }
        m_timer.expires_after(m_hub->m_options.connect_timeout);
        m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
            if (!error && !self->is_open()) {
                self->close();
            }
        });
        m_socket.async_connect(*endpoint, [self = shared_from_this()](asio::error_code error) {
            if (error) {
                self->close();
                return;
            }
            self->m_timer.cancel();
            self->begin();
        });
    }

    void begin() {
        asio::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        {
            const std::lock_guard lock(m_write_mutex);
            if (m_closed) {
                return;
            }
            m_open = true;
            if (!m_inbound) {
                m_outbox.push_front(frame_of(hello{protocol_version, m_hub->m_options.self,
                                                   m_hub->m_options.secret, m_address}));
            }
        }
        write();
        read_more();
    }

    void write() {
        std::vector<asio::const_buffer> buffers;
        {
            const std::lock_guard lock(m_write_mutex);
            if (!m_open || m_closed || m_writing || m_outbox.empty()) {
                return;
            }
            m_writing = true;
            m_in_flight.swap(m_outbox);
            buffers.reserve(m_in_flight.size());
            for (const std::string &frame : m_in_flight) {
                buffers.push_back(asio::buffer(frame));
            }
        }
        asio::async_write(m_socket, buffers,
                          [self = shared_from_this()](asio::error_code error, std::size_t size) {
                              self->written(size);
                              if (error) {
                                  self->close();
                              } else {
                                  self->write();
                              }
                          });
    }

    void written(std::size_t size) {
        const std::lock_guard lock(m_write_mutex);
        m_hub->counters.bytes_out += size;
        m_queued_bytes -= std::min(size, m_queued_bytes);
        m_in_flight.clear();
        m_writing = false;
    }

    /// Takes as many frames as one read brings.
    void read_more() {
        m_socket.async_read_some(
            asio::buffer(m_input.data() + m_filled, m_input.size() - m_filled),
            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                self->m_filled += size;
                self->m_hub->counters.bytes_in += size;
                if (error || !self->take_frames()) {
                    self->close();
                } else {
                    self->read_more();
                }
            });
    }

    /// False if something came that no peer sends.
    bool take_frames() {
        note_heard();
        std::size_t at = 0;
        while (m_filled - at >= frame_header_size) {
            const frame_header header = read_frame_header(m_input.data() + at);
            if (header.size > (known() ? max_frame_size : first_frame_limit)) {
                ++m_hub->counters.bad_messages;
                return false;
            }
            const std::size_t whole = frame_header_size + header.size;
            if (m_filled - at < whole) {
                break;
            }
            const std::string_view body(m_input.data() + at + frame_header_size, header.size);
            if (!take_frame(header, body)) {
                return false;
            }
            at += whole;
        }
        m_input.erase(0, at);
        m_filled -= at;
        m_input.resize(room_for_next());
        return true;
    }

    /// Room for the frame that has begun, else for a usual read.
    std::size_t room_for_next() const {
        if (m_filled < frame_header_size) {
            return usual_read;
        }
        const std::size_t whole = frame_header_size + read_frame_header(m_input.data()).size;
        return std::max(usual_read, whole);
    }

    bool take_frame(const frame_header &header, std::string_view body) {
        if (header.what == frame_header::kind::message) {
            return take_body(body, header.packed);
        }
        if (header.what == frame_header::kind::ping && known()) {
            send(pong_frame(), false);
        }
        return true;
    }

    bool known() const { return !m_inbound || m_greeted; }

    bool take_body(std::string_view body, bool packed) {
        std::string reason;
        std::optional<decoded> value =
            packed ? decode_packed(body, reason) : decode_message(body, reason);
        if (!value) {
            ++m_hub->counters.bad_messages;
            log_event(log_level::warning, "bad_message", {{"peer", m_address}, {"reason", reason}});
            return false;
        }
        if (const hello *greeting = std::get_if<hello>(&*value)) {
            return take_hello(*greeting);
        }
        if (!known()) {
            return false;
        }
        ++m_hub->counters.messages_in;
        m_hub->m_on_message(m_address, std::move(std::get<message>(*value)));
        return true;
    }

    bool take_hello(const hello &greeting) {
        if (!m_inbound || m_greeted) {
            return false;
        }
        if (!same_secret(greeting.secret, m_hub->m_options.secret) ||
            greeting.version != protocol_version) {
            ++m_hub->counters.refused_secrets;
            log_event(log_level::warning, "peer_refused",
                      {{"peer", greeting.address}, {"version", greeting.version}});
            return false;
        }
        // The process that had this identity lost its disk, and this one has come up in its place:
        // what is meant for the other must not be taken by this one.
        // A bare address names no disk, and may be that of a relay on the way.
        const bool names_disk = greeting.to.find(identity_separator) != node_address::npos;
        if (names_disk && greeting.to != m_hub->m_options.self) {
            log_event(log_level::info, "peer_meant_another",
                      {{"peer", greeting.address}, {"meant", greeting.to}});
            return false;
        }
        m_greeted = true;
        m_address = greeting.address;
        m_hub->adopt(m_address, shared_from_this());
        return true;
    }

    bool is_open() {
        const std::lock_guard lock(m_write_mutex);
        return m_open;
    }

    bool is_closed() {
        const std::lock_guard lock(m_write_mutex);
        return m_closed;
    }

    void note_heard() {
        const std::lock_guard lock(m_write_mutex);
        m_unanswered_since.reset();
        m_ping_sent = false;
    }

    /// How long something has gone unanswered; zero if nothing is.
    steady::duration silent_for() {
        const std::lock_guard lock(m_write_mutex);
        const bool waiting = m_open && !m_closed && m_unanswered_since;
        return waiting ? steady::now() - *m_unanswered_since : steady::duration{};
    }

    void check_now() {
        const steady::duration silent = silent_for();
        if (silent > m_hub->m_options.silent_after) {
            ++m_hub->counters.silent_connections;
            log_event(log_level::warning, "connection_silent", {{"peer", m_address}});
            close();
        } else if (silent > m_hub->m_options.ping_after && !m_ping_sent) {
            m_ping_sent = true;
            send(ping_frame(), false);
        }
    }

    void close() {
        {
            // Under the lock, so that no thread writes to a number that another file has by now.
            const std::lock_guard lock(m_write_mutex);
            if (m_closed) {
                return;
            }
            m_closed = true;
            asio::error_code ignored;
            m_socket.close(ignored);
        }
        m_timer.cancel();
        m_hub->drop(m_address, shared_from_this());
    }

    std::shared_ptr<impl> m_hub;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    node_address m_address;
    steady::time_point m_opened;
    bool m_inbound = false;
    bool m_greeted = false;
    std::mutex m_write_mutex; ///< guards what follows, down to the queued frames
    bool m_open = false;
    bool m_closed = false;
    bool m_writing = false;
    bool m_ping_sent = false;
    std::optional<steady::time_point> m_unanswered_since;
    std::size_t m_queued_bytes = 0;
    std::deque<std::string> m_outbox;
    std::deque<std::string> m_in_flight;
    std::string m_input = std::string(usual_read, '\0');
    std::size_t m_filled = 0; ///< bytes of `m_input` that were read
};

bool peer_hub::impl::listen(std::string &reason) {
    const auto endpoint = endpoint_of(m_options.self);
    if (!endpoint) {
        reason = "not an address of the form IP:port: " + m_options.self;
        return false;
    }
    asio::error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        m_acceptor.bind(*endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(listen_backlog, error);
    }
    if (error) {
        reason = m_options.self + ": " + error.message();
        return false;
    }
    return true;
}

void peer_hub::impl::start(message_handler on_message, down_handler on_down) {
    m_on_message = std::move(on_message);
    m_on_down = std::move(on_down);
    accept();
    watch();
    for (unsigned int i = 0; i < m_options.threads; ++i) {
        m_threads.emplace_back([this] { m_io.run(); });
    }
}

void peer_hub::impl::accept() {
    m_acceptor.async_accept(
        asio::make_strand(m_io),
        [self = shared_from_this()](asio::error_code error, tcp::socket socket) {
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (!error) {
                auto link = std::make_shared<connection>(self, std::move(socket), "");
                {
                    const std::lock_guard lock(self->m_mutex);
                    if (self->m_stopped) {
                        return;
                    }
                    self->m_all.insert(link);
                }
                link->begin_inbound();
            }
            self->accept();
        });
}

void peer_hub::impl::watch() {
    m_watch.expires_after(watch_interval);
    m_watch.async_wait([self = shared_from_this()](asio::error_code error) {
        if (error) {
            return;
        }
        std::vector<connection_ptr> all;
        {
            const std::lock_guard lock(self->m_mutex);
            if (self->m_stopped) {
                return;
            }
            all.assign(self->m_all.begin(), self->m_all.end());
        }
        for (const connection_ptr &link : all) {
            link->check();
        }
        self->watch();
    });
}

peer_hub::impl::connection_ptr peer_hub::impl::connection_to(const node_address &address,
                                                             bool fresh) {
    connection_ptr link;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return nullptr;
        }
        connection_ptr &newest = m_newest[address];
        const bool young = newest && newest->opened() + fresh_interval > steady::now();
        if (newest && (!fresh || young)) {
            return newest;
        }
        link = std::make_shared<connection>(shared_from_this(),
                                            tcp::socket(asio::make_strand(m_io)), address);
        newest = link;
        m_all.insert(link);
    }
    link->connect();
    return link;
}

void peer_hub::impl::adopt(const node_address &address, const connection_ptr &link) {
    const std::lock_guard lock(m_mutex);
    m_newest[address] = link;
}

void peer_hub::impl::drop(const node_address &address, const connection_ptr &link) {
    bool was_newest = false;
    {
        const std::lock_guard lock(m_mutex);
        m_all.erase(link);
        const auto found = m_newest.find(address);
        was_newest = found != m_newest.end() && found->second == link;
        if (was_newest) {
            m_newest.erase(found);
        }
        if (m_stopped) {
            return;
        }
    }
    if (was_newest) {
        m_on_down(address);
    }
}

void peer_hub::impl::send(const outgoing &item) {
    if (item.to == m_options.self) {
        asio::post(m_io, [self = shared_from_this(), body = item.body]() mutable {
            self->m_on_message(self->m_options.self, std::move(body));
        });
        return;
    }
    const connection_ptr link = connection_to(item.to, item.fresh_connection);
    if (!link) {
        return;
    }
    ++counters.messages_out;
    link->send(frame_of(item.body), expects_answer(item.body));
}

void peer_hub::impl::stop() {
    std::vector<connection_ptr> all;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        m_stopped = true;
        all.assign(m_all.begin(), m_all.end());
        m_newest.clear();
    }
    asio::post(m_strand, [self = shared_from_this()] {
        asio::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_watch.cancel();
    });
    for (const connection_ptr &link : all) {
        link->shut();
    }
    m_work.reset();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

peer_hub::peer_hub(std::shared_ptr<impl> body) : m_impl(std::move(body)) {}

peer_hub::~peer_hub() {
    stop();
}

std::unique_ptr<peer_hub> peer_hub::make(peer_hub_options options, std::string &reason) {
    auto body = std::make_shared<impl>(std::move(options));
    if (!body->listen(reason)) {
        return nullptr;
    }
    return std::unique_ptr<peer_hub>(new peer_hub(std::move(body)));
}

void peer_hub::start(message_handler on_message, down_handler on_down) {
    m_impl->start(std::move(on_message), std::move(on_down));
}

void peer_hub::send(const outgoing &item) {
    m_impl->send(item);
}

void peer_hub::stop() {
    m_impl->stop();
}

const peer_hub_counters &peer_hub::counters() const {
    return m_impl->counters;
}

std::size_t peer_hub::connections() const {
    return m_impl->connections();
}

} // namespace peppertack
