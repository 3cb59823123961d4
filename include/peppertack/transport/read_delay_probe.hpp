#pragma once

#include "peppertack/state/time.hpp"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <string>

namespace peppertack {

/// Measures how long a connection that has become readable waits until its thread reads it, by a
/// pipe that takes its turn among the connections. On a busy thread timers run ahead of reads, so
/// their delay doesn't show it. Belongs to the thread of `io`.
class read_delay_probe {
public:
    using function = std::function<void(duration delay, instant now)>;

    /// `done` is called with the result of each probe.
    read_delay_probe(asio::io_context &io, function done);
    ~read_delay_probe();
    read_delay_probe(const read_delay_probe &) = delete;
    read_delay_probe &operator=(const read_delay_probe &) = delete;

    /// Opens the pipe. Returns false and sets `reason` if there are no descriptors left.
    bool start(std::string &reason);
    /// Begins a probe unless one is under way. No effect before `start`.
    void probe(instant now);

private:
    void wait();

    asio::posix::stream_descriptor m_reader;
    int m_writer = -1;
    function m_done;
    bool m_waiting = false;
    instant m_sent{};
};

} // namespace peppertack
