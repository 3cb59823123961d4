#include "fault_proxy.hpp"

#include "peppertack/transport/http/byte_stream.hpp"

#include <asio/post.hpp>
#include <asio/write.hpp>

namespace peppertack::testing {

namespace {

/// Above what a link between two failure domains takes, below every timeout of the processes.
constexpr auto delay_time = std::chrono::milliseconds(60);
constexpr auto look_again = std::chrono::milliseconds(20);
constexpr std::size_t piece_size = 16U << 10U;

} // namespace

/// A connection of a client and the one to the server that belongs to it.
class fault_proxy::link : public std::enable_shared_from_this<fault_proxy::link> {
public:
    link(fault_proxy &proxy, asio::ip::tcp::socket client)
        : m_proxy(&proxy),
          m_alive(proxy.m_alive), m_ways{way(std::move(client), proxy.m_io), way(proxy.m_io)} {}

    void start() {
        m_ways[1].from.async_connect(endpoint_from(m_proxy->m_server),
                                     [self = shared_from_this()](asio::error_code error) {
                                         if (error) {
                                             self->end(true);
                                             return;
                                         }
                                         self->pump(0);
                                         self->pump(1);
                                     });
    }
    void silence() { m_silenced = true; }
    void end(bool reset) {
        for (way &one : m_ways) {
            asio::error_code ignored;
            if (reset) {
                one.from.set_option(asio::socket_base::linger(true, 0), ignored);
            }
            one.from.close(ignored);
            one.timer.cancel();
        }
        if (!m_alive.expired()) {
            m_proxy->m_links.remove(shared_from_this());
        }
    }

private:
    struct way {
        way(asio::ip::tcp::socket socket, asio::io_context &io)
            : from(std::move(socket)), timer(io) {}
        explicit way(asio::io_context &io) : from(io), timer(io) {}
        asio::ip::tcp::socket from;
        asio::steady_timer timer;
        std::array<char, piece_size> piece{};
    };

    bool stuck(std::size_t side) const {
        const fault kind = m_alive.expired() ? fault::none : m_proxy->m_fault;
        return m_silenced || kind == fault::silent || (kind == fault::to_server && side == 0) ||
               (kind == fault::to_client && side == 1);
    }
    void pump(std::size_t side) {
        way &one = m_ways[side];
        one.from.async_read_some(
            asio::buffer(one.piece),
            [self = shared_from_this(), side](asio::error_code error, std::size_t size) {
                self->came(side, error, size);
            });
    }
    /// Also an end or a reset is held up by a cut, as it is by a real one.
    void came(std::size_t side, asio::error_code error, std::size_t size) {
        const bool delayed = !m_alive.expired() && m_proxy->m_fault == fault::delay;
        if (stuck(side) || delayed) {
            m_ways[side].timer.expires_after(delayed ? delay_time : look_again);
            m_ways[side].timer.async_wait(
                [self = shared_from_this(), side, error, size](asio::error_code stopped) {
                    if (stopped) {
                        return;
                    }
                    if (self->stuck(side)) {
                        self->came(side, error, size);
                    } else {
                        self->pass(side, error, size);
                    }
                });
            return;
        }
        pass(side, error, size);
    }
    void pass(std::size_t side, asio::error_code error, std::size_t size) {
        if (error) {
            end(error != asio::error::eof);
            return;
        }
        asio::async_write(m_ways[1 - side].from, asio::buffer(m_ways[side].piece.data(), size),
                          [self = shared_from_this(), side](asio::error_code failed, std::size_t) {
                              if (failed) {
                                  self->end(true);
                              } else {
                                  self->pump(side);
                              }
                          });
    }

    fault_proxy *m_proxy;
    std::weak_ptr<bool> m_alive;
    std::array<way, 2> m_ways; ///< from the client, from the server
    bool m_silenced = false;
};

fault_proxy::fault_proxy(asio::io_context &io, const std::string &address, std::string server)
    : m_io(io), m_address(address), m_server(std::move(server)),
      m_acceptor(io, endpoint_from(address)) {
    accept();
}

fault_proxy::~fault_proxy() {
    reset_all();
}

void fault_proxy::accept() {
    m_acceptor.async_accept([this, alive = std::weak_ptr(m_alive)](asio::error_code error,
                                                                   asio::ip::tcp::socket socket) {
        if (error || alive.expired()) {
            return;
        }
        m_links.push_back(std::make_shared<link>(*this, std::move(socket)));
        m_links.back()->start();
        accept();
    });
}

void fault_proxy::mark_opened() {
    if (m_fault != fault::silent_opened) {
        return;
    }
    for (const auto &one : m_links) {
        one->silence();
    }
}

void fault_proxy::reset_all() {
    const std::list<std::shared_ptr<link>> all = m_links;
    for (const auto &one : all) {
        one->end(true);
    }
}

void fault_proxy::refuse(bool refuses) {
    reset_all();
    asio::error_code ignored;
    m_acceptor.close(ignored);
    if (!refuses) {
        m_acceptor = asio::ip::tcp::acceptor(m_io, endpoint_from(m_address));
        accept();
    }
}

} // namespace peppertack::testing
