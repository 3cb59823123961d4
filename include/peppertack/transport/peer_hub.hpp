#pragma once

#include "peppertack/coordination/messages.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peppertack {

struct peer_hub_options {
    node_address self; ///< host:port; this process listens there
    std::string secret;
    unsigned int threads = 2;
    duration connect_timeout = std::chrono::milliseconds(300);
    duration ping_after = std::chrono::milliseconds(100); ///< unanswered traffic this old
    duration silent_after = std::chrono::milliseconds(400);
    std::size_t most_queued_bytes = 256U << 20U; ///< a connection beyond this is dropped
};

struct peer_hub_counters {
    std::atomic<std::uint64_t> messages_in{0};
    std::atomic<std::uint64_t> messages_out{0};
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> bytes_out{0};
    std::atomic<std::uint64_t> refused_secrets{0};
    std::atomic<std::uint64_t> bad_messages{0};
    std::atomic<std::uint64_t> silent_connections{0};
};

/// Connections between this process and its peers. A message goes over the newest connection to its
/// address, opened by either side, so that an answer takes the same way back as its question.
/// Messages can be lost with their connection; the state machines above expect that. Thread safe.
class peer_hub {
public:
    using message_handler = std::function<void(const node_address &from, message body)>;
    using down_handler = std::function<void(const node_address &address)>;

    /// Listens at once. Yields nothing, with the reason, if the address can't be had. Handlers run
    /// on the hub's threads from `start` on.
    static std::unique_ptr<peer_hub> make(peer_hub_options options, std::string &reason);
    ~peer_hub();

    void start(message_handler on_message, down_handler on_down);
    void send(const outgoing &item);
    /// Closes everything and joins the threads.
    void stop();

    const peer_hub_counters &counters() const;
    std::size_t connections() const;

private:
    class impl;
    explicit peer_hub(std::shared_ptr<impl> body);

    std::shared_ptr<impl> m_impl;
};

} // namespace peppertack
