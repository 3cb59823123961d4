#include "pipelining_connection.hpp"

#include "peppertack/transport/http/byte_stream.hpp"

#include <array>

namespace peppertack::testing {

namespace {

constexpr std::size_t piece_size = 16U << 10U;

} // namespace

pipelining_connection::pipelining_connection(asio::io_context &io, const std::string &address,
                                             int window)
    : m_socket(io) {
    asio::error_code ignored;
    m_socket.open(asio::ip::tcp::v4(), ignored);
    if (window > 0) {
        m_socket.set_option(asio::socket_base::receive_buffer_size(window), ignored);
    }
    m_socket.async_connect(endpoint_from(address),
                           [this, alive = std::weak_ptr(m_alive)](asio::error_code error) {
                               if (alive.expired()) {
                                   return;
                               }
                               if (error || m_socket.non_blocking(true, error)) {
                                   end(state::ended);
                                   return;
                               }
                               m_state = state::open;
                           });
}

bool pipelining_connection::pass(std::size_t most) {
    asio::error_code error;
    if (m_state == state::open && !m_out.empty()) {
        m_out.erase(0, m_socket.write_some(asio::buffer(m_out), error)); // reading shows errors
    }
    std::array<char, piece_size> piece{};
    bool came = false;
    for (std::size_t read = 0; m_state == state::open && read < most;) {
        const std::size_t size = m_socket.read_some(asio::buffer(piece), error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            break;
        }
        if (error) {
            end(state::ended);
            break;
        }
        read += size;
        came = true;
        take({piece.data(), size});
    }
    return came;
}

void pipelining_connection::take(std::string_view bytes) {
    http_reader::state found = m_reader.take(bytes, *this);
    while (found == http_reader::state::ended) {
        if (!m_answers.back().head.keep_alive) {
            end(state::ended);
            return;
        }
        m_reader.next();
        found = m_reader.has_unread() ? m_reader.take({}, *this) : http_reader::state::more;
    }
    if (found == http_reader::state::refused) {
        end(state::garbled);
    }
}

void pipelining_connection::end(state how) {
    asio::error_code ignored;
    m_socket.close(ignored);
    m_state = how;
}

} // namespace peppertack::testing
