#include "peppertack/transport/worker_pool.hpp"

namespace peppertack {

void worker_pool::run(std::function<void()> task) {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
        return;
    }
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size() && m_threads.size() < m_most) {
        m_threads.emplace_back([this] { work(); });
    }
    m_ready.notify_one();
}

void worker_pool::stop() {
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        threads.swap(m_threads);
    }
    m_ready.notify_all();
    for (std::thread &thread : threads) {
        thread.join();
    }
}

void worker_pool::work() {
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        m_ready.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace peppertack
