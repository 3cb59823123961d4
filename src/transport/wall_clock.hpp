#pragma once

#include "peppertack/state/time.hpp"

#include <chrono>
#include <random>

namespace peppertack {

inline instant steady_instant() {
    return instant(
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
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
