#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace peppertack {

/// Writes lines to a descriptor on a thread of its own, so that a reader or disk that stalls never
/// blocks the threads that log. Lines that don't fit the queue are dropped and counted; a line
/// written once there is room again tells how many.
class log_writer {
public:
    struct options {
        int descriptor = 1; ///< standard output
        std::size_t queue_bytes = 256U << 10U;
        /// Room beyond `queue_bytes` for important lines only.
        std::size_t reserved_bytes = 64U << 10U;
        /// Least time between two writes, which bounds the number of wake-ups.
        std::chrono::milliseconds write_interval{20};
    };
    enum class priority : std::uint8_t { normal, important };

    /// Precondition: the descriptor stays open for the rest of the process's life.
    explicit log_writer(options settings);
    /// Doesn't wait for the lines in the queue, whose writing may never end; see `flush`.
    ~log_writer();
    log_writer(const log_writer &) = delete;
    log_writer &operator=(const log_writer &) = delete;

    /// Queues a line, which ends with a line feed. Thread safe; never blocks on the descriptor.
    void write(std::string_view line, priority rank);
    /// Waits until all lines queued before the call are written, for `limit` at most. Returns
    /// whether they are. Thread safe.
    bool flush(std::chrono::milliseconds limit);
    /// Lines dropped so far, or lost because a write failed. Thread safe.
    std::uint64_t dropped() const;

private:
    class queue;
    std::shared_ptr<queue> m_queue; ///< shared with the thread, which may outlive this object
};

} // namespace peppertack
