#include "peppertack/transport/log_writer.hpp"

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <poll.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace peppertack {

namespace {

/// Writes everything, however long that takes. Returns the number of bytes written, which is less
/// than all only if the descriptor refuses more.
std::size_t write_all(int descriptor, std::string_view bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t written = ::write(descriptor, bytes.data() + done, bytes.size() - done);
        if (written > 0) {
            done += static_cast<std::size_t>(written);
        } else if (written < 0 && errno == EAGAIN) {
            pollfd room{.fd = descriptor, .events = POLLOUT, .revents = 0};
            ::poll(&room, 1, -1);
        } else if (written == 0 || errno != EINTR) {
            break;
        }
    }
    return done;
}

/// A reader that goes away must not end the process: the signal of a write to its pipe goes to the
/// thread that writes.
void ignore_broken_pipe() {
    sigset_t broken_pipe;
    sigemptyset(&broken_pipe);
    sigaddset(&broken_pipe, SIGPIPE);
    ::pthread_sigmask(SIG_BLOCK, &broken_pipe, nullptr);
}

std::uint64_t count_lines(std::string_view bytes) {
    return static_cast<std::uint64_t>(std::count(bytes.begin(), bytes.end(), '\n'));
}

std::string dropped_line(std::uint64_t count) {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return "{\"event\":\"log_lines_dropped\",\"level\":\"warning\",\"count\":" +
           std::to_string(count) + ",\"time_ms\":" + std::to_string(now.count()) + "}\n";
}

} // namespace

class log_writer::queue {
public:
    explicit queue(options settings) : m_options(settings) {}

    void write(std::string_view line, priority rank) {
        const std::size_t room =
            m_options.queue_bytes + (rank == priority::important ? m_options.reserved_bytes : 0);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_lines.size() + line.size() > room) {
                ++m_dropped;
                return;
            }
            m_lines.append(line);
            m_queued += line.size();
            if (!m_idle) {
                return;
            }
            m_idle = false;
        }
        m_changed.notify_one();
    }

    bool flush(std::chrono::milliseconds limit) {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::uint64_t goal = m_queued;
        return m_progress.wait_for(lock, limit, [&] { return m_taken_off >= goal; });
    }

    std::uint64_t dropped() {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_dropped;
    }

    void close() {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_closed = true;
        }
        m_changed.notify_one();
    }

    /// Writes lines until the queue is closed and empty.
    void run() {
        ignore_broken_pipe();
        std::string batch;
        while (take(batch)) {
            const std::size_t written = write_all(m_options.descriptor, batch);
            end_write(batch.size(), count_lines(std::string_view(batch).substr(written)));
            std::this_thread::sleep_for(m_options.write_interval);
        }
    }

private:
    /// Waits for lines. Returns false once there will be none.
    bool take(std::string &batch) {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_idle = m_lines.empty();
        m_changed.wait(lock, [this] { return m_closed || !m_lines.empty(); });
        m_idle = false;
        batch.clear();
        batch.swap(m_lines);
        if (m_dropped > m_dropped_told) {
            batch += dropped_line(m_dropped - m_dropped_told);
            m_dropped_told = m_dropped;
        }
        return !batch.empty();
    }

    void end_write(std::size_t size, std::uint64_t lost_lines) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_taken_off += size;
            m_dropped += lost_lines;
        }
        m_progress.notify_all();
    }

    options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;  ///< lines were queued, or the queue was closed
    std::condition_variable m_progress; ///< a write has ended
    std::string m_lines;
    std::uint64_t m_queued = 0;    ///< bytes ever queued
    std::uint64_t m_taken_off = 0; ///< bytes whose write has ended
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_told = 0;
    bool m_idle = false; ///< the thread waits without a time limit
    bool m_closed = false;
};

log_writer::log_writer(options settings) : m_queue(std::make_shared<queue>(settings)) {
    std::thread([lines = m_queue] { lines->run(); }).detach();
}

log_writer::~log_writer() {
    m_queue->close();
}

void log_writer::write(std::string_view line, priority rank) {
    m_queue->write(line, rank);
}

bool log_writer::flush(std::chrono::milliseconds limit) {
    return m_queue->flush(limit);
}

std::uint64_t log_writer::dropped() const {
    return m_queue->dropped();
}

} // namespace peppertack
