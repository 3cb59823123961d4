#include "peppertack/coordination/work_queue.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <tuple>

namespace peppertack {

namespace {

/// The latest time has a weight of 1 / smoothing: at some tens of requests per second this follows
/// a slowed target within a second, but is not affected much by a single outlier.
constexpr int smoothing = 16;
/// A part of the target is always assumed free for the least urgent requests, since more urgent
/// load may end at any time.
constexpr double max_load_before = 0.95;
/// A standing queue is shortened to this fraction of the slots, which keeps them busy.
constexpr double target_queue_share = 0.3;
constexpr double wait_share_decrease = 0.85; ///< factor per interval with a standing queue
constexpr double wait_share_increase = 0.05; ///< added per interval without one
constexpr double min_wait_share = 0.15;
constexpr duration min_retry_after = std::chrono::milliseconds(50);
constexpr double min_mean_seconds = 0.0001;
/// Requests from which a target's capacity can be told.
constexpr std::uint64_t min_capacity_sample = 10;

service_share_tracker::request_kind kind_of(const work_queue::item &request, bool nested_first) {
    return {.direct = !(nested_first && request.nested),
            .late = request.objective <= request.arrived,
            .priority = request.priority,
            .name = request.kind};
}

} // namespace

duration work_queue::service_time(const std::string &kind) const {
    const auto found = m_by_kind.find(kind);
    return found == m_by_kind.end() ? m_mean : found->second;
}

std::optional<duration> work_queue::measured_service_time(const std::string &kind) const {
    const auto found = m_by_kind.find(kind);
    return found == m_by_kind.end() ? std::nullopt : std::optional(found->second);
}

duration work_queue::backlog() const {
    duration work{};
    for (const item &request : m_waiting) {
        work += service_time(request.kind);
    }
    const duration by_slots = work / std::max<duration::rep>(m_options.limit, 1);
    return std::max(by_slots, time_at_rate(m_waiting.size()));
}

void work_queue::set_rate(std::optional<double> per_second, instant now) {
    m_announced = per_second;
    apply_rate_limits(now);
}

void work_queue::set_cold_limit(const std::optional<rate_limit::bucket> &limit, instant now) {
    m_cold_limit = limit;
    apply_rate_limits(now);
}

void work_queue::apply_rate_limits(instant now) {
    std::optional<rate_limit::bucket> limit = m_cold_limit;
    if (m_announced) {
        const rate_limit::bucket announced = rate_limit::announced(*m_announced);
        limit = !limit ? announced
                       : rate_limit::bucket{.per_second =
                                                std::min(limit->per_second, announced.per_second),
                                            .depth = std::min(limit->depth, announced.depth)};
    }
    m_rate.set(limit, now);
}

/// Time in which the limit on the rate lets through `requests`; zero without a limit.
duration work_queue::time_at_rate(std::size_t requests) const {
    const auto rate = m_rate.per_second();
    const double seconds = rate ? static_cast<double>(requests) / *rate : 0;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

double work_queue::warm_capacity() const {
    const double seconds = std::chrono::duration<double>(m_mean).count();
    const double by_slots = m_options.limit / std::max(seconds, min_mean_seconds);
    return std::min(by_slots, m_announced.value_or(by_slots));
}

double work_queue::capacity() const {
    const double warm = warm_capacity();
    return m_cold_limit ? std::min(warm, m_cold_limit->per_second) : warm;
}

std::uint32_t work_queue::take_measured_capacity() {
    if (m_finished - m_measured < min_capacity_sample) {
        return 0;
    }
    m_measured = m_finished;
    return static_cast<std::uint32_t>(capacity());
}

std::uint32_t work_queue::usable_slots() const {
    const double busy = capacity() * std::chrono::duration<double>(m_mean).count();
    return m_rate.per_second()
               ? std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::lround(busy)), 1,
                                           std::max<std::uint32_t>(m_options.limit, 1))
               : m_options.limit;
}

/// Latest time at which an answer is still useful.
instant work_queue::useful_until(const item &request) const {
    const instant min_wait_end = request.arrived + m_options.expected_retry_delay;
    return std::min(std::max(request.objective, min_wait_end), request.deadline);
}

bool work_queue::in_time(const item &request, instant now) const {
    return now + service_time(request.kind) <= useful_until(request);
}

/// Scheduling order: the smallest rank goes first.
auto work_queue::rank(const item &request, instant now) const {
    const bool late = now + service_time(request.kind) > request.objective;
    const service_share_tracker::request_kind kind = kind_of(request, m_options.nested_first);
    const bool over_served = m_options.equal_shares && m_service_shares.over_served(kind, now);
    return std::tuple(kind.direct, kind.direct && late, request.priority, over_served,
                      request.objective);
}

/// Fraction of the target that requests ranked before this one recently used; assumed to persist.
double work_queue::load_before(const item &request, instant now) const {
    const double slots =
        m_service_shares.slots_before(kind_of(request, m_options.nested_first), now);
    return std::min(slots / m_options.limit, max_load_before);
}

