#pragma once

#include <cstddef>
#include <vector>

namespace peppertack::testing {

/// Ports of 127.0.0.1 that no other process is given while this object lives, whether or not a
/// listener of the owner's is up on them.
///
/// A port that is only looked up and closed again belongs to nobody until a listener takes it, and
/// once more while that listener's process is down. Another test program that asks the kernel for
/// ports may be given it then; the listener fails with "address already in use", its process ends,
/// and the test waits in vain. Each port is therefore held by a socket that is bound but does not
/// listen: the kernel gives it to nobody who asks for any port, connections to it are refused, and
/// whoever sets SO_REUSEADDR, as all listeners of this project do, can still listen on it.
///
/// Movable, so that it can be a member of a cluster. Not thread safe.
class port_reservation {
public:
    /// Throws std::system_error if the kernel has no port left.
    explicit port_reservation(std::size_t count);
    ~port_reservation();
    port_reservation(port_reservation &&other) noexcept;
    port_reservation &operator=(port_reservation &&) = delete;

    const std::vector<int> &ports() const { return m_ports; }

private:
    void reserve_one();

    std::vector<int> m_sockets;
    std::vector<int> m_ports;
};

} // namespace peppertack::testing
