#pragma once

#include "peppertack/state/time.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <string>

namespace peppertack::testing {

/// Stands between two processes on loopback and misbehaves as a network does. Not thread safe;
/// belongs to one loop.
class fault_proxy {
public:
    enum class fault : std::uint8_t {
        none,
        delay,        ///< each piece comes later
        to_server,    ///< nothing more reaches the server; what it says still comes through
        to_client,    ///< the other way round
        silent,       ///< nothing passes either way, and nothing ends
        silent_opened ///< the same for connections that are open now; new ones work
    };

    /// Takes connections at `address` and makes one to `server` for each.
    fault_proxy(asio::io_context &io, const std::string &address, std::string server);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    /// Connections that were silenced while open stay so: nothing will ever pass on them again.
    void set_fault(fault kind) {
        m_fault = kind;
        mark_opened();
    }
    /// Resets every connection.
    void reset_all();
    /// Takes no connections any more, as the address of a process that has ended, or does again.
    void refuse(bool refuses);

private:
    class link;
    void accept();
    void mark_opened();

    asio::io_context &m_io;
    std::string m_address;
    std::string m_server;
    asio::ip::tcp::acceptor m_acceptor;
    fault m_fault = fault::none;
    std::list<std::shared_ptr<link>> m_links;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peppertack::testing
