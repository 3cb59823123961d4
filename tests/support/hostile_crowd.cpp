#include "hostile_crowd.hpp"

#include "peppertack/transport/http/byte_stream.hpp"
#include "wall_clock.hpp"

#include <algorithm>
#include <array>
#include <asio/write.hpp>

namespace peppertack::testing {

namespace {

constexpr std::size_t read_size = 64U << 10U;

/// Writes a plan to a socket as the system takes it.
class plan_writer {
public:
    explicit plan_writer(byte_plan plan) : m_plan(std::move(plan)) {}

    bool done() const { return m_written == m_plan.size(); }
    std::uint64_t written() const { return m_written; }
    /// Writes one piece. An error other than "would block" ends the connection.
    void write_some(asio::ip::tcp::socket &socket, asio::error_code &error) {
        if (m_piece.empty()) {
            m_piece = m_plan.piece(m_written);
        }
        const std::size_t size = socket.write_some(asio::buffer(m_piece), error);
        m_piece.erase(0, size);
        m_written += size;
    }

private:
    byte_plan m_plan;
    std::string m_piece;
    std::uint64_t m_written = 0;
};

bool must_wait(const asio::error_code &error) {
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace

std::string byte_plan::piece(std::uint64_t place) const {
    std::string out;
    if (place < begin.size()) {
        out = begin.substr(place);
    }
    const std::uint64_t repeated = unit.size() * units;
    while (out.size() < at_once && place + out.size() < begin.size() + repeated) {
        const std::uint64_t inside = (place + out.size() - begin.size()) % unit.size();
        out += inside == 0 ? unit : unit.substr(inside);
    }
    const std::uint64_t behind = place + out.size();
    if (out.size() < at_once && behind < size()) {
        out += end.substr(behind - begin.size() - repeated);
    }
    out.resize(std::min(out.size(), at_once));
    return out;
}

// ---- callers ----

class hostile_crowd::connection final : public std::enable_shared_from_this<connection>,
                                        public http_message_sink {
public:
    connection(asio::io_context &io, const hostile_crowd &crowd, std::size_t number)
        : m_crowd(&crowd), m_number(number), m_socket(io), m_writer(crowd.m_options.plan(number)) {}

    void start() {
        m_socket.async_connect(endpoint_from(m_crowd->m_options.address),
                               [self = shared_from_this()](asio::error_code error) {
                                   if (self->m_crowd == nullptr) {
                                       return;
                                   }
                                   if (error || self->m_socket.non_blocking(true, error)) {
                                       self->m_ended = true;
                                       return;
                                   }
                                   self->m_connected = true;
                                   asio::error_code ignored;
                                   self->m_socket.set_option(asio::ip::tcp::no_delay(true),
                                                             ignored);
                                   self->write();
                                   self->read();
                               });
    }
    void close() {
        m_crowd = nullptr;
        asio::error_code ignored;
        m_socket.close(ignored);
    }
    bool connected() const { return m_connected; }
    bool ended() const { return m_ended; }
    bool wrote_all() const { return m_writer.done(); }
    std::uint64_t bytes() const { return m_writer.written(); }

private:
    void on_head(http_head head) override { m_head = std::move(head); }
    void on_body(std::string_view piece) override { m_body.append(piece); }
    void on_message_end() override {
        m_crowd->m_options.on_answer(m_number, m_head, m_body);
        m_body.clear();
    }

    void write() {
        if (m_writer.done()) {
            return;
        }
        m_socket.async_wait(asio::socket_base::wait_write,
                            [self = shared_from_this()](asio::error_code error) {
                                if (self->m_crowd == nullptr || self->m_ended ||
                                    steady_instant() > self->m_crowd->m_until) {
                                    return;
                                }
                                if (!error) {
                                    self->m_writer.write_some(self->m_socket, error);
                                }
                                if (error && !must_wait(error)) {
                                    self->m_ended = true;
                                    return;
                                }
                                self->write();
                            });
    }
    void read() {
        if (!m_crowd->m_options.reads) {
            return;
        }
        m_socket.async_wait(asio::socket_base::wait_read,
                            [self = shared_from_this()](asio::error_code error) {
                                if (self->m_crowd != nullptr) {
                                    self->read_some(error);
                                }
                            });
    }
    void read_some(asio::error_code error) {
        std::array<char, read_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
        const std::size_t size = error ? 0 : m_socket.read_some(asio::buffer(bytes), error);
        if (m_crowd->m_options.on_answer) {
            http_reader::state found = m_reader.take({bytes.data(), size}, *this);
            while (found == http_reader::state::ended) {
                m_reader.next();
                found = m_reader.has_unread() ? m_reader.take({}, *this) : http_reader::state::more;
            }
        }
        if (error && !must_wait(error)) {
            m_ended = true;
            return;
        }
        read();
    }

    const hostile_crowd *m_crowd; ///< nullptr once it has gone
    std::size_t m_number;
    asio::ip::tcp::socket m_socket;
    plan_writer m_writer;
    http_reader m_reader{http_reader::kind::responses, {}};
    http_head m_head;
    std::string m_body;
    bool m_connected = false;
    bool m_ended = false;
};

hostile_crowd::hostile_crowd(asio::io_context &io, options settings)
    : m_options(std::move(settings)), m_until(steady_instant() + m_options.writes_for) {
    for (std::size_t i = 0; i < m_options.connections; ++i) {
        m_connections.push_back(std::make_shared<connection>(io, *this, i));
        m_connections.back()->start();
    }
}

hostile_crowd::~hostile_crowd() {
    for (const auto &one : m_connections) {
        one->close();
    }
}

bool hostile_crowd::done_writing() const {
    return steady_instant() > m_until ||
           std::all_of(m_connections.begin(), m_connections.end(), [](const auto &one) {
               return one->ended() || (one->connected() && one->wrote_all());
           });
}

std::size_t hostile_crowd::connected() const {
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &one) { return one->connected(); }));
}

