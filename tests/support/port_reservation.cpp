#include "port_reservation.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace peppertack::testing {

namespace {

void require(bool done, const char *what) {
    if (!done) {
        throw std::system_error(errno, std::generic_category(), what);
    }
}

} // namespace

port_reservation::port_reservation(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        reserve_one();
    }
}

port_reservation::port_reservation(port_reservation &&other) noexcept
    : m_sockets(std::exchange(other.m_sockets, {})), m_ports(std::exchange(other.m_ports, {})) {}

port_reservation::~port_reservation() {
    for (const int handle : m_sockets) {
        ::close(handle);
    }
}

void port_reservation::reserve_one() {
    // Not handed on to children: a process that outlives the test would keep the port.
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    require(handle >= 0, "socket");
    m_sockets.push_back(handle);
    const int on = 1;
    require(::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0, "SO_REUSEADDR");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    require(::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0, "bind");
    socklen_t size = sizeof(address);
    require(::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size) == 0,
            "getsockname");
    m_ports.push_back(ntohs(address.sin_port));
}

} // namespace peppertack::testing
