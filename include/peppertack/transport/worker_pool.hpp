#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace peppertack {

/// Threads for blocking work, started as they are needed and kept. Thread safe.
class worker_pool {
public:
    explicit worker_pool(std::size_t most_threads) : m_most(most_threads) {}
    ~worker_pool() { stop(); }
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    /// Runs `task` on some thread; in order of submission as threads become free.
    void run(std::function<void()> task);
    /// Finishes what was submitted and joins all threads. Later tasks are dropped.
    void stop();

private:
    void work();

    std::size_t m_most;
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace peppertack
