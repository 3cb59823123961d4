#pragma once

#include "peppertack/state/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Admission control for one target: bounds the requests in flight, keeps a bounded queue that is
/// served round-robin by key, and refuses requests that could not finish before their deadline. Not
/// thread safe.
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
    /// Records the end of a started request; `ran_for` updates the service time estimate.
    void finish(duration ran_for);
    /// Returns the next queued request that may start and counts it as started. Keys are served
    /// round-robin. Requests whose deadline has passed are appended to `expired` instead.
    std::optional<std::uint64_t> next(instant now, std::vector<std::uint64_t> &expired);
    /// Removes a request from the queue. Returns false if it is not queued.
    bool withdraw(std::uint64_t request);
    /// Empties the queue and returns the removed requests in ascending order.
    std::vector<std::uint64_t> withdraw_all();
    void reset();

    std::uint32_t in_flight() const { return m_in_flight; }
    std::size_t queued() const { return m_queued; }
    /// Time after which a refused caller should retry.
    duration retry_after() const;
    duration service_time() const { return m_service_time; }

private:
    duration expected_wait() const;

    limits m_limits;
    std::uint32_t m_in_flight = 0;
    std::size_t m_queued = 0;
    std::unordered_map<std::uint64_t, std::deque<item>> m_by_key;
    std::deque<std::uint64_t> m_key_order; ///< keys with queued requests, in round-robin order
    duration m_service_time = std::chrono::milliseconds(1);
};

} // namespace peppertack
