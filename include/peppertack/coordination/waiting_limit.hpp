#pragma once

#include "peppertack/state/time.hpp"

#include <algorithm>

namespace peppertack {

/// Until when the node beside a target may hold back a request that another node forwarded. A
/// request of which nothing has been sent to the target by then is rejected, so that the other node
/// still reads the rejection before its own deadline and can promise its caller that the request
/// has not run. At its deadline it could promise nothing.
///
/// The margin covers one timer step of the node (10 ms), the way of the rejection, and about 20 KB
/// of other responses ahead of it on a link of 2.2 Mbit/s (73 ms). Of a short time only an eighth
/// is given up. Thread safe.
constexpr instant waiting_limit(instant received, instant deadline) {
    constexpr duration longest_margin = std::chrono::milliseconds(100);
    constexpr int margin_divisor = 8;
    const duration margin = (deadline - received) / margin_divisor;
    return deadline - std::clamp(margin, duration{}, longest_margin);
}

} // namespace peppertack
