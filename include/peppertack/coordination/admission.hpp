#pragma once

#include "peppertack/state/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Decides which requests a target is given and when: bounded in flight, a bounded queue that is
/// fair among keys, and early refusal of what could not finish in time. Not thread safe.
class admission {
public:
    enum class verdict : std::uint8_t { start, queued, refused };

    struct limits {
        std::uint32_t in_flight = 16;
        std::uint32_t queue = 64;

        friend bool operator==(const limits &, const limits &) = default;
    };

    struct item {
        std::uint64_t request = 0;
        std::uint64_t key_hash = 0;
        instant deadline{};
    };

    void set_limits(limits value) { m_limits = value; }
    const limits &current_limits() const { return m_limits; }

    verdict offer(const item &request, instant now);
    /// A started request has ended; `ran_for` feeds the estimate of service time.
    void finish(duration ran_for);
    /// Next queued request that may start now; it counts as started. Keys take turns. Requests
    /// whose deadline has passed are put into `expired` instead.
    std::optional<std::uint64_t> next(instant now, std::vector<std::uint64_t> &expired);
    /// Takes a request out of the queue. False if it is not there.
    bool withdraw(std::uint64_t request);
    /// Takes all that wait out of the queue.
    std::vector<std::uint64_t> withdraw_all();
    void reset();

    std::uint32_t in_flight() const { return m_in_flight; }
    std::size_t queued() const { return m_queued; }
    /// When a refused caller should try again.
    duration retry_after() const;
    duration service_time() const { return m_service_time; }

private:
    duration expected_wait() const;

    limits m_limits;
    std::uint32_t m_in_flight = 0;
    std::size_t m_queued = 0;
    std::unordered_map<std::uint64_t, std::deque<item>> m_by_key;
    std::deque<std::uint64_t> m_turns; ///< keys with something queued, next turn first
    duration m_service_time = std::chrono::milliseconds(1);
};

} // namespace peppertack
