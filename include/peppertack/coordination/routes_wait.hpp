#pragma once

#include "peppertack/state/time.hpp"

#include <algorithm>

namespace peppertack {

/// Until when a request may wait at a node that has no routing table yet. A node that was started
/// less than `startup` ago is about to get it, and a caller that is rejected comes back no sooner.
/// One that still has none can't reach a voter, so its requests are rejected at once. The wait
/// takes no more than a third of the caller's time, as the request still has to run. Thread safe.
constexpr instant routes_wait_limit(instant node_started, duration startup, instant received,
                                    duration caller_waits) {
    constexpr int wait_divisor = 3;
    return std::min(node_started + startup, received + caller_waits / wait_divisor);
}

} // namespace peppertack
