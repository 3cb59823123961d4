#pragma once

#include <chrono>
#include <cstdint>

namespace peppertack {

/// Source of all instants in the coordination library. It has no `now()`: time enters only as an
/// argument, so that the daemon, the tests and the fuzzer drive the same code.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

using instant = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

/// A step's time as seen by one process. `now` never goes back; `wall_ms` (milliseconds since the
/// Unix epoch) is only recorded for auditors and never decides who owns a key.
struct moment {
    instant now{};
    std::int64_t wall_ms = 0;
};

} // namespace peppertack
