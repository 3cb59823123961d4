#pragma once

#include "peppertack/coordination/rate_limit.hpp"
#include "peppertack/coordination/service_share_tracker.hpp"
#include "peppertack/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace peppertack {

/// Admission control and scheduling for one target. The node beside a target is its only caller, so
/// it knows exactly what is in flight there.
///
/// Handles load beyond the target's capacity: a burst, a hot range of keys, a target that became
/// slow. An answer after its latency objective is worth a fraction, so requests that can still meet
/// their objective go first, then by priority, then kinds that were refused more often than others
/// of their priority, then by earliest objective, which puts short nested calls before long
/// requests. A request that can't be served in time is refused immediately. Not thread safe.
class work_queue {
public:
    struct options {
        std::uint32_t limit = 16; ///< requests in flight; the target's number of slots
        std::size_t max_waiting = 512;
        /// A request may wait this long whatever its objective, since the caller of a refused one
        /// retries no sooner. This matters most for short nested calls: each refusal wastes the
        /// work of the parent request.
        duration expected_retry_delay = std::chrono::milliseconds(300);
        /// A queue that has not been shorter than a fraction of the slots for this long is a
        /// standing queue: it adds latency without adding throughput.
        duration standing_queue_time = std::chrono::milliseconds(300);
        bool drain_standing = true; ///< standing queues are shortened
        bool nested_first = true;   ///< nested calls go before all other requests
        bool equal_shares = true;   ///< within a priority, kinds that were refused more go first
    };
    struct item {
        std::uint64_t id = 0;
        std::string kind;    ///< requests of one kind have similar service times
        bool nested = false; ///< called by a running request, whose work a refusal would waste
        int priority = 0;    ///< 0 is the most urgent
        instant arrived{};
        instant objective{}; ///< latency objective: a later answer is worth a fraction
        instant deadline{};  ///< the caller does not wait longer
    };
    enum class verdict : std::uint8_t { start, wait, refuse };

    explicit work_queue(options settings) : m_options(settings) {}

    /// Precondition: `limit` is above 0.
    void set_limit(std::uint32_t limit) { m_options.limit = limit; }
    std::uint32_t limit() const { return m_options.limit; }
    /// Sets the limit in requests per second that the target announced; none: limited by slots
    /// only. Precondition: above zero.
    void set_rate(std::optional<double> per_second, instant now);
    /// The announced limit.
    std::optional<double> rate() const { return m_announced; }
    /// Sets the limit on requests to a target that is cold; none: it is warm.
    void set_cold_limit(const std::optional<rate_limit::bucket> &limit, instant now);
    const std::optional<rate_limit::bucket> &cold_limit() const { return m_cold_limit; }
    /// Slots that are busy on average at full capacity, at least 1.
    std::uint32_t usable_slots() const;
    /// Capacity in requests per second, from the mean service time and the limits on the rate.
    double capacity() const;
    /// The same once the target is no longer cold.
    double warm_capacity() const;
    /// Whether `offer` would start or queue the request now.
    bool would_accept(const item &request, instant now) const;
    /// A verdict of `start` counts the request as in flight.
    verdict offer(const item &request, instant now);
    /// Returns the next request to start, if there is capacity, and counts it as in flight.
    /// Requests that can no longer be answered in time are moved to `infeasible`; the caller
    /// refuses them.
    std::optional<std::uint64_t> next(instant now, std::vector<std::uint64_t> &infeasible);
    /// Records the end of a request in flight; `took` is set if it ran to completion.
    void finish(const std::string &kind, std::optional<duration> took);
    /// Removes a waiting request. Returns false if it is not waiting.
    bool withdraw(std::uint64_t id);
    std::vector<std::uint64_t> withdraw_all();

    std::uint32_t in_flight() const { return m_in_flight; }
    std::size_t waiting() const { return m_waiting.size(); }
    /// Takes a measurement of the capacity, in requests per second; 0 if fewer than ten requests
    /// ran to completion since the last one. A target with few requests is measured less often.
    std::uint32_t take_measured_capacity();
    /// Starts the next measurement from now on, as the service times before are not usual ones.
    void discard_measurement() { m_measured = m_finished; }
    /// Average service time of requests of `kind`; the overall mean if none has completed.
    duration service_time(const std::string &kind) const;
    /// Average service time of requests of `kind`; none if none has completed.
    std::optional<duration> measured_service_time(const std::string &kind) const;
    /// Time to drain the requests that wait now.
    duration backlog() const;
    duration mean_service_time() const { return m_mean; }
    /// Time that a request arriving now would wait.
    duration expected_wait(const item &request, instant now) const;
    /// Estimated time until the target has capacity again.
    duration retry_after() const;

private:
    bool has_room(instant now) const {
        return m_in_flight < m_options.limit && m_waiting.empty() && m_rate.ready(now);
    }
    void apply_rate_limits(instant now);
    duration time_at_rate(std::size_t requests) const;
    duration slot_wait(const item &request, instant now) const;
    instant useful_until(const item &request) const;
    bool in_time(const item &request, instant now) const;
    auto rank(const item &request, instant now) const;

    void update_wait_share(instant now);
    double load_before(const item &request, instant now) const;

    options m_options;
    std::optional<double> m_announced; ///< requests per second
    std::optional<rate_limit::bucket> m_cold_limit;
    rate_limit m_rate; ///< the lower of both
    service_share_tracker m_service_shares;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_finished = 0;  ///< requests that ran to completion
    std::uint64_t m_measured = 0;  ///< of these, at the last measurement of the capacity
    std::vector<item> m_waiting;   ///< in order of arrival
    std::size_t m_min_waiting = 0; ///< since the current interval began
    instant m_interval_end{};
    double m_wait_share = 1; ///< fraction of its slack that a request may wait
    std::unordered_map<std::string, duration> m_by_kind;
    duration m_mean = std::chrono::milliseconds(50);
};

} // namespace peppertack