duration work_queue::expected_wait(const item &request, instant now) const {
    if (!m_rate.per_second()) {
        return slot_wait(request, now);
    }
    const auto own_rank = rank(request, now);
    const auto ahead = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const item &other) {
        return rank(other, now) <= own_rank;
    });
    return std::max(slot_wait(request, now), m_rate.wait(static_cast<std::size_t>(ahead) + 1, now));
}

duration work_queue::slot_wait(const item &request, instant now) const {
    if (m_in_flight < m_options.limit) {
        return {};
    }
    const auto own_rank = rank(request, now);
    duration ahead = m_mean;
    for (const item &other : m_waiting) {
        const bool first = rank(other, now) <= own_rank;
        ahead += first ? service_time(other.kind) : duration{};
    }
    // More urgent requests that arrive later go first too: a request that is admitted on the
    // assumption of the whole target is overtaken repeatedly, and refused only after half of its
    // objective.
    const double share = (1 - load_before(request, now)) * m_options.limit;
    return duration(static_cast<duration::rep>(static_cast<double>(ahead.count()) / share));
}

bool work_queue::would_accept(const item &request, instant now) const {
    if (has_room(now)) {
        return now < request.deadline;
    }
    // A request that would miss its objective would only make those behind it miss theirs.
    const duration slack = useful_until(request) - now - service_time(request.kind);
    const double share = request.nested && m_options.nested_first ? 1 : m_wait_share;
    const auto longest = static_cast<double>(slack.count()) * share;
    return m_waiting.size() < m_options.max_waiting &&
           static_cast<double>(expected_wait(request, now).count()) <= longest;
}

/// Shortens a standing queue. Under overload the queue grows to the longest wait that the objective
/// allows, so that without this all requests would finish just before their objective or just
/// after.
void work_queue::update_wait_share(instant now) {
    m_min_waiting = std::min(m_min_waiting, m_waiting.size());
    if (!m_options.drain_standing || now < m_interval_end) {
        return;
    }
    const bool standing = static_cast<double>(m_min_waiting) > target_queue_share * usable_slots();
    m_wait_share = standing ? std::max(m_wait_share * wait_share_decrease, min_wait_share)
                            : std::min(m_wait_share + wait_share_increase, 1.0);
    m_interval_end = now + m_options.standing_queue_time;
    m_min_waiting = m_waiting.size();
}

work_queue::verdict work_queue::offer(const item &request, instant now) {
    m_service_shares.record_offered(kind_of(request, m_options.nested_first), now);
    if (!would_accept(request, now)) {
        m_service_shares.record_refused(kind_of(request, m_options.nested_first), now);
        return verdict::refuse;
    }
    m_service_shares.record_accepted(kind_of(request, m_options.nested_first),
                                     service_time(request.kind), now);
    if (has_room(now)) {
        ++m_in_flight;
        m_rate.take(now);
        return verdict::start;
    }
    m_waiting.push_back(request);
    return verdict::wait;
}

std::optional<std::uint64_t> work_queue::next(instant now, std::vector<std::uint64_t> &infeasible) {
    std::erase_if(m_waiting, [&](const item &request) {
        // Waiting longer would only delay the refusal: the request was feasible on arrival, but
        // requests that rank above it have used the capacity since.
        const bool over = !in_time(request, now) || request.deadline <= now;
        if (over) {
            m_service_shares.record_refused(kind_of(request, m_options.nested_first), now);
            infeasible.push_back(request.id);
        }
        return over;
    });
    update_wait_share(now);
    if (m_waiting.empty() || m_in_flight >= m_options.limit || !m_rate.ready(now)) {
        return std::nullopt;
    }
    auto best = m_waiting.begin();
    for (auto place = std::next(best); place != m_waiting.end(); ++place) {
        best = rank(*place, now) < rank(*best, now) ? place : best;
    }
    const std::uint64_t id = best->id;
    m_waiting.erase(best);
    m_min_waiting = std::min(m_min_waiting, m_waiting.size());
    ++m_in_flight;
    m_rate.take(now);
    return id;
}

void work_queue::finish(const std::string &kind, std::optional<duration> took) {
    assert(m_in_flight > 0);
    --m_in_flight;
    if (!took) {
        return;
    }
    ++m_finished;
    duration &known = m_by_kind.try_emplace(kind, *took).first->second;
    known += (*took - known) / smoothing;
    m_mean += (*took - m_mean) / smoothing;
}

bool work_queue::withdraw(std::uint64_t id) {
    return std::erase_if(m_waiting, [id](const item &request) { return request.id == id; }) != 0;
}

std::vector<std::uint64_t> work_queue::withdraw_all() {
    std::vector<std::uint64_t> ids;
    for (const item &request : m_waiting) {
        ids.push_back(request.id);
    }
    m_waiting.clear();
    return ids;
}

duration work_queue::retry_after() const {
    const auto slots = std::max<duration::rep>(usable_slots(), 1);
    const auto ahead = static_cast<duration::rep>(m_waiting.size() + 1);
    return std::max({min_retry_after, m_mean * ahead / slots, time_at_rate(m_waiting.size() + 1)});
}

} // namespace peppertack
