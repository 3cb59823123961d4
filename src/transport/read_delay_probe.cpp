#include "peppertack/transport/read_delay_probe.hpp"

#include "wall_clock.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace peppertack {

read_delay_probe::read_delay_probe(asio::io_context &io, function done)
    : m_reader(io), m_done(std::move(done)) {}

read_delay_probe::~read_delay_probe() {
    if (m_writer >= 0) {
        ::close(m_writer);
    }
}

bool read_delay_probe::start(std::string &reason) {
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) {
        reason = std::string("pipe: ") + std::strerror(errno);
        return false;
    }
    m_writer = ends[1];
    asio::error_code error;
    m_reader.assign(ends[0], error);
    if (error) {
        ::close(ends[0]);
        reason = "pipe: " + error.message();
        return false;
    }
    return true;
}

void read_delay_probe::probe(instant now) {
    const char mark = 0;
    if (m_waiting || m_writer < 0 || ::write(m_writer, &mark, sizeof mark) != sizeof mark) {
        return;
    }
    m_waiting = true;
    m_sent = now;
    wait();
}

void read_delay_probe::wait() {
    // The descriptor outlives the callback: its destructor cancels the wait.
    m_reader.async_wait(asio::posix::stream_descriptor::wait_read, [this](asio::error_code error) {
        if (error) {
            return;
        }
        char mark = 0;
        if (::read(m_reader.native_handle(), &mark, sizeof mark) != sizeof mark) {
            wait();
            return;
        }
        const instant now = steady_instant();
        m_waiting = false;
        m_done(std::max(now - m_sent, duration{}), now);
    });
}

} // namespace peppertack
