#pragma once

#include "peppertack/state/time.hpp"

#include <chrono>
#include <ctime>
#include <random>

namespace peppertack {

/// Runs on while the instance is suspended. A clock that stands still then would let a process that
/// wakes go on with a lease that others have long waited out.
inline instant steady_instant() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                        std::chrono::nanoseconds(now.tv_nsec)));
}

inline moment read_clocks() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {steady_instant(), std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

/// Differs between processes started at the same time.
inline std::uint64_t random_number() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace peppertack
