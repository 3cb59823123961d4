#pragma once

#include "peppertack/coordination/node_options.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peppertack {

/// Connections to the local target, kept open between requests. Answers are read by the engine of
/// `transport/http`, on a thread of its own. Thread safe.
class target_client {
public:
    using clock = std::function<instant()>;

    /// `now`: called on any thread.
    explicit target_client(clock now);
    /// Precondition: no `run` is under way.
    ~target_client();
    target_client(const target_client &) = delete;
    target_client &operator=(const target_client &) = delete;

    /// Where the target listens, IP:port. Idle connections to another address are dropped.
    void set_address(const std::string &address);
    /// Runs a call and waits until its answer, its deadline or `cancel`. Nothing is sent unless it
    /// is begun before `not_after`. `lost` also if the answer is none in HTTP/1.1.
    call_result run(const target_call &call);
    /// Ends a running call; its `run` reports `lost`, or `not_sent` if nothing was sent.
    void cancel(std::uint64_t call);
    /// Whether something accepts connections at the target's address.
    bool reachable();
    std::string address() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace peppertack
