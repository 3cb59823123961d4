#pragma once

#include "peppertack/transport/worker_pool.hpp"

#include <httplib.h>

namespace peppertack {

/// Threads for the HTTP library, which keeps one per open connection. The pool grows with the
/// connections instead of being sized by the cores, or idle connections would starve busy ones.
class connection_queue final : public httplib::TaskQueue {
public:
    explicit connection_queue(std::size_t most) : m_pool(most) {}
    void enqueue(std::function<void()> task) override { m_pool.run(std::move(task)); }
    void shutdown() override { m_pool.stop(); }

private:
    worker_pool m_pool;
};

} // namespace peppertack
