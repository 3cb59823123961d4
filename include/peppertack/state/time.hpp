#pragma once

#include <chrono>
#include <cstdint>

namespace peppertack {

/// Clock type of all instants in the coordination library. It has no `now()`: time is passed in as
/// an argument, so that the daemon, the tests and the fuzzer run the same code.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using instant = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// Time of one step as read by one process. `now` is monotonic; `wall_ms` (milliseconds since the
/// Unix epoch) is only recorded for auditing and never decides ownership.
struct moment {
    instant now{};
    std::int64_t wall_ms = 0;
};

} // namespace peppertack
