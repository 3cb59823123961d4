#pragma once

#include "peppertack/coordination/node_core.hpp"
#include "peppertack/transport/daemon_settings.hpp"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace peppertack {

/// Runs the node part: gives it time, carries out its effects and calls the local target. Thread
/// safe.
class node_host {
public:
    using sender = std::function<void(const outgoing &)>;

    node_host(const daemon_settings &settings, sender send);
    ~node_host();
    node_host(const node_host &) = delete;
    node_host &operator=(const node_host &) = delete;

    void start();
    void stop();
    void receive(const node_address &from, const message &body);
    void peer_down(const node_address &address);

    /// Takes a caller's request to its end on the calling thread.
    caller_response run(caller_request request);
    void announce(const target_announcement &announcement, const std::string &target_address);
    void begin_stop();
    bool stopped() const;
    /// Number of the local target's registration; zero while it has none.
    target_number registration() const;
    bool lease_valid() const;

    nlohmann::json dump() const;
    node_counters counters() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peppertack
