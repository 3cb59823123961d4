#pragma once

#include "peppertack/coordination/node_options.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace httplib {
class Client;
}

namespace peppertack {

/// Connections to the local target, kept open between requests. Thread safe.
class target_client {
public:
    using clock = std::function<instant()>;

    explicit target_client(clock now);
    ~target_client();

    /// Where the target listens, host:port. Connections to another address are dropped.
    void set_address(const std::string &address);
    /// Runs a call on this thread until its answer, its deadline or `cancel`.
    call_result run(const target_call &call);
    /// Ends a running call; its `run` reports `lost`, or `not_sent` if it had not begun.
    void cancel(std::uint64_t call);
    /// Whether something accepts connections at the target's address.
    bool reachable();
    std::string address() const;

private:
    struct slot;

    std::shared_ptr<slot> take(std::uint64_t call);
    void give_back(std::uint64_t call, const std::shared_ptr<slot> &used, bool reusable);

    clock m_now;
    mutable std::mutex m_mutex;
    std::string m_address;
    std::vector<std::shared_ptr<slot>> m_idle;
    std::unordered_map<std::uint64_t, std::shared_ptr<slot>> m_running;
};

} // namespace peppertack