std::size_t hostile_crowd::written() const {
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &one) { return one->connected() && one->wrote_all(); }));
}

std::size_t hostile_crowd::ended() const {
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(),
                                                  [](const auto &one) { return one->ended(); }));
}

std::uint64_t hostile_crowd::bytes() const {
    std::uint64_t sum = 0;
    for (const auto &one : m_connections) {
        sum += one->bytes();
    }
    return sum;
}

// ---- servers ----

class hostile_server::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(asio::ip::tcp::socket socket, const options &settings)
        : m_socket(std::move(socket)), m_instance(settings.instance), m_end(settings.end),
          m_end_after(settings.end_after), m_end_timer(m_socket.get_executor()),
          m_unhealthy(settings.unhealthy), m_writer(settings.answer) {
        asio::error_code ignored;
        m_socket.non_blocking(true, ignored);
    }

    /// Waits for a request.
    void read() {
        m_socket.async_wait(asio::socket_base::wait_read,
                            [self = shared_from_this()](asio::error_code error) {
                                if (!error) {
                                    self->read_some();
                                }
                            });
    }
    void close() {
        asio::error_code ignored;
        m_socket.close(ignored);
    }
    bool answering() const { return m_answering; }
    std::uint64_t bytes() const { return m_writer.written(); }

private:
    void read_some() {
        std::array<char, read_size> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
        asio::error_code error;
        const std::size_t size = m_socket.read_some(asio::buffer(bytes), error);
        if (error && !must_wait(error)) {
            close();
            return;
        }
        m_in.append(bytes.data(), size);
        const std::size_t end = m_in.find("\r\n\r\n");
        if (end == std::string::npos) {
            read();
            return;
        }
        if (m_unhealthy || m_in.find("X-Request-Id:") < end) {
            m_answering = true;
            write();
            return;
        }
        m_in.erase(0, end + 4);
        asio::write(m_socket,
                    asio::buffer("HTTP/1.1 200 OK\r\nX-Instance-Id: " + m_instance +
                                 "\r\nContent-Length: 0\r\n\r\n"),
                    error);
        read();
    }
    void write() {
        if (m_writer.done()) {
            m_end_timer.expires_after(m_end_after);
            m_end_timer.async_wait([self = shared_from_this()](asio::error_code error) {
                if (!error) {
                    self->end();
                }
            });
            return;
        }
        m_socket.async_wait(asio::socket_base::wait_write,
                            [self = shared_from_this()](asio::error_code error) {
                                if (!error) {
                                    self->m_writer.write_some(self->m_socket, error);
                                }
                                if (error && !must_wait(error)) {
                                    self->close();
                                    return;
                                }
                                self->write();
                            });
    }

    void end() {
        asio::error_code ignored;
        if (m_end == ending::ended || m_end == ending::ended_and_reset) {
            m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
        if (m_end == ending::reset || m_end == ending::ended_and_reset) {
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        if (m_end != ending::open && m_end != ending::ended) {
            close();
        }
    }

    asio::ip::tcp::socket m_socket;
    std::string m_instance;
    ending m_end;
    duration m_end_after;
    asio::steady_timer m_end_timer;
    bool m_unhealthy;
    plan_writer m_writer;
    std::string m_in;
    bool m_answering = false;
};

hostile_server::hostile_server(asio::io_context &io, options settings)
    : m_options(std::move(settings)), m_acceptor(io) {}

hostile_server::~hostile_server() {
    for (const auto &one : m_connections) {
        one->close();
    }
}

bool hostile_server::start(std::string &reason) {
    const asio::ip::tcp::endpoint endpoint = endpoint_from(m_options.address);
    asio::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        reason = m_options.address + ": " + error.message();
        return false;
    }
    accept();
    return true;
}

void hostile_server::accept() {
    m_acceptor.async_accept([this, alive = std::weak_ptr(m_alive)](asio::error_code error,
                                                                   asio::ip::tcp::socket socket) {
        if (error || alive.expired()) {
            return;
        }
        m_connections.push_back(std::make_shared<connection>(std::move(socket), m_options));
        m_connections.back()->read();
        accept();
    });
}

std::size_t hostile_server::answers() const {
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &one) { return one->answering(); }));
}

std::uint64_t hostile_server::bytes() const {
    std::uint64_t sum = 0;
    for (const auto &one : m_connections) {
        sum += one->bytes();
    }
    return sum;
}

} // namespace peppertack::testing
