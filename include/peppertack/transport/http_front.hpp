#pragma once

#include "peppertack/transport/daemon_settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace peppertack {

class control_host;
class node_host;
class peer_hub;

/// The HTTP side of a process: callers' requests, the local target's announcements, operators.
class http_front {
public:
    /// Preconditions: `node` and `hub` outlive it; `control` may be null where there is no voter.
    http_front(const daemon_settings &settings, node_host &node, control_host *control,
               const peer_hub &hub);
    ~http_front();
    http_front(const http_front &) = delete;
    http_front &operator=(const http_front &) = delete;

    /// Listens and serves on threads of its own. False, with the reason, if the address is taken.
    bool start(std::string &reason);
    /// Ends connections and joins.
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peppertack
